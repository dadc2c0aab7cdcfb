package exec

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
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
	// orphans are tasks that run there for no unit and are being stopped.
	orphans   map[port.RunRef]bool
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
	// avoidUntil is until when a worker gets no new work on which tasks stood still.
	avoidUntil time.Time
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

// tick notes the worker's clock; a reading that was long on its way tells less than the one before.
func (w *worker) tick(at time.Duration, now time.Time) {
	if at > 0 && (w.clockRead.IsZero() || at >= w.time(now)) {
		w.clockAt, w.clockRead = at, now
	}
}

// time returns the least that the worker's clock shows now.
func (w *worker) time(now time.Time) time.Duration {
	if w.clockRead.IsZero() {
		return 0
	}
	return w.clockAt + time.Duration(float64(now.Sub(w.clockRead))/slowClock)
}

// until returns the end of a full lease that begins now, on the worker's clock.
func (w *worker) until(now time.Time, hold time.Duration) time.Duration {
	return w.time(now) + hold
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
	e.isListRead = true
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
	x.Leaving = !w.isListed || w.runner.IsDraining || w.isSuspect || len(w.orphans) > 0 || !w.isHeld ||
		e.clock.Now().Before(w.avoidUntil)
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
