package exec

import "time"

// runChecks withholds new work from unresponsive workers, counts their tasks as lost once their leases have expired,
// lifts the avoidance of workers where tasks stalled, and resubmits deferred units.
func (e *Engine) runChecks(now time.Time) {
	for _, w := range e.workers {
		if !w.isSuspect && w.isSilent(now) {
			w.isSuspect = true
			e.log.Info("worker is silent", "Worker", w.name, "Tasks", len(w.tasks), "Asked", now.Sub(w.lastPoll).String())
			e.updatePlannerWorker(w)
		}
		if e.isSettled(w, now) {
			e.settleRuns(w)
		}
		if len(w.tasks) > 0 && now.After(w.ownClockBound().at) {
			e.expireTasks(w, now)
		}
	}
	for _, w := range e.workers {
		if !w.avoidUntil.IsZero() && now.After(w.avoidUntil) {
			w.avoidUntil = time.Time{}
			e.updatePlannerWorker(w)
		}
	}
	e.resubmitDeferred()
}

// isSilent reports whether the worker has not reported for too long, and has left a poll unanswered or failed one.
func (w *worker) isSilent(now time.Time) bool {
	if w.isFailing && now.Sub(w.lastReport) > maxReportAge {
		return true
	}
	return !w.lastPoll.IsZero() && w.lastPoll.After(w.lastReport) && now.Sub(w.lastPoll) > maxReportAge
}

// expireTasks counts the tasks of a worker as lost whose leases have certainly expired.
func (e *Engine) expireTasks(w *worker, now time.Time) {
	for _, t := range w.tasks {
		if t.member.presence == taskEnded || t.unit.phase == phaseStoring {
			continue
		}
		if !now.After(e.taskLeaseBound(w, t.member).at) {
			continue
		}
		e.logExpiredLease(w, t, now)
		e.loseTask(t, leaseExpired)
	}
}
