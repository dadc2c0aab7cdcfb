package gang

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// Stop checkpoints and stops all members of an attempt within the grace, and returns how it ended.
//
// A Watch of the attempt returns the same end. ErrNotStopped names the workers that did not confirm the stop.
func (g *Gangs) Stop(ctx context.Context, a Attempt, grace time.Duration) (Ended, error) {
	r, err := g.runOf(a)
	if err != nil {
		return Ended{}, err
	}
	if e, first := r.stop(); !first {
		return g.joinStop(ctx, r, e)
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace+g.bounds.StopWithin())
	defer cancel()
	errs := each(r.parts, func(p part) error { return g.settle(c, r, p, grace) })
	e := r.stopped(g.clock.Now())
	e.Unsure = failedWorkers(r.parts, errs)
	g.note(events.JobStopped, a.Job, "", fmt.Sprintf("progress %s", e.Progress))
	e = r.end(e)
	if e.Result == plan.ResultDone {
		return e, nil
	}
	each(r.parts, func(p part) error { return g.forgetPart(c, a.Term, p) })
	g.dropRun(r)
	if len(e.Unsure) > 0 {
		return e, ErrNotStopped{Job: a.Job.ID, Workers: e.Unsure}
	}
	return e, nil
}

// joinStop waits for a stop that is under way.
func (g *Gangs) joinStop(ctx context.Context, r *run, e *Ended) (Ended, error) {
	if e != nil {
		return *e, nil
	}
	select {
	case <-r.over:
		return r.end(Ended{}), nil
	case <-ctx.Done():
		return Ended{}, fmt.Errorf("wait for the stop of job %s: %w", r.attempt.Job.ID, ctx.Err())
	}
}

// stop marks the run as stopping and reports whether the caller is the first to do so.
func (r *run) stop() (*Ended, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping || r.ended != nil {
		return r.ended, false
	}
	r.stopping = true
	return nil, true
}

// settle stops the part of one worker and waits until none of its tasks runs.
func (g *Gangs) settle(ctx context.Context, r *run, p part, grace time.Duration) error {
	err := g.again(ctx, func() error {
		return g.command(ctx, grace+g.bounds.Call, func(ctx context.Context) error {
			return g.workers.Stop(ctx, p.addr, r.attempt.Term, p.refs, grace)
		})
	})
	if err != nil && isFinal(err) {
		return err
	}
	until := g.clock.Now().Add(grace + g.bounds.Call)
	for {
		s, err := g.ask(ctx, r.attempt.Term, p)
		if err == nil && !s.isActive() {
			return nil
		}
		if err == nil {
			err = ErrNotStopped{Job: r.attempt.Job.ID, Workers: []string{p.worker}}
		}
		if isFinal(err) || g.clock.Now().After(until) || g.clock.Sleep(ctx, g.bounds.Pause) != nil {
			return err
		}
	}
}

// stopped returns the end of a run after its stop: done when all tasks were faster than the stop.
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
