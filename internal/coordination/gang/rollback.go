package gang

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/events"
)

// rollBack stops an attempt that not all workers started, and determines which tasks ran.
func (g *Gangs) rollBack(ctx context.Context, a Attempt, ps []part, rs []startResult, cause ErrNotStarted) (Attempt, error) {
	ran := make([]bool, len(ps))
	errs := forEachIndex(ps, func(i int) error {
		if g.disabled.stop {
			return nil
		}
		s, err := g.stopAndInspect(ctx, a, ps[i])
		ran[i] = s.hasAnyStarted()
		if rs[i].err != nil && !rs[i].mayHaveStarted {
			return nil
		}
		return err
	})
	var unconfirmed, started []string
	for i, p := range ps {
		if errs[i] != nil {
			unconfirmed = append(unconfirmed, p.worker)
		}
		if ran[i] {
			started = append(started, p.worker)
		}
	}
	return g.classifyStart(a, sortedUnique(unconfirmed), sortedUnique(started), cause)
}

// stopAndInspect stops the part on one worker and returns its status after the stop.
func (g *Gangs) stopAndInspect(ctx context.Context, a Attempt, p part) (partStatus, error) {
	if err := g.stopPart(ctx, a.Term, p, 0); err != nil {
		return partStatus{}, err
	}
	var s partStatus
	err := g.retry(ctx, func() error {
		var err error
		s, err = g.inspect(ctx, a.Term, p)
		if err == nil && s.hasActive() {
			return fmt.Errorf("tasks still active after stop: %w", ErrNotStopped{Job: a.Job.ID, Workers: []string{p.worker}})
		}
		return err
	})
	if err == nil && !s.hasAnyStarted() {
		// Started tasks stay on the worker as evidence that they ran until their outcome is stored. Tasks left behind by a
		// failure here are deleted by a later Sweep.
		_ = g.forgetPart(ctx, a.Term, p)
	}
	return s, err
}

// classifyStart sets the state of an attempt after its rollback and returns the matching error.
func (g *Gangs) classifyStart(a Attempt, unconfirmed, started []string, cause ErrNotStarted) (Attempt, error) {
	switch {
	case len(unconfirmed) > 0:
		a.State = Unknown
		a.Unconfirmed = unconfirmed
		g.stats.unknown.Inc(1)
		g.addEvent(events.JobUnknown, a.Job, unconfirmed[0], "start is not known")
		return a, ErrStartUnknown{Job: a.Job.ID, Workers: unconfirmed, Err: cause}
	case len(started) > 0:
		a.State = Partly
		g.stats.partly.Inc(1)
		g.addEvent(events.JobStopped, a.Job, cause.Worker, "not all workers started")
		return a, ErrPartlyStarted{Job: a.Job.ID, Workers: started, Err: cause}
	default:
		a.State = NotStarted
		g.stats.noStart.Inc(1)
		return a, cause
	}
}
