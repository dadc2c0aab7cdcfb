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

// Start prepares a gang on all its workers, calls commit, and then starts all tasks. If a step fails, the attempt is
// aborted or rolled back on all workers.
//
// Commit is called after every worker has prepared its tasks and before any task is started; it may be nil. The state
// of the returned attempt matches the error: NotStarted comes with ErrNotStarted, Partly with ErrPartlyStarted and
// Unknown with ErrStartUnknown.
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
	ps, err := g.validateAndSplit(a)
	if err != nil {
		return a, ErrNotStarted{Job: j.ID, Err: err}
	}
	r := g.addRun(a, ps)
	if p, err := g.prepare(ctx, a, ps); err != nil {
		g.abort(ctx, r)
		return a, ErrNotStarted{Job: j.ID, Worker: p, Err: fmt.Errorf("prepare: %w", err)}
	}
	if commit != nil {
		if err := commit(ctx); err != nil {
			g.abort(ctx, r)
			return a, ErrNotStarted{Job: j.ID, Err: fmt.Errorf("commit: %w", err)}
		}
	}
	return g.startParts(ctx, r)
}

// prepare prepares all parts. If one fails it cancels the others and returns the failed worker and its error.
func (g *Gangs) prepare(ctx context.Context, a Attempt, ps []part) (string, error) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := forEachPart(ps, func(p part) error {
		err := g.command(c, g.bounds.CallTimeout, func(ctx context.Context) error {
			return g.workers.Prepare(ctx, p.addr, a.Term, p.tasks)
		})
		if err == nil && g.disabled.barrier {
			err = g.workers.Start(c, p.addr, a.Term, p.refs)
		}
		if err != nil {
			cancel()
		}
		return err
	})
	return firstError(ps, errs)
}

// firstError returns the first error and its worker. It prefers errors other than context.Canceled, since calls that
// fail with the latter were cancelled because of another error.
func firstError(ps []part, errs []error) (string, error) {
	first := -1
	for i, err := range errs {
		if err == nil {
			continue
		}
		if first < 0 || isMoreSpecific(err, errs[first]) {
			first = i
		}
	}
	if first < 0 {
		return "", nil
	}
	return ps[first].worker, errs[first]
}

func isMoreSpecific(err, than error) bool {
	return !errors.Is(err, context.Canceled) && errors.Is(than, context.Canceled)
}

// abort stops and deletes the prepared tasks of an attempt for which no start was sent.
func (g *Gangs) abort(ctx context.Context, r *run) {
	defer g.removeRun(r)
	g.stats.aborted.Inc(1)
	g.stats.noStart.Inc(1)
	c, cancel := g.detachedContext(ctx)
	defer cancel()
	forEachPart(r.parts, func(p part) error {
		if err := g.stopPart(c, r.attempt.Term, p, 0); err != nil {
			return err
		}
		return g.forgetPart(c, r.attempt.Term, p)
	})
}

// detachedContext returns a context that is not cancelled with its parent, for operations that have to be completed on
// all workers. It has a timeout of its own.
func (g *Gangs) detachedContext(ctx context.Context) (context.Context, context.CancelFunc) {
	d := 2 * time.Duration(g.bounds.MaxTries) * (g.bounds.CallTimeout + g.bounds.RetryDelay)
	return context.WithTimeout(context.WithoutCancel(ctx), d)
}

func (g *Gangs) stopPart(ctx context.Context, t fleet.Term, p part, grace time.Duration) error {
	err := g.commandWithRetry(ctx, func(ctx context.Context) error {
		return g.workers.Stop(ctx, p.addr, t, p.refs, grace)
	})
	if errors.Is(err, port.ErrNoTask) {
		return nil
	}
	return err
}

func (g *Gangs) forgetPart(ctx context.Context, t fleet.Term, p part) error {
	return g.commandWithRetry(ctx, func(ctx context.Context) error {
		return g.workers.Forget(ctx, p.addr, t, p.refs)
	})
}

// startResult is the result of starting one part.
type startResult struct {
	// mayHaveStarted is set when a start was sent that may have taken effect.
	mayHaveStarted bool
	err            error
}

// startParts starts all parts of a prepared attempt, and rolls it back if one cannot be started.
func (g *Gangs) startParts(ctx context.Context, r *run) (Attempt, error) {
	a, ps := r.attempt, r.parts
	r.resetForStart(g.clock.Now())
	c, cancel := g.detachedContext(ctx)
	defer cancel()
	rs := make([]startResult, len(ps))
	errs := forEachIndex(ps, func(i int) error {
		rs[i] = g.startPart(c, a, ps[i])
		return rs[i].err
	})
	worker, err := firstError(ps, errs)
	if err != nil {
		defer g.removeRun(r)
		u, cancel := g.detachedContext(ctx)
		defer cancel()
		return g.rollBack(u, a, ps, rs, ErrNotStarted{Job: a.Job.ID, Worker: worker, Err: fmt.Errorf("start: %w", err)})
	}
	a.State = Started
	g.stats.started.Inc(1)
	g.addEvent(events.JobStarted, a.Job, "", fmt.Sprintf("attempt %d on %d workers", a.Job.Attempt, len(ps)))
	return a, nil
}

// startPart starts the tasks of one part. If the first try fails with an error that is not permanent, it inspects the
// worker to find out whether the tasks were started, since the reply alone may have been lost.
func (g *Gangs) startPart(ctx context.Context, a Attempt, p part) startResult {
	var r startResult
	for i := range g.bounds.MaxTries {
		r.err = g.command(ctx, g.bounds.CallTimeout, func(ctx context.Context) error {
			return g.workers.Start(ctx, p.addr, a.Term, p.refs)
		})
		if r.err == nil {
			return r
		}
		r.mayHaveStarted = r.mayHaveStarted || !hadNoEffect(r.err)
		if isPermanent(r.err) || g.disabled.resolve {
			return r
		}
		if i > 0 || g.clock.Sleep(ctx, g.bounds.RetryDelay) != nil {
			continue
		}
		s, err := g.inspect(ctx, a.Term, p)
		if err == nil && s.isFullyStarted() {
			g.stats.resolved.Inc(1)
			return startResult{}
		}
	}
	return r
}
