package standin

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

// RunBounds are the figures that the workers of a stand-in keep to.
type RunBounds struct {
	// Attempts bounds the failed runs of a task; zero means no bound.
	Attempts    int
	MaxHold     time.Duration
	StopTimeout time.Duration
	GangTimeout time.Duration
}

// RunFate tells how a run of a task goes.
type RunFate struct {
	Work   time.Duration
	Result jobs.Result
	// Gang is how many tasks have to be present before any of them works; zero for independent tasks.
	Gang int
}

// RunPlan tells how a run of a task goes.
type RunPlan func(r port.RunRef, spec string) RunFate

// Runners is a stand-in for workers that run tasks under leases; it notes each promise that its callers break.
type Runners struct {
	clock  clock.Clock
	bounds RunBounds
	plan   RunPlan
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*runWorker
	born   int
	// noted holds the tasks whose end as done was acknowledged.
	noted map[port.RunRef]bool
	// failed counts the runs of each task that ended as failed and were acknowledged or still can be.
	failed map[port.RunRef]int
	faults []string
	starts int
	// begun holds the jobs of which a task was ever started, and done the tasks of which a run ended well.
	begun map[string]bool
	done  map[port.RunRef]bool
	// everFailed counts the failed runs of each task, and of each gang under the index of its whole.
	everFailed map[port.RunRef]int
	gangs      map[port.RunRef]*gangRun
	// isCut reports whether a host cannot reach a worker.
	isCut func(host, worker string) bool
}

type runWorker struct {
	worker   fleet.Worker
	instance string
	start    time.Time
	token    int64
	lease    time.Time
	tasks    map[port.RunRef]*runTask
	ended    []port.RunEnd
	numbers  int64
	barred   map[port.RunRef]int
	// lapsed is the newest end after which the lease of the worker lapsed; its acknowledgement counts for nothing.
	lapsed int64
	// isFull refuses starts for want of room, whatever runs there.
	isFull bool
	// isStill keeps all tasks from doing any work.
	isStill bool
	// slow delays reports on their way back.
	slow time.Duration
	// drop loses the answers of orders, which are carried out after the given time.
	drop time.Duration
}

type runTask struct {
	ref   port.RunRef
	on    *runWorker
	fate  RunFate
	begun time.Time
	// done is when the task ends by itself; zero while its gang is not complete.
	done  time.Time
	how   jobs.Result
	word  string
	stops time.Time
	gang  *gangRun
}

// percent returns how much of its work a task has done.
func (x *runTask) percent(now time.Time) int {
	if x.done.IsZero() || x.fate.Work <= 0 {
		return 0
	}
	return max(100-int(100*x.done.Sub(now)/x.fate.Work), 0)
}

// NewRunners returns workers whose runs go as planned.
func NewRunners(c clock.Clock, b RunBounds, p RunPlan) *Runners {
	return &Runners{
		clock: c, bounds: b, plan: p, byAddr: map[netip.AddrPort]*runWorker{}, noted: map[port.RunRef]bool{}, failed: map[port.RunRef]int{}, gangs: map[port.RunRef]*gangRun{},
		begun: map[string]bool{}, done: map[port.RunRef]bool{}, everFailed: map[port.RunRef]int{},
		isCut: func(string, string) bool { return false },
	}
}

// SetCut replaces the function that tells which host cannot reach which worker.
func (r *Runners) SetCut(f func(host, worker string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = f
}

// Add starts a worker, or a new lifetime of it.
func (r *Runners) Add(w fleet.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born++
	if old := r.byAddr[w.Addr]; old != nil {
		r.advance(old)
		for _, x := range old.ended {
			if x.Result == jobs.FailedRun && x.Number > old.lapsed {
				r.failed[taskOf(x.Ref)]--
			}
		}
		for _, x := range old.tasks {
			if x.gang != nil && x.gang.broken.IsZero() {
				x.gang.broken = r.clock.Now()
			}
		}
	}
	r.byAddr[w.Addr] = &runWorker{
		worker: w, instance: fmt.Sprintf("%s-%d", w.Name, r.born), start: r.clock.Now(),
		tasks: map[port.RunRef]*runTask{}, barred: map[port.RunRef]int{},
	}
}

// SetDrop has the orders to a worker go unanswered and be carried out after the given time; zero answers them again.
func (r *Runners) SetDrop(addr netip.AddrPort, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byAddr[addr].drop = late
}

// SetStill has all tasks of a worker stand still from now on.
func (r *Runners) SetStill(addr netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.byAddr[addr]
	w.isStill = true
	for _, x := range w.tasks {
		x.done = time.Time{}
	}
}

// SetAttempts changes how many runs of a task may fail; zero means any number.
func (r *Runners) SetAttempts(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bounds.Attempts = n
}

// SetFull has a worker refuse starts for want of room, or take them again.
func (r *Runners) SetFull(addr netip.AddrPort, is bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byAddr[addr].isFull = is
}

// SetSlowReports delays the reports of a worker on their way back.
func (r *Runners) SetSlowReports(addr netip.AddrPort, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byAddr[addr].slow = d
}

// Find returns the worker on which a task runs, or an empty name.
func (r *Runners) Find(t port.RunRef) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.byAddr {
		if r.advance(w); w.tasks[taskOf(t)] != nil {
			return w.worker.Name
		}
	}
	return ""
}

