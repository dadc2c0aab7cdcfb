package standin

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

// gangRun holds the tasks of one run of a gang.
type gangRun struct {
	tasks []*runTask
	// brokenAt is when a task of the gang first ended without being done; zero while none has.
	brokenAt time.Time
}

// stall stops the progress of all tasks of a gang, because one of them is on a worker that stands still.
func (g *gangRun) stall() {
	for _, x := range g.tasks {
		x.doneAt = time.Time{}
	}
}

// startWork sets when and how the tasks of a gang end, once all of them have started. If runs are to fail, the earliest
// failure stops the others. A gang with a task on a worker that stands still makes no progress.
func (g *gangRun) startWork(now time.Time) {
	var failed *runTask
	for _, x := range g.tasks {
		if x.worker.isStalled {
			return
		}
		if x.outcome.Result == jobs.FailedRun && (failed == nil || x.outcome.Work < failed.outcome.Work) {
			failed = x
		}
	}
	for _, x := range g.tasks {
		x.doneAt, x.result, x.reason = now.Add(g.tasks[0].outcome.Work), jobs.Done, "done"
		if failed != nil {
			x.doneAt, x.result, x.reason = now.Add(failed.outcome.Work), jobs.Stopped, "broken"
		}
	}
	if failed != nil {
		failed.result, failed.reason = jobs.FailedRun, "failed"
	}
}

// isLeasedUntilDone reports whether the leases of all workers of the gang last until the task is done, and no other task
// of the gang ends or is stopped before.
func (x *runTask) isLeasedUntilDone() bool {
	if x.gang == nil {
		return x.doneAt.Before(x.worker.leaseEnd)
	}
	if brokenAt := x.gang.brokenAt; !brokenAt.IsZero() && x.doneAt.After(brokenAt) {
		return false
	}
	for _, o := range x.gang.tasks {
		if !x.doneAt.Before(o.worker.leaseEnd) || !o.stopAt.IsZero() && o.stopAt.Before(x.doneAt) {
			return false
		}
	}
	return true
}

// endedAt returns when a task that has ended by now did so.
func (r *Runners) endedAt(w *runWorker, x *runTask, reason string) time.Time {
	switch {
	case reason == "lapsed":
		return w.leaseEnd
	case reason == "stopped":
		return x.stopAt
	case !x.doneAt.IsZero():
		return earlierTime(x.doneAt, r.clock.Now())
	default:
		return r.clock.Now()
	}
}
