package sched

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Outcome describes how a job ended, without its answer.
type Outcome struct {
	Kind       fleet.OutcomeKind
	Reason     string
	RetryAfter time.Duration
}

// outcome returns the outcome of a job. If the replica has dropped the answer because a caller acknowledged it, the
// outcome comes from the ledger of idempotency keys, which still holds the answer if the job has a key.
func (s *Scheduler) outcome(id string) (*wire.Outcome, bool) {
	o, ok := s.replica.GetOutcome(id)
	if ok && (o.GetAnswerBytes() == 0 || len(o.GetAnswer()) > 0) {
		return o, true
	}
	if b, found := s.ledger.FindOutcome(id); found {
		return b, true
	}
	return o, ok
}

// endJob stores the outcome of a job and notifies its waiters; collect has already stored a Done outcome, with its
// answer.
func (r *ownership) endJob(j fleet.Job, o Outcome) {
	r.addEvent(eventKind(o.Kind), j, o.Reason)
	r.s.scope.Tagged(map[string]string{"kind": string(o.Kind), "profile": j.Profile}).Counter("jobs_ended").Inc(1)
	if o.Kind == fleet.Done {
		r.notifyWaiters(j.ID)
		return
	}
	w := &wire.Outcome{
		Job:                j.ID,
		Attempt:            int32(j.Attempt),
		Kind:               string(o.Kind),
		Reason:             o.Reason,
		RetryAfterMillis:   o.RetryAfter.Milliseconds(),
		FinishedUnixMillis: r.now().UnixMilli(),
	}
	r.tasks.Go(func() {
		r.storeOutcome(r.ctx, j, w)
		r.notifyWaiters(j.ID)
	})
}

func eventKind(k fleet.OutcomeKind) events.Kind {
	switch k {
	case fleet.Done:
		return events.JobDone
	case fleet.Refused:
		return events.JobRefused
	case fleet.Cancelled:
		return events.JobCancelled
	default:
		return events.JobUnknown
	}
}

// storeOutcome replicates the outcome to the peers, and records it with the idempotency key if the job has one.
func (r *ownership) storeOutcome(ctx context.Context, j fleet.Job, w *wire.Outcome) {
	// The replica holds the outcome locally even when no peer can be reached, and retries the replication itself.
	_ = r.s.replica.PutOutcome(ctx, r.term, w)
	if !j.IsOnce() {
		return
	}
	err := r.s.ledger.PutOutcome(ctx, r.term, j, w)
	if err != nil && !errors.Is(err, dedup.ErrNoClaim) {
		r.s.scope.Counter("once_outcomes_failed").Inc(1)
	}
}

// storeAnswer stores a complete answer before the workers may delete it.
func (r *ownership) storeAnswer(ctx context.Context, a *attempt, answer []byte) error {
	w := &wire.Outcome{
		Job:                a.job.ID,
		Attempt:            int32(a.job.Attempt),
		Kind:               string(fleet.Done),
		Answer:             answer,
		AnswerBytes:        int64(len(answer)),
		AnswerDigest:       xxhash.Sum64(answer),
		FinishedUnixMillis: r.now().UnixMilli(),
	}
	if err := r.s.replica.PutOutcome(ctx, r.term, w); err != nil {
		return err
	}
	if !a.job.IsOnce() {
		return nil
	}
	err := r.s.ledger.PutOutcome(ctx, r.term, a.job, w)
	if errors.Is(err, dedup.ErrNoClaim) {
		return nil
	}
	return err
}
