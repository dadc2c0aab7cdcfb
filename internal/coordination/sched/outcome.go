package sched

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/once"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Outcome is how a job ended, apart from its answer.
type Outcome struct {
	Kind       fleet.OutcomeKind
	Reason     string
	RetryAfter time.Duration
}

// outcome returns how a job ended; the book answers for keys after the first caller has acknowledged the answer.
func (s *Sched) outcome(id string) (*wire.Outcome, bool) {
	o, ok := s.keeper.GetOutcome(id)
	if ok && (o.GetAnswerBytes() == 0 || len(o.GetAnswer()) > 0) {
		return o, true
	}
	if b, found := s.book.FindOutcome(id); found {
		return b, true
	}
	return o, ok
}

// end keeps the outcome of a job and tells those who await it; Done outcomes were kept with their answers before.
func (r *ownership) end(j fleet.Job, o Outcome) {
	r.note(kindOf(o.Kind), j, o.Reason)
	r.s.scope.Tagged(map[string]string{"kind": string(o.Kind), "profile": j.Profile}).Counter("jobs_ended").Inc(1)
	if o.Kind == fleet.Done {
		r.notify(j.ID)
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
		r.keepOutcome(r.ctx, j, w)
		r.notify(j.ID)
	})
}

func kindOf(k fleet.OutcomeKind) events.Kind {
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

// keepOutcome hands the outcome to the peers, and to the book when the job has a key.
func (r *ownership) keepOutcome(ctx context.Context, j fleet.Job, w *wire.Outcome) {
	// The keeper holds the outcome here also when no peer could be reached; its own loop repeats the copy.
	_ = r.s.keeper.PutOutcome(ctx, r.term, w)
	if !j.IsOnce() {
		return
	}
	err := r.s.book.PutOutcome(ctx, r.term, j, w)
	if err != nil && !errors.Is(err, once.ErrNoClaim) {
		r.s.scope.Counter("once_outcomes_failed").Inc(1)
	}
}

// keepDone keeps a whole answer before the workers may forget it.
func (r *ownership) keepDone(ctx context.Context, a *attempt, answer []byte) error {
	w := &wire.Outcome{
		Job:                a.job.ID,
		Attempt:            int32(a.job.Attempt),
		Kind:               string(fleet.Done),
		Answer:             answer,
		AnswerBytes:        int64(len(answer)),
		AnswerDigest:       xxhash.Sum64(answer),
		FinishedUnixMillis: r.now().UnixMilli(),
	}
	if err := r.s.keeper.PutOutcome(ctx, r.term, w); err != nil {
		return err
	}
	if !a.job.IsOnce() {
		return nil
	}
	err := r.s.book.PutOutcome(ctx, r.term, a.job, w)
	if errors.Is(err, once.ErrNoClaim) {
		return nil
	}
	return err
}
