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
	// dialTimeout is so short that both attempts of a hedged call have failed before the call ends, if no connection can be opened.
	dialTimeout          = 1500 * time.Millisecond
	defaultHedgeDelay    = 400 * time.Millisecond
	defaultMaxReplyBytes = 16 << 20
	idleTimeout          = 90 * time.Second
	maxIdlePerAddr       = 2
)

// ErrReplyTooLarge is returned for a reply whose body exceeds the size limit of the client.
var ErrReplyTooLarge = errors.New("reply exceeds the size limit")

// ErrOutcomeUnknown is returned when one attempt was refused while another, unanswered one may have taken effect.
var ErrOutcomeUnknown = errors.New("one attempt was refused and another was not answered")

// ErrStatus is a reply with a status of 300 or above. Code and Text come from its body and may be empty.
type ErrStatus struct {
	Status int
	Code   string
	Text   string
	Header http.Header
	Body   []byte
}

// Error returns the status, code and text.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("status %d %s: %s", e.Status, e.Code, e.Text)
}

// Failure is the body of a reply that reports a failure.
type Failure struct {
	Code string
	Text string
}

// Request holds the parameters of one call.
type Request struct {
	Method string
	Addr   netip.AddrPort
	// Path includes the query.
	Path   string
	Header http.Header
	// Body is sent as JSON unless it is nil.
	Body any
	// Raw is sent unchanged if Body is nil.
	Raw []byte
	// Wait is how long the server may delay the reply, as in long polling.
	Wait time.Duration
	// Hedge allows a second attempt over a new connection if the first is not answered in time; only for idempotent calls.
	Hedge bool
	// Certain returns a refusal only if no other attempt can still take effect.
	Certain bool
	// Timeout bounds the call in addition to Wait; zero means the timeout of the client.
	Timeout time.Duration
	// Fresh opens a new connection for the call. It is for calls that must not be sent twice, since a pooled connection may
	// have become unresponsive.
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

// Client makes calls over pooled connections and hedges them over new ones.
type Client struct {
	clock          clock.Clock
	timeout        time.Duration
	hedgeDelay     time.Duration
	maxReplyBytes  int64
	maxConnections int
	maxIdle        int
	dial           func(ctx context.Context, network, addr string) (net.Conn, error)
	pooled         *http.Client
	fresh          *http.Client
}

// Option sets one property of a Client.
type Option func(*Client)

// WithClock replaces the clock of the operating system.
func WithClock(c clock.Clock) Option { return func(r *Client) { r.clock = c } }

// WithTimeout sets the timeout of a call, to which Request.Wait is added.
func WithTimeout(d time.Duration) Option { return func(r *Client) { r.timeout = d } }

// WithHedgeDelay sets the delay, in addition to Request.Wait, after which an unanswered call is hedged.
func WithHedgeDelay(d time.Duration) Option { return func(r *Client) { r.hedgeDelay = d } }

// WithMaxReplyBytes sets the maximum size of a reply body in bytes.
func WithMaxReplyBytes(n int64) Option { return func(r *Client) { r.maxReplyBytes = n } }

// WithMaxConnections sets the maximum number of pooled connections to one address.
func WithMaxConnections(n int) Option { return func(r *Client) { r.maxConnections = n } }

// WithMaxIdleConnections sets the maximum number of idle connections to all addresses together; the one unused for longest is
// closed for another. Zero means no maximum.
func WithMaxIdleConnections(n int) Option { return func(r *Client) { r.maxIdle = n } }

// WithDial replaces the function that opens connections.
func WithDial(f func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(r *Client) { r.dial = f }
}

// New returns a client with an empty connection pool.
func New(opts ...Option) *Client {
	c := &Client{
		clock:         clock.System(),
		timeout:       defaultTimeout,
		hedgeDelay:    defaultHedgeDelay,
		maxReplyBytes: defaultMaxReplyBytes,
		dial:          (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	for _, o := range opts {
		o(c)
	}
	c.pooled = &http.Client{Transport: &http.Transport{
		DialContext:         c.dial,
		MaxIdleConns:        c.maxIdle,
		MaxIdleConnsPerHost: maxIdlePerAddr,
		MaxConnsPerHost:     c.maxConnections,
		IdleConnTimeout:     idleTimeout,
	}}
	c.fresh = &http.Client{Transport: &http.Transport{
		DialContext:       c.dial,
		DisableKeepAlives: true,
	}}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
}

// JSON makes a call and decodes the reply into out, unless out is nil.
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

// Do makes a call and returns the reply. The error is an *ErrStatus if the server reported a failure, and port.ErrUnsent if
// no connection could be opened; after any other error the call may have taken effect.
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
	return c.doHedged(x, r, body)
}

type result struct {
	reply Reply
	err   error
}

func (c *Client) doHedged(ctx context.Context, r Request, body []byte) (Reply, error) {
	results := make(chan result, 2)
	launch := func(h *http.Client) {
		p, err := c.attempt(ctx, h, r, body)
		results <- result{p, err}
	}
	first := c.pooled
	if r.Fresh {
		first = c.fresh
	}
	go launch(first)
	var second <-chan time.Time
	if r.Hedge {
		second = c.clock.After(r.Wait + c.hedgeDelay)
	}
	expired := c.clock.After(r.Wait + cmp.Or(r.Timeout, c.timeout))
	a := attempts{inFlight: 1, unsent: true, certain: r.Certain}
	for {
		select {
		case x := <-results:
			if p, ok, err := a.record(x); ok {
				return p, err
			}
		case <-second:
			second = nil
			a.inFlight++
			go launch(c.fresh)
		case <-expired:
			return Reply{}, fmt.Errorf("%s %s%s: %w", r.Method, r.Addr, r.Path, context.DeadlineExceeded)
		case <-ctx.Done():
			return Reply{}, fmt.Errorf("%s %s%s: %w", r.Method, r.Addr, r.Path, ctx.Err())
		}
	}
}

// attempts tracks the attempts of one call.
type attempts struct {
	inFlight int
	// unsent is true while every finished attempt failed to connect.
	unsent bool
	// certain is Request.Certain.
	certain bool
	// unanswered is set when an attempt was sent but not answered.
	unanswered bool
}

// record adds the result of an attempt and reports whether it decides the call.
func (a *attempts) record(x result) (Reply, bool, error) {
	a.inFlight--
	a.unsent = a.unsent && isDialError(x.err)
	if x.err == nil {
		return x.reply, true, nil
	}
	isSettled := !a.certain || a.inFlight == 0 && !a.unanswered
	if isReplyError(x.err) && isSettled {
		return x.reply, true, x.err
	}
	a.unanswered = a.unanswered || !isReplyError(x.err) && !isDialError(x.err)
	switch {
	case a.inFlight > 0:
		return Reply{}, false, nil
	case a.unsent:
		return x.reply, true, fmt.Errorf("%w: %w", port.ErrUnsent, x.err)
	case isReplyError(x.err):
		return x.reply, true, fmt.Errorf("%w: %s", ErrOutcomeUnknown, x.err.Error())
	default:
		return x.reply, true, x.err
	}
}

func isDialError(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

func isReplyError(err error) bool {
	var s *ErrStatus
	return errors.As(err, &s)
}

func (c *Client) attempt(ctx context.Context, h *http.Client, r Request, body []byte) (Reply, error) {
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
	b, err := io.ReadAll(io.LimitReader(p.Body, c.maxReplyBytes+1))
	if err != nil {
		return Reply{}, fmt.Errorf("read reply of %s: %w", r.Path, err)
	}
	if int64(len(b)) > c.maxReplyBytes {
		return Reply{}, fmt.Errorf("read reply of %s: %w", r.Path, ErrReplyTooLarge)
	}
	if p.StatusCode >= http.StatusMultipleChoices {
		return Reply{}, newStatusError(p, b)
	}
	return Reply{Status: p.StatusCode, Header: p.Header, Body: b}, nil
}

func newStatusError(p *http.Response, body []byte) *ErrStatus {
	e := &ErrStatus{Status: p.StatusCode, Header: p.Header, Body: body}
	var f Failure
	if json.Unmarshal(body, &f) == nil {
		e.Code = f.Code
		e.Text = f.Text
	}
	return e
}
