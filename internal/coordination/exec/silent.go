package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

// check closes workers that are silent, counts their tasks as lost when their leases are over, and looks after units
// that wait for something.
func (e *Engine) check(now time.Time) {
	for _, w := range e.workers {
		if !w.isSuspect && !w.asked.IsZero() && w.asked.After(w.answered) && now.Sub(w.asked) > lookWait+silence {
			w.isSuspect = true
			e.log.Info("worker is silent", "Worker", w.name, "Tasks", len(w.tasks), "Asked", now.Sub(w.asked).String())
			e.book(w)
		}
		if !w.leaseEnd.IsZero() && now.After(w.leaseEnd) {
			e.expire(w)
		}
	}
	for _, w := range e.workers {
		if !w.avoidUntil.IsZero() && now.After(w.avoidUntil) {
			w.avoidUntil = time.Time{}
			e.book(w)
		}
	}
	for _, u := range e.deferred {
		e.planner.Cancel([]string{u.name})
		e.enqueue(u)
	}
}

// expire counts the tasks of a worker as lost whose leases are certainly over.
func (e *Engine) expire(w *worker) {
	for _, t := range w.tasks {
		if t.member.presence == taskEnded || t.unit.phase == phaseStoring {
			continue
		}
		e.log.Info("lease of a task on a silent worker is over", "Worker", w.name, "Unit", t.unit.name, "Run", t.unit.run)
		e.ended(t.unit, t.member, jobs.Lost, "", false)
	}
}
