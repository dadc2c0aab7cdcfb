package exec

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

const (
	// lookWait is how long a worker may hold its report back for an end.
	lookWait = 1500 * time.Millisecond
	// lookPause is the time between two looks at a worker that does not answer.
	lookPause = 200 * time.Millisecond
	// silence is how long a worker may leave looks unanswered before it gets no new work.
	silence = 900 * time.Millisecond
	// ackPatience is how long a look waits for the ends of the last one to be stored.
	ackPatience = 500 * time.Millisecond
	// openPause is the time between two looks at a worker with ends that cannot be acknowledged yet.
	openPause = 100 * time.Millisecond
	// ackAge is how long after its last report a worker is taken to be in the same lifetime.
	ackAge = 700 * time.Millisecond
	// clockSlack covers clocks of workers that run slow, and calls that are on their way.
	clockSlack = 300 * time.Millisecond
	// adoptGrace is how long a former owner may have gone on with the leases after this one took over.
	adoptGrace = holdGrace
	// holdGrace is how long an owner goes on with the leases without a confirmed renewal of its term.
	holdGrace = 4 * time.Second
	// slowClock is the inverse of how slow the clock of a worker may run.
	slowClock = 1.025
)

// task is a task that the engine believes to be on a worker.
type task struct {
	unit   *unit
	member *member
}

// worker is what the engine knows of one worker.
type worker struct {
	name     string
	runner   port.Runner
	instance string
	tasks    map[port.RunRef]task
	// isListed is set while the platform lists the worker, and isHeld once it has answered this owner.
	isListed bool
	isHeld   bool
	// isSuspect closes a worker that does not answer until it does.
	isSuspect bool
	// isFailing is set after a look without an answer; leases are extended again once the worker has answered.
	isFailing bool
	// strangers are tasks that run there for no unit and are being stopped.
	strangers map[port.RunRef]bool
	clockAt   time.Duration
	clockRead time.Time
	// leaseEnd is when all that runs there has certainly ended, if the worker does not answer any more.
	leaseEnd time.Time
	answered time.Time
	asked    time.Time
	// handled is the newest end that was taken, and written the newest whose consequences so far are stored.
	handled int64
	written int64
	// open are taken ends whose run has not ended as a whole, so that no record tells of them yet.
	open     map[int64]bool
	wake     chan struct{}
	cancel   context.CancelFunc
	isBooked bool
	// told is the newest end that the worker was told need not be listed again.
	told int64
	// shunned is until when a worker gets no new work on which tasks stood still.
	shunned time.Time
}

func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) expect(u *unit, m *member) {
	w.tasks[u.ref(m)] = task{u, m}
	w.signal()
}

func (w *worker) unexpect(u *unit, m *member) {
	delete(w.tasks, u.ref(m))
}

// tick notes the worker's clock.
func (w *worker) tick(at time.Duration, now time.Time) {
	if at > 0 {
		w.clockAt, w.clockRead = at, now
	}
}

// until returns the end of a full lease that begins now, on the worker's clock.
func (w *worker) until(now time.Time, hold time.Duration) time.Duration {
	return w.clockAt + now.Sub(w.clockRead) + hold
}

// leaseBound is how long after its grant a lease is certainly over.
func (e *Engine) leaseBound() time.Duration {
	return time.Duration(float64(e.bounds.MaxHold)*slowClock) + clockSlack
}

// getWorker returns the worker, which is made up when it is not listed.
func (e *Engine) getWorker(name string) *worker {
	w := e.workers[name]
	if w == nil {
		w = &worker{name: name, tasks: map[port.RunRef]task{}, open: map[int64]bool{}, wake: make(chan struct{}, 1)}
		w.runner.Worker.Name = name
		e.workers[name] = w
	}
	return w
}

// putRunner takes a worker that the platform lists.
func (e *Engine) putRunner(r port.Runner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.getWorker(r.Worker.Name)
	isNew := !w.isListed
	if !isNew && w.runner.Worker == r.Worker && w.runner.IsDraining == r.IsDraining {
		return
	}
	if r.IsDraining && !w.runner.IsDraining {
		e.log.Info("worker drains", "Worker", w.name, "Tasks", len(w.tasks))
	}
	isLeaving := r.IsDraining && !w.runner.IsDraining
	w.runner = r
	w.isListed = true
	e.book(w)
	if isLeaving {
		e.evacuate(w)
	}
	if isNew && w.cancel == nil {
		x, cancel := context.WithCancel(e.ctx)
		w.cancel = cancel
		e.log.Info("worker listed", "Worker", w.name, "Rack", r.Worker.Rack, "Domain", r.Worker.Domain)
		go e.watch(x, w)
	}
	e.kick()
}

