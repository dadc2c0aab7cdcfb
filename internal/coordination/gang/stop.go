package gang

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// Stop checkpoints and stops all tasks of an attempt within the grace period, and returns how the attempt ended.
//
// A concurrent Watch of the attempt returns the same result. ErrNotStopped names the workers that did not confirm the
// stop.
func (g *Gangs) Stop(ctx context.Context, a Attempt, grace time.Duration) (Ended, error) {
	r, err := g.findOrAddRun(a)
	if err != nil {
		return Ended{}, err
	}
	if e, first := r.stop(); !first {
		return g.awaitStop(ctx, r, e)
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace+g.bounds.MaxStopDelay())
	defer cancel()
	errs := forEachPart(r.parts, func(p part) error { return g.stopAndWait(c, r, p, grace) })
	e := r.stopped(g.clock.Now())
	e.Unconfirmed = failedWorkers(r.parts, errs)
	g.addEvent(events.JobStopped, a.Job, "", fmt.Sprintf("progress %s", e.Progress))
	e = r.end(e)
	if e.Result == plan.ResultDone {
		return e, nil
	}
	forEachPart(r.parts, func(p part) error { return g.forgetPart(c, a.Term, p) })
	g.removeRun(r)
	if len(e.Unconfirmed) > 0 {
		return e, ErrNotStopped{Job: a.Job.ID, Workers: e.Unconfirmed}
	}
	return e, nil
}

// awaitStop waits for a stop that is already in progress and returns its result.
func (g *Gangs) awaitStop(ctx context.Context, r *run, e *Ended) (Ended, error) {
	if e != nil {
		return *e, nil
	}
	select {
	case <-r.done:
		return r.end(Ended{}), nil
	case <-ctx.Done():
		return Ended{}, fmt.Errorf("wait for stop of job %s: %w", r.attempt.Job.ID, ctx.Err())
	}
}

// stop marks the run as stopping and reports whether this call was the first to do so. If the run has ended, stop
// returns its end.
func (r *run) stop() (*Ended, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping || r.ended != nil {
		return r.ended, false
	}
	r.stopping = true
	return nil, true
}

// stopAndWait stops one part and waits until none of its tasks is active.
func (g *Gangs) stopAndWait(ctx context.Context, r *run, p part, grace time.Duration) error {
	err := g.retry(ctx, func() error {
		return g.command(ctx, grace+g.bounds.CallTimeout, func(ctx context.Context) error {
			return g.workers.Stop(ctx, p.addr, r.attempt.Term, p.refs, grace)
		})
	})
	if err != nil && isPermanent(err) {
		return err
	}
	until := g.clock.Now().Add(grace + g.bounds.CallTimeout)
	for {
		s, err := g.inspect(ctx, r.attempt.Term, p)
		if err == nil && !s.hasActive() {
			return nil
		}
		if err == nil {
			err = ErrNotStopped{Job: r.attempt.Job.ID, Workers: []string{p.worker}}
		}
		if isPermanent(err) || g.clock.Now().After(until) || g.clock.Sleep(ctx, g.bounds.RetryDelay) != nil {
			return err
		}
	}
}

// stopped returns the end of a run that was stopped. The result is ResultDone if all tasks had completed before the
// stop took effect.
func (r *run) stopped(now time.Time) Ended {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Ended{Result: plan.ResultStopped, At: now, Reason: "stopped on request"}
	done := 0
	least := time.Duration(-1)
	for _, t := range r.tasks {
		if t.state == fleet.TaskDone && !t.missing {
			done++
		}
		p := t.progress
		if t.missing || t.state == fleet.TaskRunning {
			p = 0
		}
		if least < 0 || p < least {
			least = p
		}
	}
	e.Progress = max(least, r.attempt.Job.Progress)
	if done == len(r.tasks) {
		e.Result = plan.ResultDone
		e.Progress = r.attempt.Job.RunTime
		e.Answers = r.answers()
	}
	return e
}
