package gang

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/events"
)

// rollBack stops an attempt of which not all workers started their part, and finds out what ran.
func (g *Gangs) rollBack(ctx context.Context, a Attempt, ps []part, rs []startResult, no ErrNoStart) (Attempt, error) {
	ran := make([]bool, len(ps))
	errs := eachIndex(ps, func(i int) error {
		if g.off.stop {
			return nil
		}
		s, err := g.undo(ctx, a, ps[i])
		ran[i] = s.hasStarted()
		if rs[i].err != nil && !rs[i].maybe {
			return nil
		}
		return err
	})
	var unsure, started []string
	for i, p := range ps {
		if errs[i] != nil {
			unsure = append(unsure, p.worker)
		}
		if ran[i] {
			started = append(started, p.worker)
		}
	}
	return g.judge(a, sorted(unsure), sorted(started), no)
}

// undo stops the part of one worker and returns its standing after the stop.
func (g *Gangs) undo(ctx context.Context, a Attempt, p part) (standing, error) {
	if err := g.stopPart(ctx, a.Term, p, 0); err != nil {
		return standing{}, err
	}
	var s standing
	err := g.again(ctx, func() error {
		var err error
		s, err = g.ask(ctx, a.Term, p)
		if err == nil && s.isActive() {
			return fmt.Errorf("after a stop: %w", ErrNotStopped{Job: a.Job.ID, Workers: []string{p.worker}})
		}
		return err
	})
	if err == nil && !s.hasStarted() {
		// Tasks that ran are kept as evidence until their outcome is known; a failure here is swept later.
		_ = g.forgetPart(ctx, a.Term, p)
	}
	return s, err
}

// judge says what is known of an attempt after its roll back.
func (g *Gangs) judge(a Attempt, unsure, started []string, no ErrNoStart) (Attempt, error) {
	switch {
	case len(unsure) > 0:
		a.State = Unknown
		a.Unsure = unsure
		g.stats.unknown.Inc(1)
		g.note(events.JobUnknown, a.Job, unsure[0], "start is not known")
		return a, ErrStartUnknown{Job: a.Job.ID, Workers: unsure, Err: no}
	case len(started) > 0:
		a.State = Partly
		g.stats.partly.Inc(1)
		g.note(events.JobStopped, a.Job, no.Worker, "not all workers started")
		return a, ErrPartlyStarted{Job: a.Job.ID, Workers: started, Err: no}
	default:
		a.State = NotStarted
		g.stats.noStart.Inc(1)
		return a, no
	}
}
