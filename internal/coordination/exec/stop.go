package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/pkg/errors"
)

// stopRun requests the stop of all tasks of a run; the reports of the workers tell when they have ended.
func (e *Engine) stopRun(u *unit, reason string) {
	if u.phase != phaseStarting && u.phase != phaseRunning {
		return
	}
	e.log.Info("unit stops", "Job", u.job, "Unit", u.name, "Run", u.run, "Reason", reason)
	e.scope.Counter("units_stopped").Inc(1)
	e.setPhase(u, phaseStopping)
	e.planner.Stopping(u.name)
	for _, m := range u.members {
		if !m.isSent && m.presence == taskUnknown {
			m.presence, m.result = taskEnded, jobs.Stopped
		}
		if m.presence == taskEnded || m.isStopping {
			continue
		}
		m.isStopping = true
		go e.sendStop(u.ref(m), m, e.getWorker(m.worker))
	}
	if u.hasEnded() {
		e.finishRun(u)
		return
	}
	e.vacateEnded(u)
}

// vacateEnded gives the room of the ended tasks of a run that is being stopped back to the planner; the other tasks may take long.
func (e *Engine) vacateEnded(u *unit) {
	for i, m := range u.members {
		if m.presence == taskEnded {
			e.planner.Vacate(u.name, i)
		}
	}
	e.requestPass()
}

// sendStop repeats the stop of one task until the worker has confirmed it or the task has ended.
func (e *Engine) sendStop(r port.RunRef, m *member, w *worker) {
	for e.ctx.Err() == nil {
		e.mu.Lock()
		done := m.presence == taskEnded
		addr, token := w.runner.Worker.Addr, w.fence.token
		e.mu.Unlock()
		if done {
			return
		}
		if !addr.IsValid() {
			// Either the worker list has not been read yet, or the worker has left and its lease will expire.
			if e.clock.Sleep(e.ctx, commandRetryInterval) != nil {
				return
			}
			continue
		}
		err := e.deps.Runners.Stop(e.ctx, addr, r, token, m.worker)
		if err == nil {
			e.mu.Lock()
			m.stopConfirmedAt = e.clock.Now()
			w.wakePoller()
			e.mu.Unlock()
			return
		}
		if errors.Is(err, port.ErrWrongWorker) || e.isSuperseded(w, token, err) {
			// The next report of the worker, or the next owner, determines the state of the task.
			e.mu.Lock()
			w.wakePoller()
			e.mu.Unlock()
			return
		}
		if e.clock.Sleep(e.ctx, commandRetryInterval) != nil {
			return
		}
	}
}

// handleTaskEnd records the end of one task. The run ends if the task is done or was the last one; otherwise the other
// tasks of the run are stopped.
func (e *Engine) handleTaskEnd(u *unit, m *member, r jobs.Result, checkpoint string, isBroken bool) {
	if m.presence == taskEnded {
		return
	}
	if m.isStalled && r == jobs.Stopped {
		// With the result Lost the planner avoids this worker for the next run of the unit.
		r = jobs.Lost
		e.recordLoss(m, noProgress)
	}
	m.presence, m.result, m.isSecondary = taskEnded, r, isBroken
	if m.endNumber > 0 {
		e.markBegun(u, endListed)
	}
	if checkpoint != "" {
		e.saveCheckpoint(u, checkpoint, -1)
	}
	if r == jobs.Done || u.hasEnded() {
		e.finishRun(u)
		return
	}
	e.stopRun(u, "another task of the gang ended")
	e.vacateEnded(u)
}

// saveCheckpoint records the newest checkpoint of a unit, and its progress when percent is positive.
func (e *Engine) saveCheckpoint(u *unit, checkpoint string, percent int) {
	if checkpoint == u.checkpoint {
		return
	}
	u.checkpoint = checkpoint
	if percent > 0 {
		u.progress = max(u.progress, u.step.Estimate*time.Duration(percent)/100)
	}
}

