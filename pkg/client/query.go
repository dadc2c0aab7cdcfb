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
	answerAttempts = 4
	digestHeader   = "Answer-Digest"
)

// Get returns the status of a job, and its outcome once it has ended.
func (c *Client) Get(ctx context.Context, job string) (Status, *Outcome, error) {
	return c.get(ctx, job, 0)
}

func (c *Client) get(ctx context.Context, job string, wait time.Duration) (Status, *Outcome, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	q := url.Values{"WaitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	f := c.call(ctx, rest.Request{
		Method: http.MethodGet,
		Path:   "/v1/jobs/" + url.PathEscape(job) + "?" + q.Encode(),
		Wait:   wait,
		Hedge:  true,
	})
	if f.err != nil {
		return Status{}, nil, fmt.Errorf("get job %s: %w", job, hostError(f.err))
	}
	v := decode(f.reply.Body)
	s := newStatus(v.Status)
	if v.Outcome.GetKind() == "" {
		return s, nil, nil
	}
	o := newOutcome(job, v.Outcome)
	return s, &o, nil
}

// Wait polls until a job has ended and returns its outcome.
func (c *Client) Wait(ctx context.Context, job string) (Outcome, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	// Each poll waits twice as long as the one before, up to c.wait: short first polls detect a dead connection early, and long
	// jobs need few polls.
	for wait := min(initialWait, c.wait); ; wait = min(2*wait, c.wait) {
		start := c.clock.Now()
		_, o, err := c.get(ctx, job, wait)
		if err != nil {
			return Outcome{}, err
		}
		if o != nil {
			return *o, nil
		}
		// A host that replies at once, although it may hold the poll, must not be polled in a busy loop.
		rest := min(wait, initialBackoff) - c.clock.Since(start)
		if err := c.clock.Sleep(ctx, rest); err != nil {
			return Outcome{}, fmt.Errorf("wait for job %s: %w", job, err)
		}
	}
}

// Answer returns the answer of a job whose outcome is Done, or *ErrAnswerMismatch if it does not match the length and digest in o.
func (c *Client) Answer(ctx context.Context, o Outcome) ([]byte, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	var last error
	for range answerAttempts {
		f := c.call(ctx, rest.Request{
			Method: http.MethodGet,
			Path:   "/v1/jobs/" + url.PathEscape(o.Job) + "/answer",
			Hedge:  true,
		})
		if f.err != nil {
			return nil, fmt.Errorf("get answer of %s: %w", o.Job, hostError(f.err))
		}
		if last = verifyAnswer(o, f.reply); last == nil {
			return f.reply.Body, nil
		}
	}
	return nil, last
}

// verifyAnswer checks an answer against the length and digest in the outcome.
func verifyAnswer(o Outcome, p rest.Reply) error {
	d, err := strconv.ParseUint(p.Header.Get(digestHeader), 16, 64)
	isMatch := err == nil && d == o.AnswerDigest && xxhash.Sum64(p.Body) == d
	if isMatch && int64(len(p.Body)) == o.AnswerBytes {
		return nil
	}
	return &ErrAnswerMismatch{Job: o.Job, Want: o.AnswerBytes, Got: int64(len(p.Body))}
}

type jobNames struct {
	Jobs []string
}

// Ack acknowledges the answers of jobs, which the hosts may then delete.
func (c *Client) Ack(ctx context.Context, jobs ...string) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	f := c.call(ctx, rest.Request{Method: http.MethodPost, Path: "/v1/jobs/ack", Body: jobNames{jobs}, Hedge: true})
	if f.err != nil {
		return fmt.Errorf("acknowledge jobs: %w", hostError(f.err))
	}
	return nil
}

// Cancellation is the result of cancelling one job; InTime is set if the job had not ended before.
type Cancellation struct {
	Job    string
	InTime bool
	State  string
}

// Cancel cancels jobs and returns one result for each.
func (c *Client) Cancel(ctx context.Context, jobs ...string) ([]Cancellation, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	f := c.call(ctx, rest.Request{Method: http.MethodPost, Path: "/v1/jobs/cancel", Body: jobNames{jobs}, Hedge: true})
	if f.err != nil {
		return nil, fmt.Errorf("cancel jobs: %w", hostError(f.err))
	}
	var p struct{ Results []Cancellation }
	if err := f.reply.Decode(&p); err != nil {
		return nil, fmt.Errorf("cancel jobs: %w", err)
	}
	return p.Results, nil
}

// Filter selects jobs; an empty field matches any.
type Filter struct {
	Organisation string
	Profile      string
	State        string
	Limit        int
}

// Listing holds the jobs found and the failure domains that could not be reached.
type Listing struct {
	Jobs        []Status
	Unreachable []string
}

// Find returns the jobs of all failure domains that match the filter.
func (c *Client) Find(ctx context.Context, f Filter) (Listing, error) {
	ctx, cancel := c.withTimeout(ctx)
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
		return Listing{}, fmt.Errorf("list jobs: %w", hostError(x.err))
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
		l.Jobs = append(l.Jobs, newStatus(j))
	}
	return l, nil
}

// IsRefused reports whether err is an *ErrRefused: the job did not run.
func IsRefused(err error) bool {
	var e *ErrRefused
	return errors.As(err, &e)
}

// IsUnknown reports whether err is an *ErrUnknown: the job may have run.
func IsUnknown(err error) bool {
	var e *ErrUnknown
	return errors.As(err, &e)
}
