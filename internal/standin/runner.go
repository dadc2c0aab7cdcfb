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

// RunLimits holds the limits that the simulated workers apply.
type RunLimits struct {
	// Attempts bounds the failed runs of a task; zero means no limit.
	Attempts    int
	MaxHold     time.Duration
	StopTimeout time.Duration
	GangTimeout time.Duration
	// EndsPerReport bounds the ends that a report lists; zero means no limit.
	EndsPerReport int
}

// RunOutcome is the duration and the result of one run of a task.
type RunOutcome struct {
	Work   time.Duration
	Result jobs.Result
	// Gang is the number of tasks that must have started before any of them works; zero for independent tasks.
	Gang int
	// Lasts is set if the task runs until it is stopped, and again however a run ends.
	Lasts bool
	// Label is the label that the task requires of its worker, if any.
	Label string
}

// RunPlan decides the outcome of each run of a task.
type RunPlan func(r port.RunRef, spec string) RunOutcome

// Runners simulates workers that run tasks under leases, and records every violation of the protocol by the hosts.
type Runners struct {
	clock  clock.Clock
	limits RunLimits
	plan   RunPlan
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*runWorker
	// lifetimes counts the lifetimes of all workers, which makes their instance names unique, and bornAt holds when each began.
	lifetimes int
	bornAt    map[string]time.Time
	// acknowledged holds the tasks that are done and whose end a host acknowledged.
	acknowledged map[port.RunRef]bool
	// failedRuns counts the failed runs of each task whose end was acknowledged or still can be.
	failedRuns map[port.RunRef]int
	violations []string
	starts     int
	// startedJobs holds the jobs of which any task was started, and doneTasks the tasks that were done in any run.
	startedJobs map[string]bool
	doneTasks   map[port.RunRef]bool
	// lostTasks holds the tasks that were done on a worker that ended before a host acknowledged it.
	lostTasks map[port.RunRef]bool
	// allFailedRuns counts all failed runs of each task, and of each gang under the task index jobs.WholeGang.
	allFailedRuns map[port.RunRef]int
	gangs         map[port.RunRef]*gangRun
	// adjust changes the outcome of a run by the worker that it runs on; nil changes nothing.
	adjust func(worker string, o RunOutcome) RunOutcome
	// isCut reports whether the link between a host and a worker is cut.
	isCut func(host, worker string) bool
	// unanswered holds the orders to each address that have not been answered.
	unanswered map[netip.AddrPort][]*order
}

type runWorker struct {
	worker     fleet.Worker
	instance   string
	startedAt  time.Time
	token      int64
	leaseEnd   time.Time
	tasks      map[port.RunRef]*runTask
	ended      []port.RunEnd
	lastNumber int64
	// closedRun is the latest run of each task that ended or was stopped; starts of it and of earlier runs are refused.
	closedRun map[port.RunRef]int
	// lapsedNumber is the last end before the lease lapsed; acknowledging it or an earlier one has no effect.
	lapsedNumber int64
	// isFull makes the worker refuse starts with port.ErrNoRoom, whatever runs there.
	isFull bool
	// isStalled keeps all tasks from making progress.
	isStalled bool
	// reportDelay delays the answers to Hold.
	reportDelay time.Duration
	// commandDelay, if not zero, makes starts and stops go unanswered and take effect after the delay.
	commandDelay time.Duration
}

type runTask struct {
	ref       port.RunRef
	worker    *runWorker
	outcome   RunOutcome
	startedAt time.Time
	// doneAt is when the task ends by itself; zero while its gang is incomplete or the worker is stalled.
	doneAt time.Time
	result jobs.Result
	reason string
	stopAt time.Time
	gang   *gangRun
}

// percent returns the progress of a task.
func (x *runTask) percent(now time.Time) int {
	if x.doneAt.IsZero() || x.outcome.Work <= 0 {
		return 0
	}
	return max(100-int(100*x.doneAt.Sub(now)/x.outcome.Work), 0)
}

