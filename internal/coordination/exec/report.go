package exec

import (
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

// report takes what a worker says; stored is called once all ends in it are stored.
func (e *Engine) report(w *worker, asked time.Time, r port.RunReport, stored func()) {
	now := e.clock.Now()
	w.answered = now
	w.isFailing = false
	if r.Instance != w.instance {
		e.restarted(w, r)
	}
	w.tick(r.Clock, now)
	if w.isSuspect {
		e.log.Info("worker answers again", "Worker", w.name)
		w.isSuspect = false
	}
	isFirst := !w.isHeld
	w.isHeld = true
	top := w.handled
	for _, x := range r.Ended {
		if x.Number <= w.handled {
			continue
		}
		top = max(top, x.Number)
		if t, ok := w.tasks[x.Ref]; ok && t.unit.run == x.Ref.Run {
			e.log.Debug("task ended", "Unit", t.unit.name, "Run", x.Ref.Run, "Worker", w.name, "How", x.How)
			e.scope.Tagged(map[string]string{"How": x.How}).Counter("task_ends").Inc(1)
			w.open[x.Number] = true
			t.member.number = x.Number
			e.ended(t.unit, t.member, x.Result, x.Checkpoint, x.IsBroken)
			continue
		}
		e.endedLate(w, x)
	}
	w.handled = top
	e.reconcile(w, asked, r)
	e.book(w)
	if isFirst {
		e.kick()
	}
	if top == w.written {
		stored()
		return
	}
	instance := w.instance
	e.afterStored(func() {
		if w.instance == instance {
			w.written = max(w.written, top)
		}
		stored()
	})
}

// endedLate takes the good end of a run that was counted as lost and has not been started again.
func (e *Engine) endedLate(w *worker, x port.RunEnd) {
	for _, index := range []int{x.Ref.Task, jobs.WholeGang} {
		u := e.units[jobs.UnitKey{Job: x.Ref.Job, Occurrence: x.Ref.Occurrence, Step: x.Ref.Step, Index: index}.String()]
		if u == nil || u.phase != phaseQueued || u.run != x.Ref.Run || x.Result != jobs.Done {
			continue
		}
		e.log.Info("run counted as lost has ended well", "Job", u.job, "Unit", u.name, "Run", u.run, "Worker", w.name)
		e.planner.Cancel([]string{u.name})
		delete(e.deferred, u.name)
		u.members = []*member{{worker: w.name, instance: w.instance, task: x.Ref.Task, number: x.Number}}
		w.open[x.Number] = true
		e.ended(u, u.members[0], jobs.Done, x.Checkpoint, false)
	}
}

// restarted notes that a worker runs another lifetime, which knows nothing of before but may have taken starts that were
// meant for the last one.
func (e *Engine) restarted(w *worker, r port.RunReport) {
	instance := r.Instance
	if w.instance != "" || w.isHeld {
		e.log.Info("worker has a new lifetime", "Worker", w.name, "Before", w.instance, "Now", instance)
	}
	w.instance = instance
	w.clockAt, w.clockRead = 0, time.Time{}
	w.handled, w.written, w.told = 0, 0, 0
	w.open = map[int64]bool{}
	there := map[port.RunRef]bool{}
	for _, x := range r.Running {
		there[x.Ref] = true
	}
	for _, x := range r.Ended {
		there[x.Ref] = true
	}
	for ref, t := range w.tasks {
		switch {
		case t.member.instance == instance, t.unit.phase == phaseStoring:
		case there[ref]:
			t.member.instance = instance
		case t.member.isUndecided && t.member.presence != taskEnded:
			t.member.instance = instance
			e.bar(t.unit, t.member, w)
		default:
			e.ended(t.unit, t.member, jobs.Lost, "", false)
		}
	}
}

// bar keeps a start that may still arrive at a new lifetime of its worker from running there: only once the worker has
// confirmed a stop, the task counts as gone.
func (e *Engine) bar(u *unit, m *member, w *worker) {
	m.presence = taskUnknown
	if u.phase != phaseStopping {
		e.stop(u, "its worker was restarted")
		return
	}
	if !m.barred.IsZero() {
		m.barred = time.Time{}
		go e.sendStop(u.ref(m), m, w)
	}
}

// reconcile compares what runs on a worker with what should.
func (e *Engine) reconcile(w *worker, asked time.Time, r port.RunReport) {
	there := make(map[port.RunRef]bool, len(r.Running))
	orphans := map[port.RunRef]bool{}
	for _, x := range r.Running {
		there[x.Ref] = true
		t, ok := w.tasks[x.Ref]
		if !ok {
			orphans[x.Ref] = true
			if !w.orphans[x.Ref] {
				go e.stopOrphan(w, x.Ref, w.runner.Worker.Addr)
			}
			continue
		}
		if x.Checkpoint != "" {
			e.save(t.unit, x.Checkpoint, x.Percent)
		}
		e.watchProgress(w, t, x.Percent, r.Clock)
		if t.member.presence == taskUnknown {
			t.member.presence, t.member.seen = taskThere, e.clock.Now()
			e.started(t.unit)
		}
	}
	w.orphans = orphans
	for ref, t := range w.tasks {
		if there[ref] || t.member.presence == taskEnded {
			continue
		}
		e.missing(t, asked)
	}
}

// missing notes a task that a report does not list; it may still come unless the worker bars it.
func (e *Engine) missing(t task, asked time.Time) {
	m := t.member
	switch {
	case t.unit.phase == phaseStoring:
	case m.presence == taskThere && !m.isStopping && t.unit.phase == phaseRunning && asked.After(m.seen):
		e.ended(t.unit, m, jobs.Lost, "", false)
	case !m.barred.IsZero() && asked.After(m.barred):
		e.ended(t.unit, m, jobs.Stopped, "", false)
	case t.unit.phase == phaseRunning && m.presence == taskUnknown:
		// A start of a former owner, which the worker now refuses by its token.
		e.ended(t.unit, m, jobs.Lost, "", false)
	}
}

// stopOrphan has a task stopped that runs for no unit, until the worker has confirmed it.
func (e *Engine) stopOrphan(w *worker, r port.RunRef, addr netip.AddrPort) {
	e.log.Info("orphaned task is stopped", "Worker", w.name, "Job", r.Job, "Step", r.Step, "Task", r.Task, "Run", r.Run)
	for {
		err := e.out.Runners.Stop(e.ctx, addr, r, e.term, w.name)
		if err == nil || e.ctx.Err() != nil || errors.Is(err, port.ErrOther) || errors.Is(err, port.ErrFenced) {
			return
		}
		e.log.Info("stop of an orphaned task failed", "Worker", w.name, "Job", r.Job, "Task", r.Task, "Cause", err.Error())
		if e.clock.Sleep(e.ctx, lookPause) != nil {
			return
		}
	}
}
