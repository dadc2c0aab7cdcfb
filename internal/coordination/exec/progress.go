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

// watchProgress stops a unit of which a task does not go on, so that it runs elsewhere.
func (e *Engine) watchProgress(w *worker, t task, percent int) {
	now := e.clock.Now()
	m, u := t.member, t.unit
	if u.step.Lasts {
		return
	}
	if m.moved.IsZero() || percent != m.percent || percent >= workDone || u.phase != phaseRunning {
		m.percent, m.moved = percent, now
		return
	}
	bound := max(stallAfter, time.Duration(stallShare*float64(u.step.Estimate)))
	if now.Sub(m.moved) < bound {
		return
	}
	e.log.Info("task stands still", "Job", u.job, "Unit", u.name, "Run", u.run, "Worker", w.name, "Percent", percent,
		"Since", now.Sub(m.moved).Round(time.Millisecond).String())
	e.scope.Counter("tasks_stalled").Inc(1)
	m.isStalled = true
	w.avoidUntil = now.Add(avoidFor)
	e.stop(u, "a task stands still")
}
