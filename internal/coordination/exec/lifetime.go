package exec

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// isDescribed reports whether the entry of the worker is that of the lifetime that reports, as far as is known. Otherwise the worker
// may have other labels or less capacity than its entry says.
func (w *worker) isDescribed() bool {
	return w.runner.Instance == "" || w.instance == "" || w.runner.Instance == w.instance
}

// minAbsence is taken to be the shortest time between two lifetimes of a worker.
const minAbsence = 400 * time.Millisecond

// mayHaveRestarted reports whether the next lifetime of a worker that names its lifetimes may have begun since the last report. A poll that
// is under way fails when the worker ends.
func (w *worker) mayHaveRestarted(now time.Time) bool {
	if w.lastPoll.After(w.lastReport) {
		now = w.lastPoll
	}
	return w.runner.Instance != "" && now.Sub(w.lastReport) > minAbsence
}

// isUncertain reports whether a start has to wait for a report or for the entry of the worker: it may have ended, be of another kind, or still
// execute orders to a former lifetime.
func (w *worker) isUncertain(now time.Time) bool {
	return w.mayHaveEnded(now) || !w.isDescribed() || w.mayHaveRestarted(now) || w.isReborn
}

// logNewLifetime logs and counts a lifetime of a worker that follows one known to this owner; an empty one stands for another worker at
// its address.
func (e *Engine) logNewLifetime(w *worker, instance string) {
	before := w.knownInstance
	if instance != "" {
		w.knownInstance = instance
	}
	isReported := w.instance != "" || w.hasReported
	if isReported {
		before = w.instance
	} else if instance == "" || before == "" || before == instance {
		return
	}
	if instance != "" {
		e.scope.Counter("worker_lifetimes").Inc(1)
	}
	starts, formerStarts := w.countUnansweredStarts()
	b := e.leaseBoundOf(w)
	e.log.Info("worker has a new lifetime", "Worker", w.name, "Before", before, "Now", instance, "IsReported", isReported,
		"UnansweredStarts", starts, "FormerStarts", formerStarts, "UnansweredRenewals", w.unansweredRenewals,
		"IsClockKnown", !w.lastClockTime.IsZero(), "Bound", string(b.source), "LeaseEnd", b.at.Sub(e.clock.Now()).Round(time.Millisecond).String())
}

// countUnansweredStarts counts the starts of this owner that may still be executed, and those of former owners that no report has shown.
func (w *worker) countUnansweredStarts() (own, former int) {
	for _, t := range w.tasks {
		switch m := t.member; {
		case m.isUndecided:
			own++
		case m.isAdopted && m.presence == taskUnknown:
			former++
		}
	}
	return own, former
}

// startContextOf returns the context of the starts that are under way to a worker.
func (e *Engine) startContextOf(w *worker) context.Context {
	if w.startContext == nil {
		w.startContext, w.cancelStarts = context.WithCancel(e.ctx)
	}
	return w.startContext
}

// endStarts ends the starts that are under way to a worker which may have ended: a connection that is still being opened could reach
// its next lifetime, which may be of another kind.
func (w *worker) endStarts() {
	if w.cancelStarts != nil {
		w.cancelStarts()
	}
	w.startContext, w.cancelStarts = nil, nil
}

// handleListing processes a new entry of a worker; one of another lifetime than that of the last report calls for a new report.
func (e *Engine) handleListing(w *worker) {
	if w.knownInstance == "" {
		w.knownInstance = w.runner.Instance
	}
	if !w.isDescribed() {
		e.log.Info("worker is listed with another lifetime", "Worker", w.name, "Listed", w.runner.Instance, "Reported", w.instance)
		w.isOutdated = true
		w.endStarts()
		w.wakePoller()
	}
	e.stopMisplaced(w)
}

// stopMisplaced stops the runs that a worker of another kind got by the entry of its former lifetime, once the entry of the lifetime that
// reports is known.
func (e *Engine) stopMisplaced(w *worker) {
	if !w.isDescribed() || w.runner.Instance == w.placedInstance {
		return
	}
	w.placedInstance = w.runner.Instance
	for _, t := range w.tasks {
		if !e.canRun(w.runner.Worker, t.unit) {
			e.stopRun(t.unit, "its worker has come back as another kind")
		}
	}
}

// canRun reports whether a worker on which nothing else runs can run a task of a unit.
func (e *Engine) canRun(x fleet.Worker, u *unit) bool {
	service := e.serviceOf(u.queue)
	if service != "" && x.Service != "" && service != x.Service {
		return false
	}
	if u.step.Label != "" && !slices.Contains(strings.Split(x.Labels, ","), u.step.Label) {
		return false
	}
	s := fleet.Shape{Tasks: 1, Accelerators: u.step.Accelerators, Processors: u.step.Processors, Memory: u.step.Memory}
	return place.WorkerCapacity(x).Holds(place.TaskResources(s)) > 0
}
