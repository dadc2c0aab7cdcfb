package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/coordination/mirror"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/pkg/errors"
)

// Submit queues a job once a peer holds a copy; it is idempotent.
func (s *Scheduler) Submit(ctx context.Context, q *wire.SubmitRequest, reply *wire.SubmitReply) error {
	r, err := s.readyOwnership(ctx)
	if err != nil {
		return err
	}
	j := mirror.JobFromWire(q.GetJob())
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

// isRetryableOutcome reports whether a repeated request may run the job: only a refusal proves that nothing ran.
func isRetryableOutcome(o *wire.Outcome) bool {
	return o.GetKind() == string(fleet.Refused)
}

// readyOwnership returns the current ownership once its state is rebuilt.
func (s *Scheduler) readyOwnership(ctx context.Context) (*ownership, error) {
	r, err := s.currentOwnership()
	if err != nil {
		return nil, err
	}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	return r, nil
}

// submitOnce answers a request whose idempotency key was used before. It starts nothing while claims may be missing
// from the ledger of idempotency keys. It reports whether the reply is complete.
func (r *ownership) submitOnce(ctx context.Context, j fleet.Job, reply *wire.SubmitReply) (bool, error) {
	err := r.s.ledger.Open(ctx, r.term)
	if err == nil {
		err = r.s.ledger.Check(j)
	}
	var claimed dedup.ErrClaimed
	var missing dedup.ErrClaimsMissing
	var conflict dedup.ErrKeyConflict
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
		reply.Outcome = memoryMissingOutcome(j.ID, err)
		return true, nil
	}
	return false, fmt.Errorf("look up key of %s: %w", j.ID, err)
}

// memoryMissingOutcome returns Unknown rather than Refused, since an earlier request with the key may have run.
func memoryMissingOutcome(id string, err error) *wire.Outcome {
	return &wire.Outcome{
		Job:              id,
		Kind:             string(fleet.Unknown),
		Reason:           "nothing was started now; an earlier request with this key may have run: " + err.Error(),
		RetryAfterMillis: memoryRetryAfter.Milliseconds(),
	}
}

const memoryRetryAfter = 10 * time.Second

// enqueue replicates the job to a peer before it submits it to the planner, so that an accepted job survives the loss
// of this host.
func (r *ownership) enqueue(ctx context.Context, j fleet.Job, reply *wire.SubmitReply) error {
	isKnown := false
	if err := r.runInLoop(ctx, func() { _, err := r.planner.Status(j.ID); isKnown = err == nil }); err != nil {
		return err
	}
	if isKnown {
		reply.Accepted = true
		return nil
	}
	j.Attempt = int(r.term.Counter) << attemptBits
	if err := r.s.replica.Put(ctx, r.term, []fleet.Job{j}); err != nil {
		return fmt.Errorf("keep %s: %w", j.ID, err)
	}
	var refused error
	err := r.runInLoop(ctx, func() { refused = r.admit(j) })
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

// admit submits a job to the planner, and ends it when the planner refuses it.
func (r *ownership) admit(j fleet.Job) error {
	r.isChanged = true
	if err := r.planner.Submit(j); err != nil {
		r.endJob(j, refusalFromError(err))
		return err
	}
	r.addEvent(events.JobAccepted, j, j.Shape.String())
	return nil
}

func refusalFromError(err error) Outcome {
	o := Outcome{Kind: fleet.Refused, Reason: err.Error()}
	var full plan.ErrQueueRefused
	if errors.As(err, &full) {
		o.RetryAfter = full.RetryAfter
	}
	return o
}

func refusalOutcome(id string, err error) *wire.Outcome {
	o := refusalFromError(err)
	return &wire.Outcome{
		Job:              id,
		Kind:             string(o.Kind),
		Reason:           o.Reason,
		RetryAfterMillis: o.RetryAfter.Milliseconds(),
	}
}