// Faults returns the promises that were broken.
func (r *Runners) Faults() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.faults)
}

// Starts returns how many runs were started.
func (r *Runners) Starts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts
}

// View returns the workers as a host reaches them.
func (r *Runners) View(host string) port.Runners {
	return port.Runners{
		Start: func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
			w, err := r.enter(ctx, host, to)
			if err != nil {
				return 0, err
			}
			r.mu.Lock()
			isFull := w.isFull
			r.mu.Unlock()
			if isFull {
				return 0, port.ErrNoRoom
			}
			return r.order(w, func() (time.Duration, error) { return r.startTask(w, s) })
		},
		Stop: func(ctx context.Context, to netip.AddrPort, ref port.RunRef, token int64, worker string) error {
			w, err := r.enter(ctx, host, to)
			if err != nil {
				return err
			}
			_, err = r.order(w, func() (time.Duration, error) { return 0, r.stopTask(w, ref, token, worker) })
			return err
		},
		Renew: func(ctx context.Context, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
			w, err := r.enter(ctx, host, to)
			if err != nil {
				return port.RunReport{}, err
			}
			return r.hold(ctx, host, w, h)
		},
	}
}

// runDelay is the way to a worker and back.
const runDelay = 5 * time.Millisecond

func (r *Runners) enter(ctx context.Context, host string, to netip.AddrPort) (*runWorker, error) {
	if err := r.clock.Sleep(ctx, runDelay); err != nil {
		return nil, err
	}
	r.mu.Lock()
	w := r.byAddr[to]
	cut := w == nil || r.isCut(host, w.worker.Name)
	r.mu.Unlock()
	if !cut {
		return w, nil
	}
	_ = r.clock.Sleep(ctx, silentFor)
	return nil, ErrSilent
}

// order carries out an order now, or later and without an answer.
func (r *Runners) order(w *runWorker, f func() (time.Duration, error)) (time.Duration, error) {
	r.mu.Lock()
	late := w.drop
	if late == 0 {
		defer r.mu.Unlock()
		return f()
	}
	r.mu.Unlock()
	go func() {
		_ = r.clock.Sleep(context.Background(), late)
		r.mu.Lock()
		defer r.mu.Unlock()
		_, _ = f()
	}()
	return 0, ErrSilent
}

func taskOf(r port.RunRef) port.RunRef {
	r.Run = 0
	return r
}

// admit checks lifetime and token, and brings the worker up to date.
func (r *Runners) admit(w *runWorker, token int64, worker string) error {
	if r.byAddr[w.worker.Addr] != w {
		return ErrSilent
	}
	r.advance(w)
	if worker != w.worker.Name {
		return port.ErrWrongWorker
	}
	if token < w.token {
		return port.ErrFenced
	}
	w.token = token
	return nil
}

func (r *Runners) startTask(w *runWorker, s port.RunStart) (time.Duration, error) {
	if err := r.admit(w, s.Token, s.Worker); err != nil {
		return 0, err
	}
	now := r.clock.Now()
	t := taskOf(s.Ref)
	if x := w.tasks[t]; x != nil && x.ref.Run == s.Ref.Run {
		return now.Sub(w.start), nil
	}
	if s.Ref.Run <= w.barred[t] {
		return 0, port.ErrRunEnded
	}
	until := w.start.Add(s.Until)
	if until.Before(now) {
		return 0, port.ErrLeaseExpired
	}
	w.lease = later(w.lease, minTime(until, now.Add(r.bounds.MaxHold)))
	r.checkStart(w, s.Ref)
	w.tasks[t] = r.newTask(w, s, now)
	if w.isStill {
		w.tasks[t].done = time.Time{}
	}
	r.starts++
	r.begun[s.Ref.Job] = true
	return now.Sub(w.start), nil
}

// newTask returns a task that works once its gang is complete.
func (r *Runners) newTask(w *runWorker, s port.RunStart, now time.Time) *runTask {
	x := &runTask{ref: s.Ref, on: w, fate: r.plan(s.Ref, s.Spec), begun: now}
	if x.fate.Gang == 0 {
		x.done, x.how, x.word = now.Add(x.fate.Work), x.fate.Result, "ended"
		return x
	}
	k := s.Ref
	k.Task = 0
	g := r.gangs[k]
	if g == nil {
		g = &gangRun{}
		r.gangs[k] = g
	}
	x.gang = g
	g.tasks = append(g.tasks, x)
	if len(g.tasks) == x.fate.Gang && g.broken.IsZero() {
		g.complete(now)
	}
	return x
}

