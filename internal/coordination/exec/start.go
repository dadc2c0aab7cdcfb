package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

const (
	// startPatience is how long a start that is not answered is repeated, below the time a gang waits for its tasks.
	startPatience = 1200 * time.Millisecond
	// orderPause is the time between two tries of an order.
	orderPause = 80 * time.Millisecond
)

// launch sends a unit to its workers once its start is stored.
func (e *Engine) launch(u *unit) {
	if u.isOver {
		for _, m := range u.members {
			m.presence, m.result = taskEnded, jobs.Stopped
		}
		e.finish(u)
		return
	}
	u.phase = phaseStarting
	for _, m := range u.members {
		w := e.getWorker(m.worker)
		if m.instance != w.instance {
			e.missed(u, m, jobs.Lost, "worker was restarted")
			continue
		}
		go e.sendStart(u, m, u.run, w)
	}
}

// sendStart repeats the start of one task until the worker has answered or patience is over.
func (e *Engine) sendStart(u *unit, m *member, run int, w *worker) {
	until := e.clock.Now().Add(startPatience)
	isUndecided := false
	for {
		e.mu.Lock()
		if u.run != run || u.phase != phaseStarting || e.ctx.Err() != nil {
			e.mu.Unlock()
			return
		}
		if !e.mayHold() {
			// The term may be over, and a start would extend the leases of the worker.
			e.mu.Unlock()
			if e.clock.Sleep(e.ctx, orderPause) != nil {
				return
			}
			continue
		}
		now := e.clock.Now()
		s := port.RunStart{
			Ref: u.ref(m), Spec: u.spec, Until: w.until(now, e.bounds.MaxHold), Token: e.term, Checkpoint: u.checkpoint,
			Worker: m.worker,
		}
		w.leaseEnd = later(w.leaseEnd, now.Add(e.leaseBound()))
		addr := w.runner.Worker.Addr
		m.isUndecided = true
		e.mu.Unlock()
		at, err := e.out.Runners.Start(e.ctx, addr, s)
		e.mu.Lock()
		done := e.startAnswered(u, m, run, w, at, err, until, isUndecided)
		isUndecided = isUndecided || isUndecidedStart(err)
		m.isUndecided = isUndecided
		e.mu.Unlock()
		if done {
			return
		}
		if e.clock.Sleep(e.ctx, orderPause) != nil {
			return
		}
	}
}

// isUndecidedStart reports whether a start that came to this error may still be carried out.
func isUndecidedStart(err error) bool {
	for _, x := range []error{port.ErrOther, port.ErrNoRoom, port.ErrLate, port.ErrOldRun, port.ErrFenced, port.ErrUnhealthy, port.ErrUnsent} {
		if errors.Is(err, x) {
			return false
		}
	}
	return err != nil
}

// isRefusedStart reports whether the worker refused a start for good.
func isRefusedStart(err error) bool {
	return errors.Is(err, port.ErrNoRoom) || errors.Is(err, port.ErrLate) || errors.Is(err, port.ErrOldRun)
}

// startAnswered takes the answer to a start and reports whether it settles the matter; isUndecided tells that an earlier
// try may still be carried out, so that a refusal of this one says nothing about the run.
func (e *Engine) startAnswered(u *unit, m *member, run int, w *worker, at time.Duration, err error, until time.Time, isUndecided bool) bool {
	if u.run != run || m.presence == taskEnded {
		return true
	}
	switch {
	case err == nil:
		w.tick(at, e.clock.Now())
		if m.presence == taskUnknown {
			m.presence, m.seen = taskThere, e.clock.Now()
			e.started(u)
		}
		w.signal()
		return true
	case errors.Is(err, port.ErrOther):
		e.missed(u, m, jobs.Lost, "another worker is at its address")
		return true
	case !isUndecided && isRefusedStart(err):
		e.missed(u, m, jobs.Stopped, err.Error())
		return true
	case errors.Is(err, port.ErrFenced):
		e.log.Warn("start refused for a newer owner", "Unit", u.name, "Worker", m.worker, "Term", e.term)
		e.stop(u, "a newer owner was seen")
		return true
	}
	if !isRefusedStart(err) && e.clock.Now().Before(until) {
		return false
	}
	e.log.Warn("start is not answered", "Job", u.job, "Unit", u.name, "Run", run, "Worker", m.worker, "Cause", err.Error())
	w.isSuspect = true
	e.stop(u, "a worker did not take its task")
	return true
}

// missed notes that a task is not on its worker and will not be, and stops the others.
func (e *Engine) missed(u *unit, m *member, r jobs.Result, why string) {
	m.presence, m.result = taskEnded, r
	e.log.Info("task did not start", "Job", u.job, "Unit", u.name, "Run", u.run, "Worker", m.worker, "Reason", why)
	e.scope.Counter("starts_refused").Inc(1)
	if !u.isGone() {
		e.stop(u, "a task did not start: "+why)
		return
	}
	e.finish(u)
}

// started notes that a unit runs once all its tasks were taken.
func (e *Engine) started(u *unit) {
	if u.phase != phaseStarting {
		return
	}
	for _, m := range u.members {
		if m.presence == taskUnknown {
			return
		}
	}
	u.phase = phaseRunning
	e.planner.Started(u.name, e.clock.Now())
	e.scope.Counter("units_started").Inc(1)
	e.kick()
}