// NewRunners returns a stand-in without workers; p decides the outcome of each run.
func NewRunners(c clock.Clock, b RunLimits, p RunPlan) *Runners {
	return &Runners{
		clock: c, limits: b, plan: p, byAddr: map[netip.AddrPort]*runWorker{}, bornAt: map[string]time.Time{}, acknowledged: map[port.RunRef]bool{}, failedRuns: map[port.RunRef]int{}, gangs: map[port.RunRef]*gangRun{},
		startedJobs: map[string]bool{}, doneTasks: map[port.RunRef]bool{}, lostTasks: map[port.RunRef]bool{}, allFailedRuns: map[port.RunRef]int{},
		isCut: func(string, string) bool { return false }, unanswered: map[netip.AddrPort][]*order{},
	}
}

// SetCut sets the function that reports whether the link between a host and a worker is cut.
func (r *Runners) SetCut(f func(host, worker string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = f
}

// Add starts a worker, or restarts it as a new instance without its tasks.
func (r *Runners) Add(w fleet.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lifetimes++
	r.crash(w.Addr)
	instance := fmt.Sprintf("%s-%d", w.Name, r.lifetimes)
	r.bornAt[instance] = r.clock.Now()
	r.byAddr[w.Addr] = &runWorker{
		worker: w, instance: instance, startedAt: r.bornAt[instance],
		tasks: map[port.RunRef]*runTask{}, closedRun: map[port.RunRef]int{},
	}
}

// Remove ends a worker with its tasks; calls to it go unanswered from now on.
func (r *Runners) Remove(addr netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash(addr)
	delete(r.byAddr, addr)
}

// crash ends the tasks of the worker at an address, if there is one, and drops its reports.
func (r *Runners) crash(addr netip.AddrPort) {
	old := r.byAddr[addr]
	if old == nil {
		return
	}
	r.advance(old)
	for _, x := range old.ended {
		if x.Result == jobs.FailedRun && x.Number > old.lapsedNumber {
			r.failedRuns[taskOf(x.Ref)]--
		}
		if x.Result == jobs.Done {
			r.lostTasks[taskOf(x.Ref)] = true
		}
	}
	for _, x := range old.tasks {
		if x.gang != nil && x.gang.brokenAt.IsZero() {
			x.gang.brokenAt = r.clock.Now()
		}
	}
}

// Faults returns the protocol violations recorded so far.
func (r *Runners) Faults() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// Starts returns the number of runs started so far.
func (r *Runners) Starts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts
}

// View returns the port through which one host reaches the workers.
func (r *Runners) View(host string) port.Runners {
	return port.Runners{
		Start: func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
			return r.callStart(ctx, host, to, s)
		},
		Stop: func(ctx context.Context, to netip.AddrPort, ref port.RunRef, token int64, worker string) error {
			w, err := r.beginCall(ctx, host, to)
			if err != nil {
				return err
			}
			_, err = r.execute(w, func() (time.Duration, error) { return 0, r.stopTask(w, ref, token, worker) })
			return err
		},
		Renew: func(ctx context.Context, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
			return r.callRenew(ctx, host, to, h)
		},
		BornAt: r.getBirth,
	}
}

// getBirth returns when a lifetime began, or zero if there was none of that name.
func (r *Runners) getBirth(instance string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bornAt[instance]
}

// roundTripTime is the network delay of a call to a worker, and the interval at which Hold checks for ends.
const roundTripTime = 5 * time.Millisecond

// beginCall waits for the network delay and returns the worker at an address, or an error if the host cannot reach it.
func (r *Runners) beginCall(ctx context.Context, host string, to netip.AddrPort) (*runWorker, error) {
	if err := r.clock.Sleep(ctx, roundTripTime); err != nil {
		return nil, err
	}
	r.mu.Lock()
	w := r.byAddr[to]
	isCut := w == nil || r.isCut(host, w.worker.Name)
	r.mu.Unlock()
	if !isCut {
		return w, nil
	}
	_ = r.clock.Sleep(ctx, hangDuration)
	return nil, ErrNoAnswer
}

// execute applies a command at once, or after the worker's command delay and without an answer.
func (r *Runners) execute(w *runWorker, f func() (time.Duration, error)) (time.Duration, error) {
	r.mu.Lock()
	delay := w.commandDelay
	if delay == 0 {
		defer r.mu.Unlock()
		return f()
	}
	r.mu.Unlock()
	go func() {
		_ = r.clock.Sleep(context.Background(), delay)
		r.mu.Lock()
		defer r.mu.Unlock()
		_, _ = f()
	}()
	return 0, ErrNoAnswer
}