// checkStart notes the promises that a start breaks.
func (r *Runners) checkStart(w *runWorker, ref port.RunRef) {
	t := taskOf(ref)
	if r.noted[t] {
		r.faults = append(r.faults, fmt.Sprintf("%v started after it was done", ref))
	}
	for _, o := range r.byAddr {
		r.advance(o)
	}
	if n := r.bounds.Attempts; n > 0 && r.failed[t] >= n {
		r.faults = append(r.faults, fmt.Sprintf("%v started after %d failed runs", ref, n))
	}
	for _, o := range r.byAddr {
		if x := o.tasks[t]; x != nil {
			r.faults = append(r.faults, fmt.Sprintf("%v started on %s while run %d is on %s", ref, w.worker.Name, x.ref.Run, o.worker.Name))
		}
	}
	if len(w.tasks) >= w.worker.Accelerators {
		r.faults = append(r.faults, fmt.Sprintf("%v started on %s, which is full", ref, w.worker.Name))
	}
}

func (r *Runners) stopTask(w *runWorker, ref port.RunRef, token int64, worker string) error {
	if err := r.admit(w, token, worker); err != nil {
		return err
	}
	t := taskOf(ref)
	w.barred[t] = max(w.barred[t], ref.Run)
	if x := w.tasks[t]; x != nil && x.ref.Run <= ref.Run && x.stops.IsZero() {
		x.stops = r.clock.Now().Add(r.bounds.StopTimeout / 2)
	}
	return nil
}

func (r *Runners) hold(ctx context.Context, host string, w *runWorker, h port.LeaseRenewal) (port.RunReport, error) {
	until := r.clock.Now().Add(h.Wait)
	for {
		r.mu.Lock()
		if r.isCut(host, w.worker.Name) {
			r.mu.Unlock()
			_ = r.clock.Sleep(ctx, silentFor)
			return port.RunReport{}, ErrSilent
		}
		if err := r.admit(w, h.Token, h.Worker); err != nil {
			r.mu.Unlock()
			return port.RunReport{}, err
		}
		now := r.clock.Now()
		if h.Until > 0 {
			w.lease = later(w.lease, minTime(w.start.Add(h.Until), now.Add(r.bounds.MaxHold)))
		}
		r.forget(w, h.AckedEnd)
		h.AckedEnd = 0
		out := port.RunReport{Instance: w.instance, Clock: now.Sub(w.start), Ended: slices.Clone(w.ended)}
		for _, x := range w.tasks {
			out.Running = append(out.Running, port.RunState{Ref: x.ref, Percent: x.percent(now)})
		}
		slow := w.slow
		r.mu.Unlock()
		if len(out.Ended) > 0 || !now.Before(until) {
			return out, r.clock.Sleep(ctx, slow)
		}
		if err := r.clock.Sleep(ctx, runDelay); err != nil {
			return out, err
		}
	}
}

// forget drops the ends that were acknowledged.
func (r *Runners) forget(w *runWorker, seen int64) {
	for len(w.ended) > 0 && w.ended[0].Number <= seen {
		if w.ended[0].Result == jobs.Done && w.ended[0].Number > w.lapsed {
			r.noted[taskOf(w.ended[0].Ref)] = true
		}
		w.ended = w.ended[1:]
	}
}

// advance ends what has ended by now.
func (r *Runners) advance(w *runWorker) {
	now := r.clock.Now()
	isLapsed := now.After(w.lease)
	for t, x := range w.tasks {
		isDone := !x.done.IsZero() && !now.Before(x.done) && x.isHeldUntilDone()
		switch {
		case isDone && (x.stops.IsZero() || x.done.Before(x.stops)):
			r.end(w, t, x, x.how, x.word)
		case !x.stops.IsZero() && !now.Before(x.stops):
			r.end(w, t, x, jobs.Stopped, "stopped")
		case x.gang != nil && !x.gang.broken.IsZero():
			r.end(w, t, x, jobs.Stopped, "broken")
		case x.gang != nil && x.done.IsZero() && now.Sub(x.begun) > r.bounds.GangTimeout:
			r.end(w, t, x, jobs.Stopped, "alone")
		case isLapsed:
			r.end(w, t, x, jobs.Lost, "lapsed")
		}
	}
	if isLapsed {
		r.lapse(w)
	}
}

// lapse has the ends that were not acknowledged before the lease lapsed count for nothing.
func (r *Runners) lapse(w *runWorker) {
	for _, x := range w.ended {
		if x.Number > w.lapsed && x.Result == jobs.FailedRun {
			r.failed[taskOf(x.Ref)]--
		}
	}
	w.lapsed = w.numbers
}

func (r *Runners) end(w *runWorker, t port.RunRef, x *runTask, how jobs.Result, word string) {
	w.numbers++
	if x.gang != nil && x.gang.broken.IsZero() && how != jobs.Done {
		x.gang.broken = r.endedAt(w, x, word)
	}
	if how == jobs.FailedRun {
		r.failed[t]++
		k := t
		if x.gang != nil {
			k.Task = jobs.WholeGang
		}
		r.everFailed[k]++
	}
	if how == jobs.Done {
		r.done[t] = true
	}
	w.ended = append(w.ended, port.RunEnd{Number: w.numbers, Ref: x.ref, Result: how, How: word})
	w.barred[t] = max(w.barred[t], x.ref.Run)
	delete(w.tasks, t)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
