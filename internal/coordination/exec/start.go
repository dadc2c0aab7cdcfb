package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

const (
	// startTimeout is how long an unanswered start is repeated; it is shorter than the time for which the first task of a
	// gang waits for the others.
	startTimeout = 1200 * time.Millisecond
	// commandRetryInterval is the pause between attempts of a start or stop.
	commandRetryInterval = 80 * time.Millisecond
	// reportCheckInterval is the pause between checks of whether a worker has reported so that a start can be sent.
	reportCheckInterval = 10 * time.Millisecond
)

// sendStarts sends the tasks of a unit to its workers; the start of the unit has been stored.
func (e *Engine) sendStarts(u *unit) {
	if u.isOver || u.hasLateEnd() {
		for _, m := range u.members {
			if m.presence != taskEnded {
				m.presence, m.result = taskEnded, jobs.Stopped
			}
		}
		e.finishRun(u)
		return
	}
	e.setPhase(u, phaseStarting)
	for _, m := range u.members {
		w := e.getWorker(m.worker)
		switch {
		case m.instance != w.instance:
			e.recordLoss(m, newLifetime)
			e.failStart(u, m, jobs.Lost, "worker was restarted")
		case !w.takesWork():
			e.failStart(u, m, jobs.Stopped, "worker takes no work any more")
		case e.isEvacuated(w):
			e.withholdStart(u, m, false)
		default:
			go e.sendStart(u, m, u.run, w)
		}
	}
}

// sendStart repeats the start of one task until the worker answers or startTimeout has passed.
func (e *Engine) sendStart(u *unit, m *member, run int, w *worker) {
	deadline := e.clock.Now().Add(startTimeout)
	isUndecided := false
	for {
		e.mu.Lock()
		if u.run != run || u.phase != phaseStarting || e.ctx.Err() != nil {
			e.mu.Unlock()
			return
		}
		if e.isEvacuated(w) {
			e.withholdStart(u, m, isUndecided)
			e.mu.Unlock()
			return
		}
		now := e.clock.Now()
		if pause := e.startPause(w, now); pause > 0 {
			isLate := w.isUncertain(now) && !now.Before(deadline)
			done := isLate && e.handleStartReply(u, m, run, w, 0, port.ErrUnsent, deadline, isUndecided)
			e.mu.Unlock()
			if done || e.clock.Sleep(e.ctx, pause) != nil {
				return
			}
			continue
		}
		s, o := e.newStart(u, m, w, now)
		addr := w.runner.Worker.Addr
		ctx := e.startContextOf(w)
		e.mu.Unlock()
		workerClock, err := e.deps.Runners.Start(ctx, addr, s)
		e.mu.Lock()
		workerClock, err = w.reviseReply(s, o, workerClock, err)
		wasUndecided := isUndecided
		isUndecided = isUndecided || isUndecidedStart(err) || err == nil && e.handleLaterAnswer(w, o, workerClock)
		m.isUndecided, m.isSent = isUndecided, isUndecided || err == nil
		done := e.handleStartReply(u, m, run, w, workerClock, err, deadline, wasUndecided)
		e.endUnsentStart(u, m, run)
		e.mu.Unlock()
		if done {
			return
		}
		if e.clock.Sleep(e.ctx, commandRetryInterval) != nil {
			return
		}
	}
}

// newStart returns the next attempt to start a task.
func (e *Engine) newStart(u *unit, m *member, w *worker, now time.Time) (port.RunStart, order) {
	s := port.RunStart{
		Ref: u.ref(m), Spec: u.spec, Until: e.grantLease(w, now), Token: w.fence.token, Checkpoint: u.checkpoint, Worker: m.worker,
	}
	m.isSent, m.isUndecided, m.sentAt = true, true, now
	return s, e.newOrder(startOrder, w, s.Until, now)
}

// reviseReply returns what the reply to a start says now, as the worker may have a new lifetime, and its token may have been raised, since the
// start was sent.
func (w *worker) reviseReply(s port.RunStart, o order, clock time.Duration, err error) (time.Duration, error) {
	if o.instance != w.instance {
		// The clock of a former lifetime says nothing of the present one.
		clock = 0
	}
	if errors.Is(err, port.ErrFenced) && s.Token < w.fence.token {
		// This attempt is not executed; one under the newer token may be.
		err = port.ErrUnsent
	}
	return clock, err
}

