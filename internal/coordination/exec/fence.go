package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

// fence keeps orders that were sent before the present lifetime of a worker was known from being executed by it. A new lifetime has seen no
// token and executes such orders, until it has answered a renewal under a higher token than theirs.
type fence struct {
	// token is the fencing token of the orders that are sent now.
	token int64
	// binding is the highest token of the orders to the present lifetime that granted a lease or acknowledged ends; zero if there was none.
	binding int64
	// earlier is the highest token of the orders to former lifetimes, and of those of former owners.
	earlier int64
	// lastStray is the last time at which the present lifetime may have executed an earlier order; zero if it may have executed none.
	lastStray time.Time
}

// newFence returns the fence of a worker that has not reported to this owner, or has been forgotten since. Until it reports it may execute
// orders of this owner, if any worker has been forgotten, and of former ones, which send none later than maxRenewalAge after they were heard of.
func (e *Engine) newFence() fence {
	f := fence{token: max(e.term, e.forgottenToken), earlier: max(e.term-1, e.forgottenToken)}
	switch {
	case e.forgottenToken > 0:
		f.lastStray = e.clock.Now()
	case e.formerHeardAt == nil:
		f.lastStray = e.takenOverAt
	case !e.formerHeardAt().IsZero():
		f.lastStray = later(e.takenOverAt, e.formerHeardAt().Add(maxRenewalAge))
	}
	return f
}

// isBarredBy reports whether a worker that has answered a renewal under a token executes no order to a former lifetime any more.
func (f *fence) isBarredBy(token int64) bool {
	return token > max(f.earlier, f.binding)
}

// beginLifetime moves the fence to the next lifetime of the worker.
func (f *fence) beginLifetime(now time.Time) {
	if f.binding > 0 || !f.lastStray.IsZero() {
		f.lastStray = now
	}
	f.earlier, f.binding = max(f.earlier, f.binding), 0
}

// raiseToken raises the token of the next orders to a worker that may have a new lifetime.
func (e *Engine) raiseToken(w *worker) {
	if w.isFailing || w.isOutdated || w.isReborn || !w.hasReported {
		w.fence.token = max(w.fence.token, e.deps.NewestToken())
	}
}

// isUsable reports whether a report can be used that a worker has given under a token. The report of a new lifetime can't while the worker may
// still execute orders to a former one.
func (w *worker) isUsable(instance string, token int64) bool {
	return w.hasReported && instance == w.instance || w.fence.isBarredBy(token)
}

// expectLifetime notes that a worker has a new lifetime, which has not reported yet or may still execute orders to a former one.
func (e *Engine) expectLifetime(w *worker) {
	if !w.isReborn {
		e.log.Info("worker may execute orders to a former lifetime", "Worker", w.name, "Instance", w.instance, "Token", w.fence.token,
			"Barred", w.fence.isBarredBy(w.fence.token))
	}
	w.isReborn = true
	w.endStarts()
	e.updatePlannerWorker(w)
	w.wakePoller()
}

// settleFence notes that the lifetime of a first report holds no lease by an order to a former one, if it has been up for long, or a former owner
// has recorded so.
func (e *Engine) settleFence(w *worker, instance string, now time.Time) {
	isSettled := e.isLongUp(instance, now)
	for _, t := range w.tasks {
		isSettled = isSettled || t.member.isSettled && t.member.instance == instance
	}
	if isSettled {
		w.fence.lastStray = time.Time{}
	}
}

// isLongUp reports whether a lifetime is known to have begun so long ago that orders to a former one, and their leases, are over.
func (e *Engine) isLongUp(instance string, now time.Time) bool {
	if e.deps.Runners.BornAt == nil {
		return false
	}
	born := e.deps.Runners.BornAt(instance)
	return !born.IsZero() && now.Sub(born) > strayPeriod+leaseBound(e.bounds.MaxHold)+maxClockOffset
}

// isSettled reports whether the present lifetime of a worker holds no lease by an order to a former one.
func (e *Engine) isSettled(w *worker, now time.Time) bool {
	return w.hasReported && !w.isReborn && now.After(e.strayLeaseEnd(w))
}

// settleRuns records of the runs on a settled worker that they are on a settled lifetime, for the next owner.
func (e *Engine) settleRuns(w *worker) {
	for _, t := range w.tasks {
		m := t.member
		if m.isSettled || t.unit.phase != phaseRunning || m.presence != taskPresent || m.instance != w.instance {
			continue
		}
		m.isSettled = true
		r, err := jobs.UnitRecord(e.record(t.unit, jobs.Running))
		if err != nil {
			e.log.Error("cannot encode a run", "Unit", t.unit.name, "Cause", err.Error())
			continue
		}
		e.store([]jobs.Record{r}, nil)
	}
}

// isSuperseded reports whether a worker refused an order because it has seen a newer owner, rather than a newer token of this one.
func (e *Engine) isSuperseded(w *worker, token int64, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return errors.Is(err, port.ErrFenced) && token == w.fence.token
}
