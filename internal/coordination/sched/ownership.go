package sched

import (
	"context"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

const (
	inboxSize = 4096
	// attemptBits is the number of low bits of an attempt number that count the attempts within a term; the bits above
	// hold the term's counter.
	attemptBits = 10
)

// ownership schedules during one term; only the scheduling goroutine uses its planner.
type ownership struct {
	s      *Scheduler
	term   fleet.Term
	ctx    context.Context
	cancel context.CancelFunc

	planner *plan.Planner
	inbox   chan func()
	// ready is closed once the state is rebuilt.
	ready chan struct{}
	done  chan struct{}
	tasks sync.WaitGroup

	// isChanged is set when the planner's state has changed since the last pass; nextPass is when the next pass is due
	// without a change.
	isChanged bool
	nextPass  time.Time

	// attempts holds the current attempts by job ID.
	attempts map[string]*attempt

	// pendingInspection holds the workers that have not answered an inspection yet and are inspected repeatedly; only
	// the scheduling goroutine uses it.
	pendingInspection map[string]bool
	// plannedWorkers holds the workers as last passed to the planner.
	plannedWorkers map[string]fleet.Worker
	// lastRefresh is when the list of workers was last read.
	lastRefresh time.Time

	// mu guards the fields below, which several goroutines share.
	mu          sync.Mutex
	openReports []fleet.Report
	waiters     map[string]*waiter
}

func newOwnership(ctx context.Context, s *Scheduler, t fleet.Term) *ownership {
	c, cancel := context.WithCancel(ctx)
	return &ownership{
		s:                 s,
		term:              t,
		ctx:               c,
		cancel:            cancel,
		planner:           s.newPlanner(),
		inbox:             make(chan func(), inboxSize),
		ready:             make(chan struct{}),
		done:              make(chan struct{}),
		attempts:          map[string]*attempt{},
		pendingInspection: map[string]bool{},
		plannedWorkers:    map[string]fleet.Worker{},
		waiters:           map[string]*waiter{},
	}
}

func (r *ownership) run() {
	defer close(r.done)
	r.rebuild()
	for r.ctx.Err() == nil {
		r.step()
	}
	r.tasks.Wait()
}

// step runs the functions in the inbox, and runs a pass when the state has changed or the next pass is due.
func (r *ownership) step() {
	select {
	case f := <-r.inbox:
		f()
		r.drainInbox()
	case <-r.s.clock.After(r.nextPass.Sub(r.now())):
	case <-r.ctx.Done():
		return
	}
	// A busy inbox must not delay the refresh of the worker list.
	if r.s.clock.Since(r.lastRefresh) >= passInterval {
		r.lastRefresh = r.now()
		r.refreshWorkers()
	}
	isDue := r.isChanged || !r.now().Before(r.nextPass)
	if !isDue || r.s.checkLease() != nil {
		return
	}
	r.isChanged = false
	r.runPass()
	r.nextPass = r.now().Add(r.passDelay())
}

// passDelay returns how long the next pass can wait unless something changes.
func (r *ownership) passDelay() time.Duration {
	now := r.now()
	next := r.planner.Next(now)
	if next.IsZero() {
		return passInterval
	}
	return max(min(next.Sub(now), passInterval), minPassInterval)
}

// drainInbox runs the functions that are waiting in the inbox, so that a burst needs only one pass.
func (r *ownership) drainInbox() {
	for range inboxSize {
		select {
		case f := <-r.inbox:
			f()
		default:
			return
		}
	}
}

// post queues f for the scheduling goroutine; it blocks while the inbox is full.
func (r *ownership) post(f func()) {
	select {
	case r.inbox <- f:
	case <-r.ctx.Done():
	}
}

// runInLoop runs f on the scheduling goroutine and waits for it.
func (r *ownership) runInLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	g := func() {
		f()
		close(done)
	}
	select {
	case r.inbox <- g:
	case <-r.ctx.Done():
		return ErrNotOwner
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-r.ctx.Done():
		return ErrNotOwner
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitReady waits until the state is rebuilt.
func (r *ownership) awaitReady(ctx context.Context) error {
	select {
	case <-r.ready:
		return nil
	case <-r.ctx.Done():
		return ErrNotOwner
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *ownership) isReady() bool {
	select {
	case <-r.ready:
		return true
	default:
		return false
	}
}

func (r *ownership) runPass() {
	now := r.s.clock.Now()
	r.planner.SetUsedElsewhere(r.s.usageElsewhere())
	w := r.s.scope.Timer("sched_pass").Start()
	d := r.planner.Pass(now)
	w.Stop()
	for _, x := range d.Stops {
		r.preempt(x)
	}
	for _, x := range d.Refusals {
		r.refuseJob(x)
	}
	for _, x := range d.Starts {
		r.startAttempt(x)
	}
	for _, x := range d.Throttles {
		r.throttle(x)
	}
	sum := r.planner.Summary(now)
	used := r.planner.UsedAccelerators()
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.summary = sum
	if r.s.ownership == r {
		r.s.usage = used
	}
}

// refuseJob ends a job that the planner refused and that has no current attempt.
func (r *ownership) refuseJob(x plan.Refusal) {
	j, err := r.planner.Status(x.Job)
	job := fleet.Job{ID: x.Job}
	if err == nil {
		job = j.Job
		r.planner.Ended(plan.Ended{Job: x.Job, Result: plan.ResultNoStart, At: r.s.clock.Now()})
		r.isChanged = true
	}
	o := Outcome{Kind: fleet.Refused, Reason: x.Reason, RetryAfter: x.RetryAfter}
	if x.Ran {
		o.Kind = fleet.Unknown
	}
	r.endJob(job, o)
}

func (r *ownership) addEvent(k events.Kind, j fleet.Job, text string) {
	if r.s.ring == nil {
		return
	}
	r.s.ring.Add(events.Event{
		Kind:         k,
		Job:          j.ID,
		Organisation: j.Organisation,
		Profile:      j.Profile,
		Text:         text,
	})
}

func (r *ownership) now() time.Time {
	return r.s.clock.Now()
}
