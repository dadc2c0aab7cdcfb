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
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// errNoHosts is returned by a client that was created without hosts.
var errNoHosts = errors.New("no entry host is configured")

// jobView is the body of a reply about one job.
type jobView struct {
	Job     string
	Status  *wire.JobStatus
	Outcome *wire.Outcome
	Reason  string
}

// callResult is the last reply or error of a call, over all its attempts.
type callResult struct {
	reply rest.Reply
	err   error
	// isAmbiguous is set if an attempt failed and may have taken effect nevertheless.
	isAmbiguous bool
}

// call tries the hosts in turn until one gives a final reply or ctx is done.
func (c *Client) call(ctx context.Context, r rest.Request) callResult {
	f := callResult{err: errNoHosts}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	for n := 0; len(c.hosts) > 0; n++ {
		if n > 0 && !c.waitRetry(ctx, b, n) {
			return f
		}
		i := c.current.Load()
		r.Addr = c.hosts[int(i)%len(c.hosts)]
		f.reply, f.err = c.rest.Do(ctx, r)
		if f.err == nil || isFinal(f.err) {
			return f
		}
		f.isAmbiguous = f.isAmbiguous || mayHaveEffect(f.err)
		c.current.CompareAndSwap(i, i+1)
	}
	return f
}

// waitRetry waits for the retry budget and, once every host has been tried, for the backoff. It returns false if ctx is done.
func (c *Client) waitRetry(ctx context.Context, b *backoff.ExponentialBackOff, n int) bool {
	if c.budget.wait(ctx) != nil {
		return false
	}
	if n < len(c.hosts) {
		return true
	}
	return c.clock.Sleep(ctx, b.NextBackOff()) == nil
}

// isFinal reports whether a retry with another host is pointless: 502, 503 and 504 are worth one, any other status is not.
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

// mayHaveEffect reports whether the attempt that failed with err may have taken effect.
func mayHaveEffect(err error) bool {
	if errors.Is(err, port.ErrUnsent) {
		return false
	}
	var s *rest.ErrStatus
	if !errors.As(err, &s) {
		return true
	}
	return decode(s.Body).Outcome.GetKind() != Refused
}

func decode(body []byte) jobView {
	var v jobView
	// The zero jobView stands for a body that cannot be parsed.
	_ = json.Unmarshal(body, &v)
	return v
}

// hostError converts an error status of a host to *ErrHost with the reason from the body; other errors stay as they are.
func hostError(err error) error {
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
