package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/keep"
	"github.com/auburncleat/auburncleat/internal/coordination/once"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/pkg/errors"
)

// Submit takes a job into the queue once a peer holds it too; repeating it changes nothing.
func (s *Sched) Submit(ctx context.Context, q *wire.SubmitRequest, reply *wire.SubmitReply) error {
	r, err := s.ready(ctx)
	if err != nil {
		return err
	}
	j := keep.JobFromWire(q.GetJob())
	reply.Job = j.ID
	if o, ok := s.outcome(j.ID); ok && !isRetryableOutcome(o) {
		reply.Outcome = o
		return nil
	}
	if j.IsOnce() {
		done, err := r.submitOnce(ctx, j, reply)
		if done || err != nil {
			return err
		}
	}
	return r.enqueue(ctx, j, reply)
}

// isRetryableOutcome reports whether a repeated request may still run: only a refusal proves that nothing ran.
func isRetryableOutcome(o *wire.Outcome) bool {
	return o.GetKind() == string(fleet.Refused)
}

// ready returns the ownership that may act, once its books are rebuilt.
func (s *Sched) ready(ctx context.Context) (*ownership, error) {
	r, err := s.current()
	if err != nil {
		return nil, err
	}
	if err := r.await(ctx); err != nil {
		return nil, err
	}
	return r, nil
}

// submitOnce answers a repeated key from the first attempt, and starts nothing while claims may be missing.
//
// It reports whether the reply is complete.
func (r *ownership) submitOnce(ctx context.Context, j fleet.Job, reply *wire.SubmitReply) (bool, error) {
	err := r.s.book.Open(ctx, r.term)
	if err == nil {
		err = r.s.book.Check(j)
	}
	var claimed once.ErrClaimed
	var missing once.ErrClaimsMissing
	var conflict once.ErrKeyConflict
	switch {
	case err == nil:
		return false, nil
	case errors.As(err, &claimed) && claimed.Outcome != nil:
		reply.Job = claimed.Job
		reply.Outcome = claimed.Outcome
		return true, nil
	case errors.As(err, &claimed):
		reply.Job = claimed.Job
		reply.Accepted = true
		return true, nil
	case errors.As(err, &conflict):
		reply.Outcome = refusalOutcome(j.ID, err)
		return true, nil
	case errors.As(err, &missing):
		reply.Outcome = missingOutcome(j.ID, err)
		return true, nil
	}
	return false, fmt.Errorf("look up key of %s: %w", j.ID, err)
}

// missingOutcome does not say Refused, since an earlier request with the key may have run.
func missingOutcome(id string, err error) *wire.Outcome {
	return &wire.Outcome{
		Job:              id,
		Kind:             string(fleet.Unknown),
		Reason:           "nothing was started now; an earlier request with this key may have run: " + err.Error(),
		RetryAfterMillis: memoryRetry.Milliseconds(),
	}
}

const memoryRetry = 10 * time.Second

// enqueue hands the job to a peer before the planner, so that an accepted job outlives this host.
func (r *ownership) enqueue(ctx context.Context, j fleet.Job, reply *wire.SubmitReply) error {
	known := false
	if err := r.do(ctx, func() { _, err := r.planner.Status(j.ID); known = err == nil }); err != nil {
		return err
	}
	if known {
		reply.Accepted = true
		return nil
	}
	j.Attempt = int(r.term.Counter) << attemptBits
	if err := r.s.keeper.Put(ctx, r.term, []fleet.Job{j}); err != nil {
		return fmt.Errorf("keep %s: %w", j.ID, err)
	}
	var refused error
	err := r.do(ctx, func() { refused = r.admit(j) })
	if err != nil {
		return err
	}
	if refused != nil {
		reply.Outcome = refusalOutcome(j.ID, refused)
		return nil
	}
	reply.Accepted = true
	return nil
}

// admit queues a job, or ends it when the planner refuses it.
func (r *ownership) admit(j fleet.Job) error {
	r.isChanged = true
	if err := r.planner.Submit(j); err != nil {
		r.end(j, outcomeOf(err))
		return err
	}
	r.note(events.JobAccepted, j, j.Shape.String())
	return nil
}

func outcomeOf(err error) Outcome {
	o := Outcome{Kind: fleet.Refused, Reason: err.Error()}
	var full plan.ErrQueueRefused
	if errors.As(err, &full) {
		o.RetryAfter = full.RetryAfter
	}
	return o
}

func refusalOutcome(id string, err error) *wire.Outcome {
	o := outcomeOf(err)
	return &wire.Outcome{
		Job:              id,
		Kind:             string(o.Kind),
		Reason:           o.Reason,
		RetryAfterMillis: o.RetryAfter.Milliseconds(),
	}
}
