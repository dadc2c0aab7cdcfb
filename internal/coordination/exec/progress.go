package exec

import "time"

const (
	// stallAfter is how long a task may make no progress at the least, and stallShare the part of its estimated run time
	// that it may make none.
	stallAfter = 2500 * time.Millisecond
	stallShare = 0.05
	// workDone is the percentage at which a task is about to end, however long that takes.
	workDone = 100
	// avoidFor is how long a worker gets no new work after a task stood still there.
	avoidFor = 5 * time.Second
)

// watchProgress stops a unit of which a task does not go on, so that it runs elsewhere; at is the worker's time, as a report
// that comes late tells nothing of the time that it was on its way.
func (e *Engine) watchProgress(w *worker, t task, percent int, at time.Duration) {
	m, u := t.member, t.unit
	if u.step.Lasts {
		return
	}
	if !m.isWatched || percent != m.percent || percent >= workDone || u.phase != phaseRunning {
		m.percent, m.moved, m.isWatched = percent, at, true
		return
	}
	bound := max(stallAfter, time.Duration(stallShare*float64(u.step.Estimate)))
	still := at - m.moved
	if still < bound {
		return
	}
	e.log.Info("task stands still", "Job", u.job, "Unit", u.name, "Run", u.run, "Worker", w.name, "Percent", percent,
		"Since", still.Round(time.Millisecond).String())
	e.scope.Counter("tasks_stalled").Inc(1)
	m.isStalled = true
	w.avoidUntil = e.clock.Now().Add(avoidFor)
	e.stop(u, "a task stands still")
}
