package gang

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
)

// Start prepares a gang on all its workers, commits, and starts it everywhere, or aborts it wholly.
//
// The commit runs when every worker holds its tasks and none runs; nil commits nothing. The state of the returned
// attempt is exact: ErrNoStart goes with NotStarted, ErrPartlyStarted with Partly and ErrStartUnknown with Unknown.
func (g *Gangs) Start(
	ctx context.Context,
	t fleet.Term,
	j fleet.Job,
	as []fleet.Assignment,
	commit func(context.Context) error,
) (Attempt, error) {
	w := g.stats.startTime.Start()
	defer w.Stop()
	a := Attempt{Term: t, Job: j, Placement: as, State: NotStarted}
	ps, err := g.parts(a)
	if err != nil {
		return a, ErrNoStart{Job: j.ID, Err: err}
	}
	r := g.addRun(a, ps)
	if p, err := g.prepare(ctx, a, ps); err != nil {
		g.abort(ctx, r)
		return a, ErrNoStart{Job: j.ID, Worker: p, Err: fmt.Errorf("prepare: %w", err)}
	}
	if commit != nil {
		if err := commit(ctx); err != nil {
			g.abort(ctx, r)
			return a, ErrNoStart{Job: j.ID, Err: fmt.Errorf("commit: %w", err)}
		}
	}
	return g.launch(ctx, r)
}

// prepare returns the first worker that did not prepare its tasks, and why.
func (g *Gangs) prepare(ctx context.Context, a Attempt, ps []part) (string, error) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := each(ps, func(p part) error {
		err := g.command(c, g.bounds.Call, func(ctx context.Context) error {
			return g.workers.Prepare(ctx, p.addr, a.Term, p.tasks)
		})
		if err == nil && g.off.barrier {
			err = g.workers.Start(c, p.addr, a.Term, p.refs)
		}
		if err != nil {
			cancel()
		}
		return err
	})
	return firstError(ps, errs)
}

// firstError prefers a worker's own refusal to the cancellation that follows from it.
func firstError(ps []part, errs []error) (string, error) {
	first := -1
	for i, err := range errs {
		if err == nil {
			continue
		}
		if first < 0 || isBetter(err, errs[first]) {
			first = i
		}
	}
	if first < 0 {
		return "", nil
	}
	return ps[first].worker, errs[first]
}

func isBetter(err, than error) bool {
	return !errors.Is(err, context.Canceled) && errors.Is(than, context.Canceled)
}

// abort releases what the workers hold for an attempt of which no start was sent.
func (g *Gangs) abort(ctx context.Context, r *run) {
	defer g.dropRun(r)
	g.stats.aborted.Inc(1)
	g.stats.noStart.Inc(1)
	c, cancel := g.detached(ctx)
	defer cancel()
	each(r.parts, func(p part) error {
		if err := g.stopPart(c, r.attempt.Term, p, 0); err != nil {
			return err
		}
		return g.forgetPart(c, r.attempt.Term, p)
	})
}

// detached returns a context that outlives its caller, for work that must not be left half done.
func (g *Gangs) detached(ctx context.Context) (context.Context, context.CancelFunc) {
	d := 2 * time.Duration(g.bounds.Tries) * (g.bounds.Call + g.bounds.Pause)
	return context.WithTimeout(context.WithoutCancel(ctx), d)
}

func (g *Gangs) stopPart(ctx context.Context, t fleet.Term, p part, grace time.Duration) error {
	err := g.repeat(ctx, func(ctx context.Context) error {
		return g.workers.Stop(ctx, p.addr, t, p.refs, grace)
	})
	if errors.Is(err, port.ErrNoTask) {
		return nil
	}
	return err
}

func (g *Gangs) forgetPart(ctx context.Context, t fleet.Term, p part) error {
	return g.repeat(ctx, func(ctx context.Context) error {
		return g.workers.Forget(ctx, p.addr, t, p.refs)
	})
}

// startResult is what became of the start of one worker's part.
type startResult struct {
	// maybe is set when a start was sent and may have taken effect.
	maybe bool
	err   error
}

// launch starts the prepared gang; from here on the attempt may run.
func (g *Gangs) launch(ctx context.Context, r *run) (Attempt, error) {
	a, ps := r.attempt, r.parts
	r.begin(g.clock.Now())
	c, cancel := g.detached(ctx)
	defer cancel()
	rs := make([]startResult, len(ps))
	errs := eachIndex(ps, func(i int) error {
		rs[i] = g.startPart(c, a, ps[i])
		return rs[i].err
	})
	worker, err := firstError(ps, errs)
	if err != nil {
		defer g.dropRun(r)
		u, cancel := g.detached(ctx)
		defer cancel()
		return g.rollBack(u, a, ps, rs, ErrNoStart{Job: a.Job.ID, Worker: worker, Err: fmt.Errorf("start: %w", err)})
	}
	a.State = Started
	g.stats.started.Inc(1)
	g.note(events.JobStarted, a.Job, "", fmt.Sprintf("attempt %d on %d workers", a.Job.Attempt, len(ps)))
	return a, nil
}

// startPart starts the tasks of one worker; an answer that was lost is found out by asking.
func (g *Gangs) startPart(ctx context.Context, a Attempt, p part) startResult {
	var r startResult
	for i := range g.bounds.Tries {
		r.err = g.command(ctx, g.bounds.Call, func(ctx context.Context) error {
			return g.workers.Start(ctx, p.addr, a.Term, p.refs)
		})
		if r.err == nil {
			return r
		}
		r.maybe = r.maybe || !isDefinite(r.err)
		if isFinal(r.err) || g.off.resolve {
			return r
		}
		if i > 0 || g.clock.Sleep(ctx, g.bounds.Pause) != nil {
			continue
		}
		s, err := g.ask(ctx, a.Term, p)
		if err == nil && s.isStarted() {
			g.stats.resolved.Inc(1)
			return startResult{}
		}
	}
	return r
}
