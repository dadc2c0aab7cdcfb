package worker

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrDigestMismatch is returned for an answer whose digest differs from the one that its worker sent, or is missing.
var ErrDigestMismatch = errors.New("answer does not match its digest")

// HeaderAnswerDigest is the name of the response header that holds the xxhash64 of an answer in hexadecimal.
const HeaderAnswerDigest = "Answer-Digest"

type adapter struct {
	client  *rest.Client
	mu      sync.Mutex
	reports map[netip.AddrPort]cachedReport
}

// New returns a client for all workers, which calls them over HTTP.
func New(c *rest.Client) port.Workers {
	a := &adapter{client: c, reports: map[netip.AddrPort]cachedReport{}}
	return port.Workers{
		Renew:    a.renew,
		Inspect:  a.inspect,
		Prepare:  a.prepare,
		Start:    a.start,
		Stop:     a.stop,
		Throttle: a.throttle,
		Answer:   a.answer,
		Forget:   a.forget,
	}
}

func (a *adapter) renew(ctx context.Context, w netip.AddrPort, l fleet.Lease) (fleet.Report, error) {
	prev := a.cached(w)
	q := RenewRequest{Term: l.Term, LeaseMillis: l.Duration.Milliseconds(), Since: prev.change}
	var p Report
	if err := a.post(ctx, w, PathRenew, q, &p); err != nil {
		return fleet.Report{}, fmt.Errorf("renew lease of %s: %w", w, err)
	}
	v := prev.merge(p)
	a.cache(w, v)
	return v.report(), nil
}

func (a *adapter) inspect(ctx context.Context, w netip.AddrPort, t fleet.Term) (fleet.Report, error) {
	var p Report
	if err := a.post(ctx, w, PathInspect, InspectRequest{Term: t}, &p); err != nil {
		return fleet.Report{}, fmt.Errorf("inspect %s: %w", w, err)
	}
	return cachedReport{}.merge(p).report(), nil
}

func (a *adapter) prepare(ctx context.Context, w netip.AddrPort, t fleet.Term, ts []fleet.Task) error {
	q := PrepareRequest{Term: t}
	for _, x := range ts {
		q.Tasks = append(q.Tasks, TaskFromFleet(x))
	}
	if err := a.post(ctx, w, PathPrepare, q, nil); err != nil {
		return fmt.Errorf("prepare on %s: %w", w, err)
	}
	return nil
}

func (a *adapter) start(ctx context.Context, w netip.AddrPort, t fleet.Term, rs []fleet.TaskRef) error {
	if err := a.post(ctx, w, PathStart, RefsRequest{Term: t, Refs: rs}, nil); err != nil {
		return fmt.Errorf("start on %s: %w", w, err)
	}
	return nil
}

func (a *adapter) stop(
	ctx context.Context, w netip.AddrPort, t fleet.Term, rs []fleet.TaskRef, grace time.Duration,
) error {
	q := StopRequest{Term: t, Refs: rs, GraceMillis: grace.Milliseconds()}
	if err := a.post(ctx, w, PathStop, q, nil); err != nil {
		return fmt.Errorf("stop on %s: %w", w, err)
	}
	return nil
}

func (a *adapter) throttle(
	ctx context.Context, w netip.AddrPort, t fleet.Term, r fleet.TaskRef, share float64,
) error {
	q := ThrottleRequest{Term: t, Ref: r, Share: share}
	if err := a.post(ctx, w, PathThrottle, q, nil); err != nil {
		return fmt.Errorf("throttle on %s: %w", w, err)
	}
	return nil
}

func (a *adapter) forget(ctx context.Context, w netip.AddrPort, t fleet.Term, rs []fleet.TaskRef) error {
	if err := a.post(ctx, w, PathForget, RefsRequest{Term: t, Refs: rs}, nil); err != nil {
		return fmt.Errorf("forget on %s: %w", w, err)
	}
	return nil
}

func (a *adapter) answer(ctx context.Context, w netip.AddrPort, r fleet.TaskRef) ([]byte, error) {
	v := url.Values{}
	v.Set("Job", r.Job)
	v.Set("Attempt", strconv.Itoa(r.Attempt))
	v.Set("Task", strconv.Itoa(r.Task))
	q := rest.Request{Method: http.MethodGet, Addr: w, Path: PathAnswer + "?" + v.Encode(), Hedge: true}
	p, err := a.client.Do(ctx, q)
	if err != nil {
		return nil, fmt.Errorf("fetch answer of %s from %s: %w", r.Job, w, mapError(err))
	}
	want, err := strconv.ParseUint(p.Header.Get(HeaderAnswerDigest), 16, 64)
	if err != nil || want != xxhash.Sum64(p.Body) {
		return nil, fmt.Errorf("fetch answer of %s from %s: %w", r.Job, w, ErrDigestMismatch)
	}
	return p.Body, nil
}

func (a *adapter) post(ctx context.Context, w netip.AddrPort, path string, body, out any) error {
	q := rest.Request{Method: http.MethodPost, Addr: w, Path: path, Body: body, Hedge: true}
	return mapError(a.client.JSON(ctx, q, out))
}

// mapError returns the error of package port that belongs to the code of a worker's failure.
func mapError(err error) error {
	var s *rest.ErrStatus
	if !errors.As(err, &s) {
		return err
	}
	switch s.Code {
	case CodeFenced:
		return fmt.Errorf("%s: %w", s.Text, port.ErrFenced)
	case CodeNoRoom:
		return fmt.Errorf("%s: %w", s.Text, port.ErrNoRoom)
	case CodeNoTask:
		return fmt.Errorf("%s: %w", s.Text, port.ErrNoTask)
	default:
		return err
	}
}
