package standin

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

// gangRun holds the tasks of one run of a gang.
type gangRun struct {
	tasks []*runTask
	// broken is when a task of the gang ended before its time; zero while none has.
	broken time.Time
}

// complete starts the work of a gang of which all tasks are present.
func (g *gangRun) complete(now time.Time) {
	var failed *runTask
	for _, x := range g.tasks {
		if x.fate.Result == jobs.FailedRun && (failed == nil || x.fate.Work < failed.fate.Work) {
			failed = x
		}
	}
	for _, x := range g.tasks {
		x.done, x.how, x.word = now.Add(g.tasks[0].fate.Work), jobs.Done, "done"
		if failed != nil {
			x.done, x.how, x.word = now.Add(failed.fate.Work), jobs.Stopped, "broken"
		}
	}
	if failed != nil {
		failed.how, failed.word = jobs.FailedRun, "failed"
	}
}

// isHeldUntilDone reports whether the leases of the task, and of all others of its gang, outlast its work, and no other
// task of the gang ended before.
func (x *runTask) isHeldUntilDone() bool {
	if x.gang == nil {
		return x.done.Before(x.on.lease)
	}
	if b := x.gang.broken; !b.IsZero() && x.done.After(b) {
		return false
	}
	for _, o := range x.gang.tasks {
		if !x.done.Before(o.on.lease) || !o.stops.IsZero() && o.stops.Before(x.done) {
			return false
		}
	}
	return true
}

// endedAt returns when a task ended that is found to have ended by now.
func (r *Runners) endedAt(w *runWorker, x *runTask, word string) time.Time {
	switch {
	case word == "lapsed":
		return w.lease
	case word == "stopped":
		return x.stops
	case !x.done.IsZero():
		return minTime(x.done, r.clock.Now())
	default:
		return r.clock.Now()
	}
}
