package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	answerTries  = 4
	digestHeader = "Answer-Digest"
)

// Get returns the status of a job, and its outcome once it has ended.
func (c *Client) Get(ctx context.Context, job string) (Status, *Outcome, error) {
	return c.get(ctx, job, 0)
}

func (c *Client) get(ctx context.Context, job string, wait time.Duration) (Status, *Outcome, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	q := url.Values{"WaitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	f := c.call(ctx, rest.Request{
		Method: http.MethodGet,
		Path:   "/v1/jobs/" + url.PathEscape(job) + "?" + q.Encode(),
		Wait:   wait,
		Hedge:  true,
	})
	if f.err != nil {
		return Status{}, nil, fmt.Errorf("get job %s: %w", job, failed(f.err))
	}
	v := decode(f.reply.Body)
	s := statusOf(v.Status)
	if v.Outcome.GetKind() == "" {
		return s, nil, nil
	}
	o := outcomeOf(job, v.Outcome)
	return s, &o, nil
}

// Wait returns the outcome of a job once it has ended.
func (c *Client) Wait(ctx context.Context, job string) (Outcome, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	// A poll as long as all before it notices a silent connection in time, and costs long jobs few polls.
	for wait := min(firstWait, c.wait); ; wait = min(2*wait, c.wait) {
		start := c.clock.Now()
		_, o, err := c.get(ctx, job, wait)
		if err != nil {
			return Outcome{}, err
		}
		if o != nil {
			return *o, nil
		}
		// A host that answers at once, although it may wait, is not asked in a loop.
		rest := min(wait, firstBackoff) - c.clock.Since(start)
		if err := c.clock.Sleep(ctx, rest); err != nil {
			return Outcome{}, fmt.Errorf("wait for job %s: %w", job, err)
		}
	}
}

// Answer returns the answer of a job that is done; it is whole by length and digest, or the error is *ErrNotWhole.
func (c *Client) Answer(ctx context.Context, o Outcome) ([]byte, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	var last error
	for range answerTries {
		f := c.call(ctx, rest.Request{
			Method: http.MethodGet,
			Path:   "/v1/jobs/" + url.PathEscape(o.Job) + "/answer",
			Hedge:  true,
		})
		if f.err != nil {
			return nil, fmt.Errorf("get answer of %s: %w", o.Job, failed(f.err))
		}
		if last = whole(o, f.reply); last == nil {
			return f.reply.Body, nil
		}
	}
	return nil, last
}

func whole(o Outcome, p rest.Reply) error {
	d, err := strconv.ParseUint(p.Header.Get(digestHeader), 16, 64)
	isSame := err == nil && d == o.AnswerDigest && xxhash.Sum64(p.Body) == d
	if isSame && int64(len(p.Body)) == o.AnswerBytes {
		return nil
	}
	return &ErrNotWhole{Job: o.Job, Want: o.AnswerBytes, Got: int64(len(p.Body))}
}

type names struct {
	Jobs []string
}

// Ack lets the hosts drop the answers of jobs.
func (c *Client) Ack(ctx context.Context, jobs ...string) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	f := c.call(ctx, rest.Request{Method: http.MethodPost, Path: "/v1/jobs/ack", Body: names{jobs}, Hedge: true})
	if f.err != nil {
		return fmt.Errorf("acknowledge jobs: %w", failed(f.err))
	}
	return nil
}

// Cancellation says whether a cancellation came before its job ended.
type Cancellation struct {
	Job    string
	InTime bool
	State  string
}

// Cancel withdraws jobs.
func (c *Client) Cancel(ctx context.Context, jobs ...string) ([]Cancellation, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	f := c.call(ctx, rest.Request{Method: http.MethodPost, Path: "/v1/jobs/cancel", Body: names{jobs}, Hedge: true})
	if f.err != nil {
		return nil, fmt.Errorf("cancel jobs: %w", failed(f.err))
	}
	var p struct{ Results []Cancellation }
	if err := f.reply.Decode(&p); err != nil {
		return nil, fmt.Errorf("cancel jobs: %w", err)
	}
	return p.Results, nil
}

// Filter selects jobs; empty fields select all.
type Filter struct {
	Organisation string
	Profile      string
	State        string
	Limit        int
}

// Listing holds jobs, and the failure domains that could not be asked.
type Listing struct {
	Jobs        []Status
	Unreachable []string
}

// Find lists jobs over all failure domains.
func (c *Client) Find(ctx context.Context, f Filter) (Listing, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	q := url.Values{}
	q.Set("Organisation", f.Organisation)
	q.Set("Profile", f.Profile)
	q.Set("State", f.State)
	if f.Limit > 0 {
		q.Set("Limit", strconv.Itoa(f.Limit))
	}
	x := c.call(ctx, rest.Request{Method: http.MethodGet, Path: "/v1/jobs?" + q.Encode(), Hedge: true})
	if x.err != nil {
		return Listing{}, fmt.Errorf("list jobs: %w", failed(x.err))
	}
	var p struct {
		Jobs        []*wire.JobStatus
		Unreachable []string
	}
	if err := x.reply.Decode(&p); err != nil {
		return Listing{}, fmt.Errorf("list jobs: %w", err)
	}
	l := Listing{Unreachable: p.Unreachable}
	for _, j := range p.Jobs {
		l.Jobs = append(l.Jobs, statusOf(j))
	}
	return l, nil
}

// IsRefused reports whether err says that a job provably did not run.
func IsRefused(err error) bool {
	var e *ErrRefused
	return errors.As(err, &e)
}

// IsUnknown reports whether err says that a job may have run.
func IsUnknown(err error) bool {
	var e *ErrUnknown
	return errors.As(err, &e)
}
