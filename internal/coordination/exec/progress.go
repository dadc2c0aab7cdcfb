package exec

import "time"

const (
	// A task counts as stalled after it has made no progress for minStallTimeout or for stallShareOfEstimate of its
	// estimated run time, whichever is longer.
	minStallTimeout      = 2500 * time.Millisecond
	stallShareOfEstimate = 0.05
	// completePercent is the progress of a task that has completed its work but has not ended; such a task never counts
	// as stalled.
	completePercent = 100
	// avoidDuration is how long work goes to other workers, if these have room, after a task stalled on a worker.
	avoidDuration = 5 * time.Second
)

// checkProgress stops a unit with a stalled task, so that the unit runs on another worker. The time without progress is
// measured by workerClock, the clock of the worker, so that the transit time of a delayed report does not count as a
// stall.
func (e *Engine) checkProgress(w *worker, t task, percent int, workerClock time.Duration) {
	m, u := t.member, t.unit
	if u.step.Lasts {
		return
	}
	if !m.hasProgress || percent != m.percent || percent >= completePercent || u.phase != phaseRunning {
		m.percent, m.progressedAt, m.hasProgress = percent, workerClock, true
		return
	}
	timeout := max(minStallTimeout, time.Duration(stallShareOfEstimate*float64(u.step.Estimate)))
	stalledFor := workerClock - m.progressedAt
	if stalledFor < timeout {
		return
	}
	e.log.Info("task is stalled", "Job", u.job, "Unit", u.name, "Run", u.run, "Worker", w.name, "Percent", percent,
		"Since", stalledFor.Round(time.Millisecond).String())
	e.scope.Counter("tasks_stalled").Inc(1)
	now := e.clock.Now()
	m.isStalled = true
	// Tasks that stall together have one cause, so only the first is evidence against the worker.
	m.isWorkerFault = !now.Before(w.avoidUntil)
	w.avoidUntil = now.Add(avoidDuration)
	e.stopRun(u, "a task stands still")
}
