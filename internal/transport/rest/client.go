package rest

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/pkg/errors"
)

const (
	defaultTimeout = 2 * time.Second
	defaultHedge   = 400 * time.Millisecond
	defaultLimit   = 16 << 20
	idleTimeout    = 90 * time.Second
	idlePerAddr    = 2
)

// ErrTooLong says that a reply exceeds the limit of the client.
var ErrTooLong = errors.New("reply exceeds the limit")

// ErrUndecided says that an attempt was refused while an earlier one may have been carried out.
var ErrUndecided = errors.New("one attempt was refused and another not answered")

// ErrStatus is a reply that reports a failure; Code names it when the other side did.
type ErrStatus struct {
	Status int
	Code   string
	Text   string
	Header http.Header
	Body   []byte
}

// Error renders status, code and text.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("status %d %s: %s", e.Status, e.Code, e.Text)
}

// Failure is the body of a reply that reports a failure.
type Failure struct {
	Code string
	Text string
}

// Request describes one call.
type Request struct {
	Method string
	Addr   netip.AddrPort
	// Path includes the query.
	Path   string
	Header http.Header
	// Body is sent as JSON unless it is nil.
	Body any
	// Raw is sent as it is when there is no Body.
	Raw []byte
	// Wait is how long the other side may hold the reply back.
	Wait time.Duration
	// Hedge allows a second attempt over a fresh connection while the first is silent; use it for idempotent calls.
	Hedge bool
	// Certain reports a refusal only when no other attempt may still be carried out.
	Certain bool
	// Timeout bounds the call beyond Wait; zero means the timeout of the client.
	Timeout time.Duration
	// Fresh opens a connection for the call, which cannot have fallen silent; use it for calls that must not be doubled.
	Fresh bool
}

// Reply is a successful reply with its whole body.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decode parses the body as JSON.
func (p Reply) Decode(out any) error {
	if err := json.Unmarshal(p.Body, out); err != nil {
		return fmt.Errorf("decode reply: %w", err)
	}
	return nil
}

// Client makes calls over kept connections and falls back to fresh ones.
type Client struct {
	clock       clock.Clock
	timeout     time.Duration
	hedge       time.Duration
	limit       int64
	connections int
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	kept        *http.Client
	fresh       *http.Client
}

// Option changes a client while it is built.
type Option func(*Client)

// WithClock sets the clock that times calls.
func WithClock(c clock.Clock) Option { return func(r *Client) { r.clock = c } }

// WithTimeout bounds a call beyond the wait that it grants the other side.
func WithTimeout(d time.Duration) Option { return func(r *Client) { r.timeout = d } }

// WithHedge sets after which silence an idempotent call is repeated over a fresh connection.
func WithHedge(d time.Duration) Option { return func(r *Client) { r.hedge = d } }

// WithLimit bounds the body of a reply in bytes.
func WithLimit(n int64) Option { return func(r *Client) { r.limit = n } }

// WithConnections bounds the connections to one address.
func WithConnections(n int) Option { return func(r *Client) { r.connections = n } }

// WithDial replaces the function that opens connections.
func WithDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(r *Client) { r.dial = f }
}

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{
		clock:   clock.System(),
		timeout: defaultTimeout,
		hedge:   defaultHedge,
		limit:   defaultLimit,
		dial:    (&net.Dialer{Timeout: defaultTimeout}).DialContext,
	}
	for _, o := range opts {
		o(c)
	}
	c.kept = &http.Client{Transport: &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: idlePerAddr,
		MaxConnsPerHost:     c.connections,
		IdleConnTimeout:     idleTimeout,
	}}
	c.fresh = &http.Client{Transport: &http.Transport{
		DialContext:       c.dial,
		DisableKeepAlives: true,
	}}
	return c
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.kept.CloseIdleConnections()
}

// JSON makes a call and decodes the reply into out unless that is nil.
func (c *Client) JSON(ctx context.Context, r Request, out any) error {
	p, err := c.Do(ctx, r)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return p.Decode(out)
}