// evacuate stops what saves its progress on a worker that is about to leave, so that it goes on elsewhere.
func (e *Engine) evacuate(w *worker) {
	for _, t := range w.tasks {
		if t.unit.step.Checkpoints {
			e.stop(t.unit, "a worker is about to leave")
		}
	}
}

// dropRunner takes note that the platform does not list a worker any more.
func (e *Engine) dropRunner(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.workers[name]
	if w == nil || !w.isListed {
		return
	}
	w.isListed = false
	e.log.Info("worker unlisted", "Worker", name, "Tasks", len(w.tasks))
	e.book(w)
	e.kick()
}

// book tells the planner whether a worker takes new work.
func (e *Engine) book(w *worker) {
	if !w.isHeld && !w.isBooked {
		return
	}
	x := w.runner.Worker
	x.Leaving = !w.isListed || w.runner.IsDraining || w.isSuspect || len(w.strangers) > 0 || !w.isHeld ||
		e.clock.Now().Before(w.shunned)
	if !w.isListed && len(w.tasks) == 0 {
		if w.isBooked {
			e.planner.DropWorker(w.name)
			w.isBooked = false
		}
		return
	}
	w.isBooked = true
	e.planner.PutWorker(x)
}

// watch keeps the lease of a worker and takes its reports while anything runs there.
func (e *Engine) watch(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		e.mu.Lock()
		isIdle := w.isHeld && !w.isSuspect && len(w.tasks) == 0 && len(w.strangers) == 0 && w.told == w.handled
		isDone := !w.isListed && len(w.tasks) == 0
		e.mu.Unlock()
		if isDone {
			e.mu.Lock()
			w.cancel()
			w.cancel = nil
			e.book(w)
			delete(e.workers, w.name)
			e.mu.Unlock()
			return
		}
		if isIdle {
			select {
			case <-w.wake:
			case <-e.clock.After(idleLook):
			case <-ctx.Done():
				return
			}
			continue
		}
		e.look(ctx, w)
	}
}

// idleLook is the time between two thoughts about a worker on which nothing runs.
const idleLook = 5 * time.Second

// look holds a worker once and takes its report.
func (e *Engine) look(ctx context.Context, w *worker) {
	e.mu.Lock()
	now := e.clock.Now()
	h := port.RunHold{Token: e.term, Seen: w.seen(), Wait: lookWait, Worker: w.name}
	if w.isFailing || now.Sub(w.answered) > ackAge {
		// Another lifetime, whose ends are numbered anew, may answer; it must not forget any unread.
		h.Seen = 0
	}
	if !w.isHeld || w.isSuspect || len(w.strangers) > 0 {
		h.Wait = 0
	}
	if !w.clockRead.IsZero() && !w.isFailing && e.mayHold(now) {
		h.Until = w.until(now, e.bounds.MaxHold)
		w.leaseEnd = later(w.leaseEnd, now.Add(e.leaseBound()))
	}
	w.asked = now
	addr := w.runner.Worker.Addr
	e.mu.Unlock()
	r, err := e.out.Runners.Hold(ctx, addr, h)
	e.scope.Counter("worker_looks").Inc(1)
	if err != nil {
		e.lookFailed(ctx, w, err)
		return
	}
	w.told = h.Seen
	stored := make(chan struct{})
	e.mu.Lock()
	e.report(w, now, r, func() { close(stored) })
	e.mu.Unlock()
	select {
	case <-stored:
	case <-e.clock.After(ackPatience):
	case <-ctx.Done():
	}
	e.mu.Lock()
	isOpen := len(w.open) > 0 || len(w.strangers) > 0
	e.mu.Unlock()
	if isOpen {
		// The worker answers at once as long as it lists ends that are not acknowledged.
		_ = e.clock.Sleep(ctx, openPause)
	}
}

// seen returns the newest end that the worker need not list again.
func (w *worker) seen() int64 {
	n := w.written
	for x := range w.open {
		n = min(n, x-1)
	}
	return n
}

// mayHold reports whether this owner may still extend leases: not for long after its term may have ended.
func (e *Engine) mayHold(now time.Time) bool {
	if e.renewed == nil {
		return true
	}
	at := e.renewed()
	return at.IsZero() || now.Sub(at) < holdGrace
}

