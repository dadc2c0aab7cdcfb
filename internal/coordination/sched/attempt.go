package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/coordination/mirror"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/pkg/errors"
)

// maxCollectAttempts limits how often a complete answer is requested before its attempt counts as lost.
const maxCollectAttempts = 5

const (
	collectRetryInterval = 200 * time.Millisecond
	// leaseCheckInterval is the time between two checks of the owner's lease after it has expired.
	leaseCheckInterval = 50 * time.Millisecond
)

// attempt is one execution of a job, from the planner's decision to its end.
type attempt struct {
	job       fleet.Job
	placement []fleet.Assignment
	// stop is set when the attempt is to be stopped; only the scheduling goroutine uses it.
	stop        *stopRequest
	isCancelled bool
	isRunning   bool
	gang        gang.Attempt
}

type stopRequest struct {
	grace  time.Duration
	reason string
}

// startAttempt runs one attempt in a goroutine of its own.
func (r *ownership) startAttempt(x plan.Start) {
	a := &attempt{job: x.Job, placement: x.Placement}
	r.attempts[x.Job.ID] = a
	r.addEvent(events.JobPlaced, x.Job, fmt.Sprintf("%s on %d workers: %s", x.Job.Shape, countWorkers(x.Placement), x.Reason))
	r.tasks.Go(func() { r.runAttempt(a) })
}

func countWorkers(as []fleet.Assignment) int {
	seen := map[string]struct{}{}
	for _, a := range as {
		seen[a.Worker] = struct{}{}
	}
	return len(seen)
}

// runAttempt starts the gang and watches it. An idempotency key is claimed after all workers have prepared and before
// any task runs.
func (r *ownership) runAttempt(a *attempt) {
	commit := func(context.Context) error { return nil }
	if a.job.IsOnce() {
		commit = func(ctx context.Context) error { return r.claim(ctx, a) }
	}
	g, err := r.s.gangs.Start(r.ctx, r.term, a.job, a.placement, commit)
	if err != nil {
		r.handleFailedStart(a, g, err)
		return
	}
	r.handleStarted(a, g)
	r.watch(a)
}

// handleStarted marks the attempt as running on the scheduling goroutine, and executes a stop that was requested during
// the start.
func (r *ownership) handleStarted(a *attempt, g gang.Attempt) {
	now := r.now()
	r.s.onStart(a.job, now.Sub(a.job.Submitted))
	_ = r.runInLoop(r.ctx, func() {
		a.isRunning = true
		a.gang = g
		r.planner.Started(a.job.ID, now)
		if a.stop != nil {
			r.stopGang(a)
		}
	})
}

// handleFailedStart ends an attempt whose start failed. It distinguishes an attempt that never ran from an attempt that
// may have run.
func (r *ownership) handleFailedStart(a *attempt, g gang.Attempt, err error) {
	if r.ctx.Err() != nil {
		return
	}
	x := plan.Ended{Job: a.job.ID, Result: plan.ResultLost, Progress: a.job.Progress, Requeue: true}
	if g.State != gang.NotStarted {
		if g.State == gang.Partly {
			x.Result = plan.ResultFailed
		}
		x.Workers = g.Unconfirmed
		r.finishAttempt(a, g.State, x, err.Error())
		return
	}
	x.Result = plan.ResultNoStart
	x.Workers = workersToBlame(err)
	var claimed dedup.ErrClaimed
	var conflict dedup.ErrKeyConflict
	switch {
	case errors.As(err, &claimed):
		r.yieldToClaim(a, x, claimed)
		return
	case errors.As(err, &conflict):
		x.Requeue = false
	default:
		r.releaseClaim(a)
	}
	r.finishAttempt(a, gang.NotStarted, x, err.Error())
}

func workersToBlame(err error) []string {
	var e gang.ErrNotStarted
	if errors.As(err, &e) && e.Worker != "" {
		return []string{e.Worker}
	}
	return nil
}

// watch waits for the end of a running gang.
func (r *ownership) watch(a *attempt) {
	e, err := r.s.gangs.Watch(r.ctx, a.gang)
	for err != nil {
		// The owner's lease may be confirmed again in the same term after it has expired; if the ownership ends
		// instead, the next owner adopts the gang.
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
	r.finishAttempt(a, gang.Started, x, e.Reason)
}

// collect stores the complete answer at this host and its peers before the workers may delete it.
func (r *ownership) collect(a *attempt, x plan.Ended) {
	var err error
	for range maxCollectAttempts {
		if r.awaitLease() != nil {
			return
		}
		_, err = r.s.gangs.Collect(r.ctx, a.gang, func(ctx context.Context, b []byte) error {
			return r.storeAnswer(ctx, a, b)
		})
		if err == nil {
			r.finishAttempt(a, gang.Started, x, "")
			return
		}
		if r.ctx.Err() != nil || r.s.clock.Sleep(r.ctx, collectRetryInterval) != nil {
			return
		}
	}
	x.Result = plan.ResultLost
	x.Requeue = true
	r.finishAttempt(a, gang.Started, x, fmt.Sprintf("answer cannot be collected: %v", err))
}

// awaitLease waits until the owner's lease holds; it returns an error when the ownership ends.
func (r *ownership) awaitLease() error {
	for r.s.checkLease() != nil {
		if err := r.s.clock.Sleep(r.ctx, leaseCheckInterval); err != nil {
			return err
		}
	}
	return r.ctx.Err()
}

// finishAttempt reports the end of an attempt to the planner, and ends the job unless it is queued again.
func (r *ownership) finishAttempt(a *attempt, startState gang.State, x plan.Ended, reason string) {
	x.At = r.now()
	_ = r.runInLoop(r.ctx, func() {
		delete(r.attempts, x.Job)
		mustNotRepeat := a.job.IsOnce() && startState != gang.NotStarted
		if a.isCancelled || mustNotRepeat {
			x.Requeue = false
		}
		r.planner.Ended(x)
		r.isChanged = true
		if x.Requeue {
			r.addEvent(events.JobStopped, a.job, fmt.Sprintf("%s: %s", x.Result, reason))
			return
		}
		r.endJob(a.job, Outcome{Kind: mirror.OutcomeKind(startState, x.Result, a.isCancelled), Reason: reason})
	})
}

// preempt stops an attempt on a decision of the planner; its job is queued again with its progress.
func (r *ownership) preempt(x plan.Stop) {
	a, ok := r.attempts[x.Job]
	if !ok {
		return
	}
	r.addEvent(events.JobReclaimed, a.job, x.Reason)
	a.stop = &stopRequest{grace: x.Grace, reason: x.Reason}
	if a.isRunning {
		r.stopGang(a)
	}
}

// stopGang checkpoints and stops a running gang; its watch handles the end.
func (r *ownership) stopGang(a *attempt) {
	q := a.stop
	r.tasks.Go(func() {
		// The watch of the gang reports the end even when a worker did not confirm the stop.
		_, _ = r.s.gangs.Stop(r.ctx, a.gang, q.grace)
	})
}
