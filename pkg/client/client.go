package client

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
)

const (
	defaultTimeout = 30 * time.Second
	callTimeout    = 4 * time.Second
	hedgeDelay     = time.Second
	initialWait    = time.Second
	defaultWait    = 20 * time.Second
	maxAnswerBytes = 256 << 20
)

// Client calls several entry hosts; it is safe for concurrent use.
type Client struct {
	hosts   []netip.AddrPort
	clock   clock.Clock
	timeout time.Duration
	wait    time.Duration
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	rest    *rest.Client
	budget  *retryBudget
	current atomic.Uint32
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the time limit of a call, including all retries, whose context has no deadline.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithWait sets the longest time for which a host may hold a long poll for an outcome.
func WithWait(d time.Duration) Option { return func(c *Client) { c.wait = d } }

// WithDial sets the function that opens connections.
func WithDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = f }
}

// New returns a client for the caller addresses of one or more entry hosts.
func New(hosts []netip.AddrPort, opts ...Option) *Client {
	c := &Client{
		hosts:   hosts,
		clock:   clock.System(),
		timeout: defaultTimeout,
		wait:    defaultWait,
	}
	for _, o := range opts {
		o(c)
	}
	ro := []rest.Option{
		rest.WithClock(c.clock),
		rest.WithTimeout(callTimeout),
		rest.WithHedgeDelay(hedgeDelay),
		rest.WithMaxReplyBytes(maxAnswerBytes),
	}
	if c.dial != nil {
		ro = append(ro, rest.WithDial(c.dial))
	}
	c.rest = rest.New(ro...)
	c.budget = newRetryBudget(c.clock)
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.rest.Close()
}

// withTimeout applies the client's timeout to ctx unless ctx has a deadline.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.timeout)
}
