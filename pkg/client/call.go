package client

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

const (
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// errNoHosts says that a client was built without hosts.
var errNoHosts = errors.New("no entry host is configured")

// view is the reply to a question or a request about one job.
type view struct {
	Job     string
	Status  *wire.JobStatus
	Outcome *wire.Outcome
	Reason  string
}

// fate tells what the attempts of a call may have done.
type fate struct {
	reply rest.Reply
	err   error
	// unsure is set when an attempt may have had an effect that no reply tells of.
	unsure bool
}

// call tries one host after the other until one gives a final reply or the context ends.
func (c *Client) call(ctx context.Context, r rest.Request) fate {
	f := fate{err: errNoHosts}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = lastBackoff
	for n := 0; len(c.hosts) > 0; n++ {
		if n > 0 && !c.mayRetry(ctx, b, n) {
			return f
		}
		i := c.current.Load()
		r.Addr = c.hosts[int(i)%len(c.hosts)]
		f.reply, f.err = c.rest.Do(ctx, r)
		if f.err == nil || isFinal(f.err) {
			return f
		}
		f.unsure = f.unsure || isUnsure(f.err)
		c.current.CompareAndSwap(i, i+1)
	}
	return f
}

// mayRetry waits for the budget and, once every host has been tried, for the backoff.
func (c *Client) mayRetry(ctx context.Context, b *backoff.ExponentialBackOff, n int) bool {
	if c.budget.take(ctx) != nil {
		return false
	}
	if n < len(c.hosts) {
		return true
	}
	return c.clock.Sleep(ctx, b.NextBackOff()) == nil
}

// isFinal reports whether another host would not do better.
func isFinal(err error) bool {
	var s *rest.ErrStatus
	if !errors.As(err, &s) {
		return false
	}
	switch s.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	default:
		return true
	}
}

// isUnsure reports whether the attempt that ended with err may have had an effect.
func isUnsure(err error) bool {
	if errors.Is(err, port.ErrUnsent) {
		return false
	}
	var s *rest.ErrStatus
	if !errors.As(err, &s) {
		return true
	}
	return decode(s.Body).Outcome.GetKind() != Refused
}

func decode(body []byte) view {
	var v view
	// A body that cannot be parsed tells nothing, which is what the zero view says.
	_ = json.Unmarshal(body, &v)
	return v
}

// failed turns the error of a question into one that carries the host's reason.
func failed(err error) error {
	var s *rest.ErrStatus
	if !errors.As(err, &s) {
		return err
	}
	v := decode(s.Body)
	if v.Reason == "" {
		v.Reason = v.Outcome.GetReason()
	}
	return &ErrHost{Status: s.Status, Reason: v.Reason}
}