// finishRun writes the end of a run to the store, and queues the unit again unless it is done.
func (e *Engine) finishRun(u *unit) {
	if u.phase == phaseEnding {
		return
	}
	e.setPhase(u, phaseEnding)
	res := u.result()
	if res == jobs.Done && u.step.Lasts {
		// Lasting tasks run again whatever their result.
		res = jobs.Stopped
	}
	switch res {
	case jobs.FailedRun:
		u.failures++
	case jobs.Done:
		e.runCounts.done++
		e.scope.Counter("units_done").Inc(1)
	default:
	}
	if u.isOver {
		e.releaseRun(u, res)
		return
	}
	e.log.Info("run ends", "Job", u.job, "Unit", u.name, "Run", u.run, "Result", resultName(res), "Evidence", string(u.evidence()),
		"Failures", u.failures, "HasBegun", u.hasBegun, "Ran", e.clock.Since(u.since).Round(time.Millisecond).String())
	r, err := jobs.UnitRecord(e.record(u, res))
	if err != nil {
		e.log.Error("cannot encode the end of a run", "Unit", u.name, "Cause", err.Error())
		return
	}
	if res == jobs.FailedRun && e.hasExhaustedAttempts(u) {
		e.endJob(u.job, jobs.Failed, "a task failed as often as its queue allows", nil)
		u.isOver = true
		e.releaseRun(u, res)
		return
	}
	if res == jobs.Done && e.isLastUnit(u) {
		e.store([]jobs.Record{r}, nil)
		e.endJob(u.job, jobs.Completed, "", nil)
		e.releaseRun(u, res)
		return
	}
	e.store([]jobs.Record{r}, func() {
		if res != jobs.Done && u.hasLateEnd() {
			e.setPhase(u, phaseStopping)
			e.finishRun(u)
			return
		}
		e.releaseRun(u, res)
		if res == jobs.Done {
			e.syncJob(u.job)
		}
	})
}

// hasExhaustedAttempts reports whether the unit has failed as often as its queue allows.
func (e *Engine) hasExhaustedAttempts(u *unit) bool {
	limit := e.maxAttempts(u)
	return !u.step.Lasts && limit > 0 && u.failures >= limit
}

// maxAttempts returns how many runs of a unit may fail, or zero if nothing limits them. The limit of a removed queue that this host
// has not seen is the one that was recorded with the newest run, since the terms of the job may be older.
func (e *Engine) maxAttempts(u *unit) int {
	if e.config != nil {
		if q := e.config.GetAnyQueue(u.queue); q != nil {
			return q.MaxAttempts
		}
	}
	if u.maxAttempts > 0 {
		return u.maxAttempts
	}
	return e.retired[u.queue].MaxAttempts
}

// isLastUnit reports whether all other units of the job are done.
func (e *Engine) isLastUnit(u *unit) bool {
	isLast := true
	e.deps.Table.View(u.job, func(j *jobs.Job) {
		if j == nil || j.State != jobs.Open {
			isLast = false
			return
		}
		isLast = !j.HasOtherOpenUnit(u.key)
	})
	return isLast
}

// releaseRun reports the end of a run to the planner, which queues the unit again unless it is done or its job is over.
func (e *Engine) releaseRun(u *unit, r jobs.Result) {
	e.acknowledge(u)
	isRequeued := r != jobs.Done && !u.isOver
	result := planResult(r)
	if u.hasLateEnd() {
		// The run that completed is not the one that the planner knows.
		result = plan.ResultStopped
	}
	x := plan.Ended{
		Job: u.name, Result: result, Workers: u.failedWorkers(r), Refused: u.refusingWorkers(), Progress: u.progress,
		At: e.clock.Now(), Requeue: isRequeued,
	}
	e.planner.Ended(x)
	if u.isOver {
		// If the start was stored after the end of the job, its record is still in the store and is never read again.
		e.store([]jobs.Record{jobs.UnitTombstone(u.key)}, nil)
	}
	if !isRequeued {
		e.removeUnit(u)
		e.requestPass()
		return
	}
	e.setPhase(u, phaseQueued)
	u.members = nil
	e.requestPass()
}

// acknowledge removes the tasks of a run from its workers. Once all records submitted so far are stored, the ends of
// the run may be acknowledged to the workers.
func (e *Engine) acknowledge(u *unit) {
	ms := u.members
	for _, m := range ms {
		if w := e.workers[m.worker]; w != nil {
			w.removeTask(u, m)
		}
	}
	e.afterStored(func() {
		for _, m := range ms {
			w := e.workers[m.worker]
			if w != nil && w.instance == m.instance {
				delete(w.unstoredEnds, m.endNumber)
				w.wakePoller()
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