// Do makes a call and returns the whole reply, *ErrStatus when the other side reports a failure, or port.ErrUnsent
// when no connection could be opened; after any other error the call may have had its effect.
func (c *Client) Do(ctx context.Context, r Request) (Reply, error) {
	body := r.Raw
	if r.Body != nil {
		b, err := json.Marshal(r.Body)
		if err != nil {
			return Reply{}, fmt.Errorf("encode body of %s: %w", r.Path, err)
		}
		body = b
	}
	x, stop := context.WithCancel(ctx)
	defer stop()
	return c.race(x, r, body)
}

type result struct {
	reply Reply
	err   error
}

func (c *Client) race(ctx context.Context, r Request, body []byte) (Reply, error) {
	results := make(chan result, 2)
	launch := func(h *http.Client) {
		p, err := c.once(ctx, h, r, body)
		results <- result{p, err}
	}
	first := c.kept
	if r.Fresh {
		first = c.fresh
	}
	go launch(first)
	var second <-chan time.Time
	if r.Hedge {
		second = c.clock.After(r.Wait + c.hedge)
	}
	expired := c.clock.After(r.Wait + cmp.Or(r.Timeout, c.timeout))
	a := attempts{open: 1, unsent: true, certain: r.Certain}
	for {
		select {
		case x := <-results:
			if p, ok, err := a.take(x); ok {
				return p, err
			}
		case <-second:
			second = nil
			a.open++
			go launch(c.fresh)
		case <-expired:
			return Reply{}, fmt.Errorf("%s %s%s: %w", r.Method, r.Addr, r.Path, context.DeadlineExceeded)
		case <-ctx.Done():
			return Reply{}, fmt.Errorf("%s %s%s: %w", r.Method, r.Addr, r.Path, ctx.Err())
		}
	}
}

// attempts sums up the attempts of one call.
type attempts struct {
	open int
	// unsent is set while no attempt has been sent.
	unsent bool
	// certain holds refusals back while another attempt may have been carried out.
	certain bool
	// undecided is set once an attempt was sent and not answered.
	undecided bool
}

// take notes the result of an attempt and reports whether it settles the call.
func (a *attempts) take(x result) (Reply, bool, error) {
	a.open--
	a.unsent = a.unsent && isDial(x.err)
	if x.err == nil {
		return x.reply, true, nil
	}
	isSettled := !a.certain || a.open == 0 && !a.undecided
	if isAnswered(x.err) && isSettled {
		return x.reply, true, x.err
	}
	a.undecided = a.undecided || !isAnswered(x.err) && !isDial(x.err)
	switch {
	case a.open > 0:
		return Reply{}, false, nil
	case a.unsent:
		return x.reply, true, fmt.Errorf("%w: %w", port.ErrUnsent, x.err)
	case isAnswered(x.err):
		return x.reply, true, fmt.Errorf("%w: %s", ErrUndecided, x.err.Error())
	default:
		return x.reply, true, x.err
	}
}

func isDial(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

func isAnswered(err error) bool {
	var s *ErrStatus
	return errors.As(err, &s)
}

func (c *Client) once(ctx context.Context, h *http.Client, r Request, body []byte) (Reply, error) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Addr.String()+r.Path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, fmt.Errorf("build request: %w", err)
	}
	for k, v := range r.Header {
		q.Header[k] = v
	}
	q.Header.Set("User-Agent", "")
	if r.Body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	p, err := h.Do(q)
	if err != nil {
		return Reply{}, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(p.Body, c.limit+1))
	if err != nil {
		return Reply{}, fmt.Errorf("read reply of %s: %w", r.Path, err)
	}
	if int64(len(b)) > c.limit {
		return Reply{}, fmt.Errorf("read reply of %s: %w", r.Path, ErrTooLong)
	}
	if p.StatusCode >= http.StatusMultipleChoices {
		return Reply{}, failure(p, b)
	}
	return Reply{Status: p.StatusCode, Header: p.Header, Body: b}, nil
}

func failure(p *http.Response, body []byte) *ErrStatus {
	e := &ErrStatus{Status: p.StatusCode, Header: p.Header, Body: body}
	var f Failure
	if json.Unmarshal(body, &f) == nil {
		e.Code = f.Code
		e.Text = f.Text
	}
	return e
}
