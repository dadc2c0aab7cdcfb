package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/coordination/keep"
	"github.com/auburncleat/auburncleat/internal/coordination/once"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/pkg/errors"
)

// collectTries bounds how often a whole answer is asked for before its job counts as lost.
const collectTries = 5

const (
	collectPause = 200 * time.Millisecond
	// leasePause separates two looks at an owner's lease that has lapsed.
	leasePause = 50 * time.Millisecond
)

// attempt is one start of a job, from the decision to its end.
type attempt struct {
	job       fleet.Job
	placement []fleet.Assignment
	// stop ends the attempt on request; it is touched by the scheduling goroutine.
	stop      *stopRequest
	cancelled bool
	running   bool
	gang      gang.Attempt
}

type stopRequest struct {
	grace  time.Duration
	reason string
}

// start runs one attempt in a goroutine of its own.
func (r *ownership) start(x plan.Start) {
	a := &attempt{job: x.Job, placement: x.Placement}
	r.attempts[x.Job.ID] = a
	r.note(events.JobPlaced, x.Job, fmt.Sprintf("%s on %d workers: %s", x.Job.Shape, countWorkers(x.Placement), x.Reason))
	r.tasks.Go(func() { r.launch(a) })
}

func countWorkers(as []fleet.Assignment) int {
	seen := map[string]struct{}{}
	for _, a := range as {
		seen[a.Worker] = struct{}{}
	}
	return len(seen)
}

// launch starts the gang; the claim of a key comes after all workers have prepared and before any task runs.
func (r *ownership) launch(a *attempt) {
	commit := func(context.Context) error { return nil }
	if a.job.IsOnce() {
		commit = func(ctx context.Context) error { return r.claim(ctx, a) }
	}
	g, err := r.s.gangs.Start(r.ctx, r.term, a.job, a.placement, commit)
	if err != nil {
		r.failedStart(a, g, err)
		return
	}
	r.started(a, g)
	r.watch(a)
}

// started notes on the scheduling goroutine that the gang runs, and acts on a stop that came meanwhile.
func (r *ownership) started(a *attempt, g gang.Attempt) {
	now := r.now()
	r.s.onWait(a.job, now.Sub(a.job.Submitted))
	_ = r.do(r.ctx, func() {
		a.running = true
		a.gang = g
		r.planner.Started(a.job.ID, now)
		if a.stop != nil {
			r.stopNow(a)
		}
	})
}

// failedStart tells an attempt that never ran from one that may have.
func (r *ownership) failedStart(a *attempt, g gang.Attempt, err error) {
	if r.ctx.Err() != nil {
		return
	}
	x := plan.Ended{Job: a.job.ID, Result: plan.ResultLost, Progress: a.job.Progress, Requeue: true}
	if g.State != gang.NotStarted {
		if g.State == gang.Partly {
			x.Result = plan.ResultFailed
		}
		x.Workers = g.Unconfirmed
		r.finish(a, g.State, x, err.Error())
		return
	}
	x.Result = plan.ResultNoStart
	x.Workers = blamed(err)
	var claimed once.ErrClaimed
	var conflict once.ErrKeyConflict
	switch {
	case errors.As(err, &claimed):
		r.yield(a, x, claimed)
		return
	case errors.As(err, &conflict):
		x.Requeue = false
	default:
		r.releaseClaim(a)
	}
	r.finish(a, gang.NotStarted, x, err.Error())
}

func blamed(err error) []string {
	var e gang.ErrNotStarted
	if errors.As(err, &e) && e.Worker != "" {
		return []string{e.Worker}
	}
	return nil
}

// watch follows a running gang to its end.
func (r *ownership) watch(a *attempt) {
	e, err := r.s.gangs.Watch(r.ctx, a.gang)
	for err != nil {
		// A lease that lapsed may come back in the same term; else the next owner adopts the gang.
		if r.awaitLease() != nil {
			return
		}
		e, err = r.s.gangs.Watch(r.ctx, a.gang)
	}
	x := plan.Ended{
		Job:      a.job.ID,
		Result:   e.Result,
		Workers:  e.Workers,
		Progress: e.Progress,
		Requeue:  e.Result != plan.ResultDone,
	}
	if e.Result == plan.ResultDone {
		r.collect(a, x)
		return
	}
	r.finish(a, gang.Started, x, e.Reason)
}

// collect keeps the whole answer at this host and its peers before the workers may forget it.
func (r *ownership) collect(a *attempt, x plan.Ended) {
	var err error
	for range collectTries {
		if r.awaitLease() != nil {
			return
		}
		_, err = r.s.gangs.Collect(r.ctx, a.gang, func(ctx context.Context, b []byte) error {
			return r.keepDone(ctx, a, b)
		})
		if err == nil {
			r.finish(a, gang.Started, x, "")
			return
		}
		if r.ctx.Err() != nil || r.s.clock.Sleep(r.ctx, collectPause) != nil {
			return
		}
	}
	x.Result = plan.ResultLost
	x.Requeue = true
	r.finish(a, gang.Started, x, fmt.Sprintf("answer cannot be collected: %v", err))
}

// awaitLease waits until the owner's lease holds, and fails when the ownership ends.
func (r *ownership) awaitLease() error {
	for r.s.check() != nil {
		if err := r.s.clock.Sleep(r.ctx, leasePause); err != nil {
			return err
		}
	}
	return r.ctx.Err()
}

// finish books the end of an attempt, and ends the job unless another attempt may follow.
func (r *ownership) finish(a *attempt, start gang.State, x plan.Ended, reason string) {
	x.At = r.now()
	_ = r.do(r.ctx, func() {
		delete(r.attempts, x.Job)
		isTwice := a.job.IsOnce() && start != gang.NotStarted
		if a.cancelled || isTwice {
			x.Requeue = false
		}
		r.planner.Ended(x)
		r.isChanged = true
		if x.Requeue {
			r.note(events.JobStopped, a.job, fmt.Sprintf("%s: %s", x.Result, reason))
			return
		}
		r.end(a.job, Outcome{Kind: keep.OutcomeKind(start, x.Result, a.cancelled), Reason: reason})
	})
}

// reclaim stops a borrower, which is queued again with its progress.
func (r *ownership) reclaim(x plan.Stop) {
	a, ok := r.attempts[x.Job]
	if !ok {
		return
	}
	r.note(events.JobReclaimed, a.job, x.Reason)
	a.stop = &stopRequest{grace: x.Grace, reason: x.Reason}
	if a.running {
		r.stopNow(a)
	}
}

// stopNow checkpoints and stops a running gang; its watch sees the end.
func (r *ownership) stopNow(a *attempt) {
	q := a.stop
	r.tasks.Go(func() {
		// The watch of the same gang reports the end, also when a worker did not confirm the stop.
		_, _ = r.s.gangs.Stop(r.ctx, a.gang, q.grace)
	})
}