// endUnsentStart ends a task whose run was stopped while an attempt of its start was under way, if no attempt can be executed any more.
func (e *Engine) endUnsentStart(u *unit, m *member, run int) {
	if u.run == run && u.phase == phaseStopping && !m.isSent && m.presence == taskUnknown {
		e.handleTaskEnd(u, m, jobs.Stopped, "", false)
	}
}

// startPause returns how long a start has to wait at least: the term may be over, or the worker may have ended or be of another kind.
func (e *Engine) startPause(w *worker, now time.Time) time.Duration {
	switch {
	case !e.mayHold() || w.isFailing:
		return commandRetryInterval
	case w.isUncertain(now):
		return reportCheckInterval
	default:
		return 0
	}
}

// isUndecidedStart reports whether a start that failed with err may have been, or may still be, executed.
func isUndecidedStart(err error) bool {
	for _, x := range []error{port.ErrWrongWorker, port.ErrNoRoom, port.ErrLeaseExpired, port.ErrRunEnded, port.ErrFenced, port.ErrUnhealthy, port.ErrUnsent} {
		if errors.Is(err, x) {
			return false
		}
	}
	return err != nil
}

// isRefusedStart reports whether the worker refused the start permanently.
func isRefusedStart(err error) bool {
	return errors.Is(err, port.ErrNoRoom) || errors.Is(err, port.ErrLeaseExpired) || errors.Is(err, port.ErrRunEnded)
}

// handleStartReply processes the reply to a start and reports whether the start need not be sent again. isUndecided
// means that an earlier attempt may still be executed, so that a refusal of this attempt does not show
// that the task will not run.
func (e *Engine) handleStartReply(u *unit, m *member, run int, w *worker, workerClock time.Duration, err error, deadline time.Time, isUndecided bool) bool {
	if u.run != run || m.presence == taskEnded {
		return true
	}
	switch {
	case err == nil:
		w.updateClock(workerClock, e.clock.Now())
		if m.presence == taskUnknown {
			e.markPresent(u, m, startAnswered)
			e.markRunning(u)
		}
		w.wakePoller()
		return true
	case errors.Is(err, port.ErrWrongWorker):
		e.recordLoss(m, replacedWorker)
		e.failStart(u, m, jobs.Lost, "another worker is at its address")
		return true
	case !isUndecided && isRefusedStart(err):
		m.isRefused = true
		e.failStart(u, m, jobs.Stopped, err.Error())
		return true
	case errors.Is(err, port.ErrFenced):
		e.log.Warn("start refused, worker has seen a newer owner", "Unit", u.name, "Worker", m.worker, "Term", e.term)
		e.stopRun(u, "a worker has seen a newer owner")
		return true
	}
	if !isRefusedStart(err) && e.clock.Now().Before(deadline) {
		return false
	}
	e.log.Warn("no reply to start request", "Job", u.job, "Unit", u.name, "Run", run, "Worker", m.worker, "Cause", err.Error())
	w.isSuspect, m.isRefused = true, true
	e.updatePlannerWorker(w)
	if !isUndecided && !isUndecidedStart(err) {
		e.failStart(u, m, jobs.Stopped, "no attempt reached the worker")
		return true
	}
	e.stopRun(u, "a worker did not accept its task")
	return true
}

// failStart records that a task does not run on its worker and never will, and stops the other tasks of the run.
func (e *Engine) failStart(u *unit, m *member, r jobs.Result, reason string) {
	m.presence, m.result = taskEnded, r
	e.log.Info("task did not start", "Job", u.job, "Unit", u.name, "Run", u.run, "Worker", m.worker, "Reason", reason)
	e.scope.Counter("starts_refused").Inc(1)
	if !u.hasEnded() {
		e.stopRun(u, "a task did not start: "+reason)
		e.vacateEnded(u)
		return
	}
	e.finishRun(u)
}

// markPresent records that a task is on its worker.
func (e *Engine) markPresent(u *unit, m *member, x beginEvidence) {
	m.presence, m.firstSeen = taskPresent, e.clock.Now()
	e.markBegun(u, x)
}

// markRunning marks a starting unit as running once the workers have accepted all its tasks.
func (e *Engine) markRunning(u *unit) {
	if u.phase != phaseStarting {
		return
	}
	for _, m := range u.members {
		if m.presence == taskUnknown {
			return
		}
	}
	e.setPhase(u, phaseRunning)
	e.planner.Started(u.name, e.clock.Now())
	e.scope.Counter("units_started").Inc(1)
	e.requestPass()
}
