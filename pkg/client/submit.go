package client

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/pkg/errors"
)

// The caller's time that is kept back from the job's deadline: a share of it, and at most a margin.
const (
	deadlineShare  = 10
	deadlineMargin = time.Second
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

// Ticket names an accepted job; Outcome is set when its end is known already.
type Ticket struct {
	Job     string
	Outcome *Outcome
}

// Submit hands a job in. It returns *ErrRefused when the job provably did not run, and *ErrUnknown when it may run.
func (c *Client) Submit(ctx context.Context, j Job) (Ticket, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	if j.Request == "" {
		j.Request = rand.Text()
	}
	f := c.call(ctx, c.submission(ctx, j))
	if f.err == nil {
		return ticketOf(f.reply.Body), nil
	}
	return Ticket{}, j.fail(f)
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
		// The hosts give up before the caller does, so that the caller still hears that the job did not run.
		q.DeadlineMillis = max(1, (left - min(left/deadlineShare, deadlineMargin)).Milliseconds())
	}
	return rest.Request{
		Method: http.MethodPost,
		Path:   "/v1/jobs",
		Header: http.Header{"Request-Id": {j.Request}},
		Body:   q,
		Hedge:  true,
	}
}

func ticketOf(body []byte) Ticket {
	v := decode(body)
	t := Ticket{Job: v.Job}
	if v.Outcome != nil {
		o := outcomeOf(v.Job, v.Outcome)
		t.Outcome = &o
	}
	return t
}

// fail says Refused only when no attempt may have had an effect, whatever the last host answered.
func (j Job) fail(f fate) error {
	name := j.Request
	if errors.Is(f.err, errNoHosts) {
		return &ErrRefused{Job: name, Reason: f.err.Error()}
	}
	var s *rest.ErrStatus
	if !errors.As(f.err, &s) {
		if f.unsure {
			return &ErrUnknown{Job: name, Reason: "no host has answered: " + f.err.Error(), err: f.err}
		}
		return &ErrRefused{Job: name, Reason: "no host could be reached: " + f.err.Error(), RetryAfter: time.Second}
	}
	t := ticketOf(s.Body)
	if t.Outcome == nil {
		t.Outcome = &Outcome{Kind: Unknown, Reason: failed(f.err).Error()}
	}
	if t.Outcome.Job == "" {
		t.Outcome.Job = name
	}
	if f.unsure && t.Outcome.Kind == Refused {
		reason := "an earlier attempt was not answered, and the last was refused: " + t.Outcome.Reason
		return &ErrUnknown{Job: t.Outcome.Job, Reason: reason, err: f.err}
	}
	return t.Outcome.Err()
}

// Run submits a job, waits for its end within the deadline of ctx, and returns its whole answer.
func (c *Client) Run(ctx context.Context, j Job) (Result, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	t, err := c.Submit(ctx, j)
	if err != nil {
		return Result{}, err
	}
	return c.finish(ctx, j, t)
}

func (c *Client) finish(ctx context.Context, j Job, t Ticket) (Result, error) {
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
		// An answer that stays unacknowledged only expires later.
		_ = c.Ack(ctx, o.Job)
	}
	// The answer of a key stays, since a repeat of the key has to get it too.
	return Result{Outcome: *o, Answer: a}, nil
}
