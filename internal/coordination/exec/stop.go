package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/pkg/errors"
)

// stop has all tasks of a run stopped; the reports of the workers tell when they have.
func (e *Engine) stop(u *unit, why string) {
	if u.phase != phaseStarting && u.phase != phaseRunning {
		return
	}
	e.log.Info("unit stops", "Job", u.job, "Unit", u.name, "Run", u.run, "Reason", why)
	e.scope.Counter("units_stopped").Inc(1)
	u.phase = phaseStopping
	u.why = why
	for _, m := range u.members {
		if m.presence == taskEnded || m.isStopping {
			continue
		}
		m.isStopping = true
		go e.sendStop(u.ref(m), m, e.getWorker(m.worker))
	}
	if u.isGone() {
		e.finish(u)
	}
}

// sendStop repeats the stop of one task until the worker has confirmed it or the task is over.
func (e *Engine) sendStop(r port.RunRef, m *member, w *worker) {
	for e.ctx.Err() == nil {
		e.mu.Lock()
		done := m.presence == taskEnded
		addr := w.runner.Worker.Addr
		e.mu.Unlock()
		if done {
			return
		}
		if !addr.IsValid() {
			// The list of the workers has not been read yet, or the worker is gone and its leases will be over.
			if e.clock.Sleep(e.ctx, orderPause) != nil {
				return
			}
			continue
		}
		err := e.out.Runners.Stop(e.ctx, addr, r, e.term, m.worker)
		if err == nil {
			e.mu.Lock()
			m.barred = e.clock.Now()
			w.signal()
			e.mu.Unlock()
			return
		}
		if errors.Is(err, port.ErrOther) || errors.Is(err, port.ErrFenced) {
			// The next report of the worker, or the next owner, settles it.
			e.mu.Lock()
			w.signal()
			e.mu.Unlock()
			return
		}
		if e.clock.Sleep(e.ctx, orderPause) != nil {
			return
		}
	}
}

// ended takes the end of one task.
func (e *Engine) ended(u *unit, m *member, r jobs.Result, checkpoint string, isBroken bool) {
	if m.presence == taskEnded {
		return
	}
	if m.isStalled && r == jobs.Stopped {
		// The planner keeps the next run away from the worker.
		r = jobs.Lost
	}
	m.presence, m.result, m.isBroken = taskEnded, r, isBroken
	if checkpoint != "" {
		e.save(u, checkpoint, -1)
	}
	if r == jobs.Done || u.isGone() {
		e.finish(u)
		return
	}
	e.stop(u, "another task of the gang ended")
}

// save keeps the newest checkpoint of a unit.
func (e *Engine) save(u *unit, checkpoint string, percent int) {
	if checkpoint == u.checkpoint {
		return
	}
	u.checkpoint = checkpoint
	if percent > 0 {
		u.progress = max(u.progress, u.step.Estimate*time.Duration(percent)/100)
	}
}

// finish stores the end of a run, and hands the unit to the planner again unless it is done.
func (e *Engine) finish(u *unit) {
	if u.phase == phaseEnding {
		return
	}
	u.phase = phaseEnding
	res := u.result()
	if res == jobs.Done && u.step.Lasts {
		// Tasks that last run again however they end.
		res = jobs.Stopped
	}
	if res == jobs.FailedRun {
		u.failures++
	}
	if u.isOver {
		e.release(u, res)
		return
	}
	e.log.Info("run ends", "Job", u.job, "Unit", u.name, "Run", u.run, "Result", resultName(res), "Failures", u.failures,
		"Ran", e.clock.Since(u.since).Round(time.Millisecond).String())
	r, err := jobs.UnitRecord(u.record(res))
	if err != nil {
		e.log.Error("cannot encode an end", "Unit", u.name, "Cause", err.Error())
		return
	}
	if res == jobs.FailedRun && e.isHopeless(u) {
		e.endJob(u.job, jobs.Failed, "a task failed as often as its queue allows", nil)
		u.isOver = true
		e.release(u, res)
		return
	}
	if res == jobs.Done && e.isLast(u) {
		e.store([]jobs.Record{r}, nil)
		e.endJob(u.job, jobs.Completed, "", nil)
		e.release(u, res)
		return
	}
	e.store([]jobs.Record{r}, func() {
		e.release(u, res)
		if res == jobs.Done {
			e.syncJob(u.job)
		}
	})
}

// isHopeless reports whether the unit has failed as often as its queue allows.
func (e *Engine) isHopeless(u *unit) bool {
	if e.config == nil || u.step.Lasts {
		return false
	}
	q := e.config.GetQueue(u.queue)
	return q != nil && q.MaxAttempts > 0 && u.failures >= q.MaxAttempts
}

// isLast reports whether all other units of the job are done.
func (e *Engine) isLast(u *unit) bool {
	ok := true
	e.out.Table.View(u.job, func(j *jobs.Job) {
		if j == nil || j.State != jobs.Open {
			ok = false
			return
		}
		ok = !j.HasOtherOpenUnit(u.key)
	})
	return ok
}

// release tells the planner of the end of a run and queues the unit again unless it is done or over.
func (e *Engine) release(u *unit, r jobs.Result) {
	e.acknowledge(u)
	isAgain := r != jobs.Done && !u.isOver
	x := plan.Ended{
		Job: u.name, Result: planResult(r), Workers: u.blamed(r), Progress: u.progress, At: e.clock.Now(), Requeue: isAgain,
	}
	e.planner.Ended(x)
	if u.isOver {
		// A start that was stored after the end of its job left a record that nobody reads.
		e.store([]jobs.Record{jobs.UnitTombstone(u.key)}, nil)
	}
	if !isAgain {
		e.forget(u)
		e.kick()
		return
	}
	u.phase = phaseQueued
	u.members = nil
	e.kick()
}

// acknowledge lets the workers forget the ends of a run once all that follows from them is stored.
func (e *Engine) acknowledge(u *unit) {
	ms := u.members
	for _, m := range ms {
		if w := e.workers[m.worker]; w != nil {
			w.unexpect(u, m)
		}
	}
	e.afterStored(func() {
		for _, m := range ms {
			w := e.workers[m.worker]
			if w != nil && w.instance == m.instance {
				delete(w.open, m.number)
				w.signal()
			}
		}
	})
}

func planResult(r jobs.Result) plan.Result {
	switch r {
	case jobs.Done:
		return plan.ResultDone
	case jobs.FailedRun:
		return plan.ResultFailed
	case jobs.Lost:
		return plan.ResultLost
	default:
		return plan.ResultStopped
	}
}

func resultName(r jobs.Result) string {
	return string(planResult(r))
}