// taskOf returns the reference of the task without its run.
func taskOf(r port.RunRef) port.RunRef {
	r.Run = 0
	return r
}

// admit brings the worker up to date, checks instance and name, and applies the fencing token.
func (r *Runners) admit(w *runWorker, token int64, worker string) error {
	if r.byAddr[w.worker.Addr] != w {
		return ErrNoAnswer
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
	// The deadline is taken from refused starts as well.
	r.extendLease(w, s.Until, now)
	if x := w.tasks[t]; x != nil && x.ref.Run == s.Ref.Run {
		return now.Sub(w.startedAt), nil
	}
	if s.Ref.Run <= w.closedRun[t] {
		return 0, port.ErrRunEnded
	}
	if w.startedAt.Add(s.Until).Before(now) {
		return 0, port.ErrLeaseExpired
	}
	if w.isFull {
		return 0, port.ErrNoRoom
	}
	r.checkStart(w, s.Ref)
	w.tasks[t] = r.newTask(w, s, now)
	r.checkLabel(w.tasks[t])
	if w.isStalled {
		w.tasks[t].doneAt = time.Time{}
	}
	r.starts++
	r.startedJobs[s.Ref.Job] = true
	return now.Sub(w.startedAt), nil
}

// extendLease extends the lease of a worker to a time on its clock, at most to its longest.
func (r *Runners) extendLease(w *runWorker, until time.Duration, now time.Time) {
	w.leaseEnd = laterTime(w.leaseEnd, earlierTime(w.startedAt.Add(until), now.Add(r.limits.MaxHold)))
}

// newTask returns a started task; a task of a gang makes progress only once all tasks of the gang have started.
func (r *Runners) newTask(w *runWorker, s port.RunStart, now time.Time) *runTask {
	x := &runTask{ref: s.Ref, worker: w, outcome: r.plan(s.Ref, s.Spec), startedAt: now}
	if r.adjust != nil {
		x.outcome = r.adjust(w.worker.Name, x.outcome)
	}
	if x.outcome.Gang == 0 {
		x.doneAt, x.result, x.reason = now.Add(x.outcome.Work), x.outcome.Result, "ended"
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
	if len(g.tasks) == x.outcome.Gang && g.brokenAt.IsZero() {
		g.startWork(now)
	}
	return x
}

// checkStart records the protocol violations of a start.
func (r *Runners) checkStart(w *runWorker, ref port.RunRef) {
	t := taskOf(ref)
	if r.acknowledged[t] {
		r.violations = append(r.violations, fmt.Sprintf("%v started after it was done", ref))
	}
	for _, o := range r.byAddr {
		r.advance(o)
	}
	if n := r.limits.Attempts; n > 0 && r.failedRuns[t] >= n {
		r.violations = append(r.violations, fmt.Sprintf("%v started after %d failed runs", ref, n))
	}
	for _, o := range r.byAddr {
		if x := o.tasks[t]; x != nil {
			r.violations = append(r.violations, fmt.Sprintf("%v started on %s while run %d is on %s", ref, w.worker.Name, x.ref.Run, o.worker.Name))
		}
	}
	if len(w.tasks) >= w.worker.Accelerators {
		r.violations = append(r.violations, fmt.Sprintf("%v started on %s, which is full", ref, w.worker.Name))
	}
}

func (r *Runners) stopTask(w *runWorker, ref port.RunRef, token int64, worker string) error {
	if err := r.admit(w, token, worker); err != nil {
		return err
	}
	t := taskOf(ref)
	w.closedRun[t] = max(w.closedRun[t], ref.Run)
	if x := w.tasks[t]; x != nil && x.ref.Run <= ref.Run && x.stopAt.IsZero() {
		x.stopAt = r.clock.Now().Add(r.limits.StopTimeout / 2)
	}
	return nil
}

func (r *Runners) hold(ctx context.Context, host string, w *runWorker, h port.LeaseRenewal) (port.RunReport, error) {
	until := r.clock.Now().Add(h.Wait)
	for {
		r.mu.Lock()
		if r.isCut(host, w.worker.Name) {
			r.mu.Unlock()
			_ = r.clock.Sleep(ctx, hangDuration)
			return port.RunReport{}, ErrNoAnswer
		}
		if err := r.admit(w, h.Token, h.Worker); err != nil {
			r.mu.Unlock()
			return port.RunReport{}, err
		}
		now := r.clock.Now()
		r.renewLease(w, h)
		h.AckedEnd, h.Until = 0, 0
		out := port.RunReport{Instance: w.instance, Clock: now.Sub(w.startedAt), Ended: slices.Clone(w.ended)}
		if n := r.limits.EndsPerReport; n > 0 && len(out.Ended) >= n {
			out.Ended, out.IsCut = out.Ended[:n], true
		}
		for _, x := range w.tasks {
			out.Running = append(out.Running, port.RunState{Ref: x.ref, Percent: x.percent(now)})
		}
		reportDelay := w.reportDelay
		r.mu.Unlock()
		if len(out.Ended) > 0 || !now.Before(until) {
			return out, r.clock.Sleep(ctx, reportDelay)
		}
		if err := r.clock.Sleep(ctx, roundTripTime); err != nil {
			return out, err
		}
	}
}

// acknowledge drops the ends up to the number seen.
func (r *Runners) acknowledge(w *runWorker, seen int64) {
	for len(w.ended) > 0 && w.ended[0].Number <= seen {
		t := taskOf(w.ended[0].Ref)
		if w.ended[0].Result == jobs.Done && w.ended[0].Number > w.lapsedNumber && r.doneTasks[t] {
			r.acknowledged[t] = true
		}
		w.ended = w.ended[1:]
	}
}

// advance ends the tasks of a worker that have ended by now.
func (r *Runners) advance(w *runWorker) {
	now := r.clock.Now()
	isLapsed := now.After(w.leaseEnd)
	for t, x := range w.tasks {
		isDone := !x.doneAt.IsZero() && !now.Before(x.doneAt) && x.isLeasedUntilDone()
		switch {
		case isDone && (x.stopAt.IsZero() || x.doneAt.Before(x.stopAt)):
			r.endRun(w, t, x, x.result, x.reason)
		case !x.stopAt.IsZero() && !now.Before(x.stopAt):
			r.endRun(w, t, x, jobs.Stopped, "stopped")
		case x.gang != nil && !x.gang.brokenAt.IsZero():
			r.endRun(w, t, x, jobs.Stopped, "broken")
		case x.gang != nil && len(x.gang.tasks) < x.outcome.Gang && now.Sub(x.startedAt) > r.limits.GangTimeout:
			r.endRun(w, t, x, jobs.Stopped, "alone")
		case isLapsed:
			r.endRun(w, t, x, jobs.Lost, "lapsed")
		}
	}
	if isLapsed {
		r.lapseLease(w)
	}
}

// lapseLease discounts the ends that were not acknowledged before the lease lapsed.
func (r *Runners) lapseLease(w *runWorker) {
	for _, x := range w.ended {
		if x.Number > w.lapsedNumber && x.Result == jobs.FailedRun {
			r.failedRuns[taskOf(x.Ref)]--
		}
	}
	w.lapsedNumber = w.lastNumber
}

func (r *Runners) endRun(w *runWorker, t port.RunRef, x *runTask, result jobs.Result, reason string) {
	w.lastNumber++
	if x.gang != nil && x.gang.brokenAt.IsZero() && result != jobs.Done {
		x.gang.brokenAt = r.endedAt(w, x, reason)
	}
	if result == jobs.FailedRun && !x.outcome.Lasts {
		r.failedRuns[t]++
		k := t
		if x.gang != nil {
			k.Task = jobs.WholeGang
		}
		r.allFailedRuns[k]++
	}
	if result == jobs.Done && !x.outcome.Lasts {
		r.doneTasks[t] = true
		delete(r.lostTasks, t)
	}
	w.ended = append(w.ended, port.RunEnd{Number: w.lastNumber, Ref: x.ref, Result: result, How: reason})
	w.closedRun[t] = max(w.closedRun[t], x.ref.Run)
	delete(w.tasks, t)
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