func (e *Engine) lookFailed(ctx context.Context, w *worker, err error) {
	if ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	w.isFailing = true
	if errors.Is(err, port.ErrOther) {
		e.log.Info("another worker is at the address", "Worker", w.name)
		e.reborn(w, port.RunReport{})
		w.isHeld = false
		e.book(w)
	} else if errors.Is(err, port.ErrFenced) {
		e.log.Warn("look refused for a newer owner, term is over", "Worker", w.name, "Term", e.term)
		e.cancel()
	}
	e.mu.Unlock()
	_ = e.clock.Sleep(ctx, lookPause)
}

// report takes what a worker says; stored is called once all ends in it are stored.
func (e *Engine) report(w *worker, asked time.Time, r port.RunReport, stored func()) {
	now := e.clock.Now()
	w.answered = now
	w.isFailing = false
	w.tick(r.Clock, now)
	if r.Instance != w.instance {
		e.reborn(w, r)
	}
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
		u := e.units[jobs.UnitKey{Job: x.Ref.Job, Step: x.Ref.Step, Index: index}.String()]
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

// reborn notes that a worker runs another lifetime, which knows nothing of before but may have taken starts that were
// meant for the last one.
func (e *Engine) reborn(w *worker, r port.RunReport) {
	instance := r.Instance
	if w.instance != "" || w.isHeld {
		e.log.Info("worker has a new lifetime", "Worker", w.name, "Before", w.instance, "Now", instance)
	}
	w.instance = instance
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
		case t.member.presence == taskUnknown && t.unit.phase == phaseStarting:
			// The start may still arrive; a confirmed stop keeps it from running.
			t.member.instance = instance
			e.stop(t.unit, "its worker was restarted")
		default:
			e.ended(t.unit, t.member, jobs.Lost, "", false)
		}
	}
}

// reconcile compares what runs on a worker with what should.
func (e *Engine) reconcile(w *worker, asked time.Time, r port.RunReport) {
	there := make(map[port.RunRef]bool, len(r.Running))
	strangers := map[port.RunRef]bool{}
	for _, x := range r.Running {
		there[x.Ref] = true
		t, ok := w.tasks[x.Ref]
		if !ok {
			strangers[x.Ref] = true
			if !w.strangers[x.Ref] {
				go e.removeStranger(w, x.Ref, w.runner.Worker.Addr)
			}
			continue
		}
		if x.Checkpoint != "" {
			e.save(t.unit, x.Checkpoint, x.Percent)
		}
		e.watchProgress(w, t, x.Percent)
		if t.member.presence == taskUnknown {
			t.member.presence, t.member.seen = taskThere, e.clock.Now()
			e.started(t.unit)
		}
	}
	w.strangers = strangers
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

// removeStranger has a task stopped that runs for no unit, until the worker has confirmed it.
func (e *Engine) removeStranger(w *worker, r port.RunRef, addr netip.AddrPort) {
	e.log.Info("task of no unit is stopped", "Worker", w.name, "Job", r.Job, "Step", r.Step, "Task", r.Task, "Run", r.Run)
	for {
		err := e.out.Runners.Stop(e.ctx, addr, r, e.term, w.name)
		if err == nil || e.ctx.Err() != nil || errors.Is(err, port.ErrOther) || errors.Is(err, port.ErrFenced) {
			return
		}
		e.log.Info("stop of a task of no unit failed", "Worker", w.name, "Job", r.Job, "Task", r.Task, "Cause", err.Error())
		if e.clock.Sleep(e.ctx, lookPause) != nil {
			return
		}
	}
}

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
			e.lapse(w)
		}
	}
	for _, w := range e.workers {
		if !w.shunned.IsZero() && now.After(w.shunned) {
			w.shunned = time.Time{}
			e.book(w)
		}
	}
	for _, u := range e.deferred {
		e.planner.Cancel([]string{u.name})
		e.enqueue(u)
	}
}

// lapse counts the tasks of a worker as lost whose leases are certainly over.
func (e *Engine) lapse(w *worker) {
	for _, t := range w.tasks {
		if t.member.presence == taskEnded || t.unit.phase == phaseStoring {
			continue
		}
		e.log.Info("lease of a task on a silent worker is over", "Worker", w.name, "Unit", t.unit.name, "Run", t.unit.run)
		e.ended(t.unit, t.member, jobs.Lost, "", false)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
