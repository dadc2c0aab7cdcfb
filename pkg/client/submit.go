package client

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/pkg/errors"
)

// The job's deadline is earlier than the caller's by a tenth of the time left, and by maxDeadlineMargin at most.
const (
	deadlineDivisor   = 10
	maxDeadlineMargin = time.Second
)

// submission is the body of a request to run a job.
type submission struct {
	Organisation   string
	Profile        string
	Key            string
	Shape          Shape
	RunTimeMillis  int64
	DeadlineMillis int64
	Work           []byte
}

// Ticket is the id of an accepted job; Outcome is set if the job has already ended.
type Ticket struct {
	Job     string
	Outcome *Outcome
}

// Submit submits a job. It returns *ErrRefused if the job did not run and never will, and *ErrUnknown if it may run.
func (c *Client) Submit(ctx context.Context, j Job) (Ticket, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if j.Request == "" {
		j.Request = rand.Text()
	}
	f := c.call(ctx, c.submission(ctx, j))
	if f.err == nil {
		return newTicket(f.reply.Body), nil
	}
	return Ticket{}, j.submitError(f)
}

func (c *Client) submission(ctx context.Context, j Job) rest.Request {
	q := submission{
		Organisation:  j.Organisation,
		Profile:       j.Profile,
		Key:           j.Key,
		Shape:         j.Shape,
		RunTimeMillis: j.RunTime.Milliseconds(),
		Work:          j.Work,
	}
	if d, ok := ctx.Deadline(); ok {
		left := d.Sub(c.clock.Now())
		// The hosts refuse a job that has not started by this deadline; the margin leaves time for that refusal to reach the caller.
		q.DeadlineMillis = max(1, (left - min(left/deadlineDivisor, maxDeadlineMargin)).Milliseconds())
	}
	return rest.Request{
		Method: http.MethodPost,
		Path:   "/v1/jobs",
		Header: http.Header{"Request-Id": {j.Request}},
		Body:   q,
		Hedge:  true,
	}
}

func newTicket(body []byte) Ticket {
	v := decode(body)
	t := Ticket{Job: v.Job}
	if v.Outcome != nil {
		o := newOutcome(v.Job, v.Outcome)
		t.Outcome = &o
	}
	return t
}

// submitError returns *ErrRefused only if no attempt may have taken effect, whatever the last host replied.
func (j Job) submitError(f callResult) error {
	name := j.Request
	if errors.Is(f.err, errNoHosts) {
		return &ErrRefused{Job: name, Reason: f.err.Error()}
	}
	var s *rest.ErrStatus
	if !errors.As(f.err, &s) {
		if f.isAmbiguous {
			return &ErrUnknown{Job: name, Reason: "no host replied: " + f.err.Error(), err: f.err}
		}
		return &ErrRefused{Job: name, Reason: "no host could be reached: " + f.err.Error(), RetryAfter: time.Second}
	}
	t := newTicket(s.Body)
	if t.Outcome == nil {
		t.Outcome = &Outcome{Kind: Unknown, Reason: hostError(f.err).Error()}
	}
	if t.Outcome.Job == "" {
		t.Outcome.Job = name
	}
	if f.isAmbiguous && t.Outcome.Kind == Refused {
		reason := "an earlier attempt got no final reply, and the last was refused: " + t.Outcome.Reason
		return &ErrUnknown{Job: t.Outcome.Job, Reason: reason, err: f.err}
	}
	return t.Outcome.Err()
}

// Run submits a job, waits for its end within the deadline of ctx, and returns its verified answer.
func (c *Client) Run(ctx context.Context, j Job) (Result, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	t, err := c.Submit(ctx, j)
	if err != nil {
		return Result{}, err
	}
	return c.awaitResult(ctx, j, t)
}

func (c *Client) awaitResult(ctx context.Context, j Job, t Ticket) (Result, error) {
	o := t.Outcome
	if o == nil {
		x, err := c.Wait(ctx, t.Job)
		if err != nil {
			return Result{}, &ErrUnknown{Job: t.Job, Reason: err.Error(), err: err}
		}
		o = &x
	}
	if err := o.Err(); err != nil {
		return Result{Outcome: *o}, err
	}
	a, err := c.Answer(ctx, *o)
	if err != nil {
		return Result{Outcome: *o}, err
	}
	if j.Key == "" {
		// A failed acknowledgement is harmless: the answer then stays until it expires.
		_ = c.Ack(ctx, o.Job)
	}
	// The answer of a job with a key is not acknowledged, since a retry with the key has to get it too.
	return Result{Outcome: *o, Answer: a}, nil
}
