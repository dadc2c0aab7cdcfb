package exec

import (
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

// handleReport processes the report of a worker; onStored is called once all ends in it are stored.
func (e *Engine) handleReport(w *worker, polledAt time.Time, r port.RunReport, onStored func()) {
	now := e.clock.Now()
	w.lastReport = now
	w.isFailing = false
	w.isReborn = false
	if !w.hasReported {
		e.settleFence(w, r.Instance, now)
	}
	if !w.hasReported || r.Instance != w.instance {
		w.fence.beginLifetime(now)
	}
	if r.Instance != w.instance {
		e.handleRestart(w, r)
	}
	w.unansweredRenewals = 0
	w.updateClock(r.Clock, now)
	if w.isSuspect {
		e.log.Info("worker answers again", "Worker", w.name)
		w.isSuspect = false
	}
	isFirst := !w.hasReported
	if isFirst {
		// The worker has seen the term of this owner, so that former owners extend its leases no more.
		w.formerLeaseEnd.lower(now.Add(leaseBound(e.formerLease)))
	}
	w.hasReported = true
	newest := w.lastHandledEnd
	for _, x := range r.Ended {
		if x.Number <= w.lastHandledEnd {
			continue
		}
		newest = max(newest, x.Number)
		if t, ok := w.tasks[x.Ref]; ok && t.isEndedBy(x) {
			e.log.Debug("task ended", "Unit", t.unit.name, "Run", x.Ref.Run, "Worker", w.name, "How", x.How)
			e.scope.Tagged(map[string]string{"How": x.How}).Counter("task_ends").Inc(1)
			w.unstoredEnds[x.Number] = true
			t.member.endNumber = x.Number
			e.handleTaskEnd(t.unit, t.member, x.Result, x.Checkpoint, x.IsGangEnd)
			continue
		}
		e.markRunBegun(x.Ref, endListed)
		e.handleLateEnd(w, x)
	}
	w.lastHandledEnd = newest
	e.reconcile(w, polledAt, r)
	e.stopMisplaced(w)
	e.updatePlannerWorker(w)
	if isFirst {
		e.lastFirstReport = now
		e.requestPass()
	}
	if newest == w.lastStoredEnd {
		onStored()
		return
	}
	instance := w.instance
	e.afterStored(func() {
		if w.instance == instance {
			w.lastStoredEnd = max(w.lastStoredEnd, newest)
		}
		onStored()
	})
}

// handleLateEnd accepts the successful end of a run that was counted as lost or stopped, unless the unit runs again whatever its
// result. A newer run of the unit is stopped.
func (e *Engine) handleLateEnd(w *worker, x port.RunEnd) {
	for _, index := range []int{x.Ref.Task, jobs.WholeGang} {
		u := e.units[jobs.UnitKey{Job: x.Ref.Job, Occurrence: x.Ref.Occurrence, Step: x.Ref.Step, Index: index}.String()]
		if u == nil || x.Result != jobs.Done || u.step.Lasts || u.hasLateEnd() {
			continue
		}
		e.log.Info("run counted as lost has completed", "Job", u.job, "Unit", u.name, "Run", x.Ref.Run, "Worker", w.name,
			"NewestRun", u.run, "Phase", u.phase.String())
		w.unstoredEnds[x.Number] = true
		m := &member{
			worker: w.name, instance: w.instance, task: x.Ref.Task, endNumber: x.Number, presence: taskEnded, result: jobs.Done,
			isLate: true,
		}
		if u.phase != phaseQueued {
			u.members = append(u.members, m)
			e.stopRun(u, "an earlier run has completed")
			continue
		}
		e.planner.Cancel([]string{u.name})
		delete(e.deferred, u.name)
		u.members = []*member{m}
		e.finishRun(u)
	}
}

// handleRestart records that a worker runs as a new instance. The new instance knows nothing of earlier tasks, but may
// have received starts that were sent to the previous instance.
func (e *Engine) handleRestart(w *worker, r port.RunReport) {
	instance := r.Instance
	e.beginInstance(w, instance)
	present := map[port.RunRef]bool{}
	for _, x := range r.Running {
		present[x.Ref] = true
	}
	for _, x := range r.Ended {
		present[x.Ref] = true
	}
	for ref, t := range w.tasks {
		switch {
		case t.member.instance == instance, t.unit.phase == phaseStoring:
		case present[ref]:
			t.member.instance, t.member.isSettled = instance, false
		case r.IsCut && t.member.presence != taskEnded:
			e.awaitWholeReport(t, w)
		case t.member.isUndecided && t.member.presence != taskEnded:
			t.member.instance, t.member.isSettled = instance, false
			e.blockStart(t.unit, t.member, w)
		default:
			e.loseTask(t, newLifetime)
		}
	}
}

// awaitWholeReport leaves it to later reports whether a task, of which the first report of a new instance tells nothing, has ended there.
func (e *Engine) awaitWholeReport(t task, w *worker) {
	t.member.instance, t.member.isSettled = w.instance, false
	if t.unit.phase != phaseRunning {
		e.blockStart(t.unit, t.member, w)
	}
}

// handleReplacement records that another worker is at the address of a worker, which has thus ended and executes no start any more.
func (e *Engine) handleReplacement(w *worker) {
	w.fence.beginLifetime(e.clock.Now())
	e.beginInstance(w, "")
	w.hasReported = false
	for _, t := range w.tasks {
		if t.unit.phase != phaseStoring {
			e.loseTask(t, replacedWorker)
		}
	}
	e.updatePlannerWorker(w)
}

// beginInstance forgets what is known of the former instance of a worker.
func (e *Engine) beginInstance(w *worker, instance string) {
	if w.instance != "" && len(w.tasks) > 0 {
		e.planner.RecordCrash(w.name, w.instance, e.clock.Now())
	}
	e.logNewLifetime(w, instance)
	if w.instance != "" {
		e.forgetSpeed(w.name)
	}
	w.endStarts()
	w.instance, w.instanceSince = instance, e.clock.Now()
	w.lastClock, w.lastClockTime = 0, time.Time{}
	w.lastHandledEnd, w.lastStoredEnd, w.lastAckedEnd = 0, 0, 0
	w.unstoredEnds = map[int64]bool{}
}

// blockStart stops a run whose start may still arrive at a new instance of its worker; the task counts as ended only
// once the worker has confirmed the stop.
func (e *Engine) blockStart(u *unit, m *member, w *worker) {
	m.presence = taskUnknown
	if u.phase != phaseStopping {
		e.stopRun(u, "its worker was restarted")
		return
	}
	if !m.stopConfirmedAt.IsZero() {
		m.stopConfirmedAt = time.Time{}
		go e.sendStop(u.ref(m), m, w)
	}
}

// reconcile compares the tasks that a worker reports with the tasks that should run on it.
func (e *Engine) reconcile(w *worker, polledAt time.Time, r port.RunReport) {
	present := make(map[port.RunRef]bool, len(r.Running))
	orphans := map[port.RunRef]bool{}
	for _, x := range r.Running {
		present[x.Ref] = true
		t, ok := w.tasks[x.Ref]
		if !ok {
			orphans[x.Ref] = true
			e.markRunBegun(x.Ref, taskListed)
			if !w.orphans[x.Ref] {
				go e.stopOrphan(w, x.Ref, w.runner.Worker.Addr)
			}
			continue
		}
		if x.Checkpoint != "" {
			e.saveCheckpoint(t.unit, x.Checkpoint, x.Percent)
		}
		e.recordSpeed(w, t, x, r.Clock)
		e.checkProgress(w, t, x.Percent, r.Clock)
		if t.member.presence == taskUnknown {
			e.markPresent(t.unit, t.member, taskListed)
			e.markRunning(t.unit)
		}
	}
	w.orphans = orphans
	if r.IsCut {
		// A task that is missing may be among the ends that the worker lists once those before are acknowledged.
		return
	}
	for ref, t := range w.tasks {
		if present[ref] || t.member.presence == taskEnded {
			continue
		}
		e.handleMissingTask(t, polledAt)
	}
}

// handleMissingTask handles a task that a report does not list. The start of the task may still arrive at the worker
// unless the worker has confirmed a stop.
func (e *Engine) handleMissingTask(t task, polledAt time.Time) {
	m := t.member
	switch {
	case t.unit.phase == phaseStoring:
	case m.presence == taskPresent && !m.isStopping && t.unit.phase == phaseRunning && polledAt.After(m.firstSeen):
		m.isWorkerFault = true
		e.loseTask(t, notListed)
	case !m.stopConfirmedAt.IsZero() && polledAt.After(m.stopConfirmedAt):
		e.handleTaskEnd(t.unit, m, jobs.Stopped, "", false)
	case t.unit.phase == phaseRunning && m.presence == taskUnknown:
		// A former owner sent this start; the worker now rejects it because its fencing token is outdated.
		e.loseTask(t, neverListed)
	}
}

// stopOrphan stops a task that belongs to no unit, and repeats the request until the worker has confirmed it.
func (e *Engine) stopOrphan(w *worker, r port.RunRef, addr netip.AddrPort) {
	e.log.Info("stopping orphaned task", "Worker", w.name, "Job", r.Job, "Step", r.Step, "Task", r.Task, "Run", r.Run)
	for {
		e.mu.Lock()
		token := w.fence.token
		e.mu.Unlock()
		err := e.deps.Runners.Stop(e.ctx, addr, r, token, w.name)
		if err == nil || e.ctx.Err() != nil || errors.Is(err, port.ErrWrongWorker) || e.isSuperseded(w, token, err) {
			return
		}
		e.log.Info("cannot stop orphaned task", "Worker", w.name, "Job", r.Job, "Task", r.Task, "Cause", err.Error())
		if e.clock.Sleep(e.ctx, pollRetryInterval) != nil {
			return
		}
	}
}
