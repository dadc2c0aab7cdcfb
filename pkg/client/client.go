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
	callHedge      = time.Second
	firstWait      = time.Second
	defaultWait    = 20 * time.Second
	maxAnswer      = 256 << 20
)

// Client talks to several entry hosts; it is safe for use by several goroutines.
type Client struct {
	hosts   []netip.AddrPort
	clock   clock.Clock
	timeout time.Duration
	wait    time.Duration
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	rest    *rest.Client
	budget  *budget
	current atomic.Uint32
}

// Option changes a client while it is built.
type Option func(*Client)

// WithTimeout bounds each call, with all its retries, whose context has no deadline.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithWait sets how long at most a host may hold back the answer to a question after an outcome.
func WithWait(d time.Duration) Option { return func(c *Client) { c.wait = d } }

// WithDial replaces the function that opens connections.
func WithDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = f }
}

// New returns a client of the hosts' caller addresses, of which it needs at least one.
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
		rest.WithHedgeDelay(callHedge),
		rest.WithMaxReplyBytes(maxAnswer),
	}
	if c.dial != nil {
		ro = append(ro, rest.WithDial(c.dial))
	}
	c.rest = rest.New(ro...)
	c.budget = newBudget(c.clock)
	return c
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.rest.Close()
}

// bound gives ctx the client's timeout unless it has a deadline.
func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.timeout)
}
