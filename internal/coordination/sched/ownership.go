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
	// attemptBits leave room for the attempts of one term below its counter.
	attemptBits = 10
)

// ownership is the scheduling of one term; its planner is touched by one goroutine only.
type ownership struct {
	s      *Sched
	term   fleet.Term
	ctx    context.Context
	cancel context.CancelFunc

	planner *plan.Planner
	inbox   chan func()
	// ready is closed once the books are rebuilt.
	ready chan struct{}
	done  chan struct{}
	tasks sync.WaitGroup

	// isChanged is set when the books were touched since the last pass, and nextPass is when the next one is due anyway.
	isChanged bool
	nextPass  time.Time

	// attempts holds the running attempts by job.
	attempts map[string]*attempt

	// asking names workers that are asked until they answer; the scheduling goroutine touches it.
	asking map[string]bool
	// booked holds the workers as the planner knows them.
	booked map[string]fleet.Worker
	// refreshed is when the list of workers was last read.
	refreshed time.Time

	// mu guards the fields below, which many goroutines share.
	mu      sync.Mutex
	open    []fleet.Report
	waiters map[string]*waiter
}

func newOwnership(ctx context.Context, s *Sched, t fleet.Term) *ownership {
	c, cancel := context.WithCancel(ctx)
	return &ownership{
		s:        s,
		term:     t,
		ctx:      c,
		cancel:   cancel,
		planner:  s.newPlanner(),
		inbox:    make(chan func(), inboxSize),
		ready:    make(chan struct{}),
		done:     make(chan struct{}),
		attempts: map[string]*attempt{},
		asking:   map[string]bool{},
		booked:   map[string]fleet.Worker{},
		waiters:  map[string]*waiter{},
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

// step applies what has arrived, and passes over the books when they changed or time went by.
func (r *ownership) step() {
	select {
	case f := <-r.inbox:
		f()
		r.drain()
	case <-r.s.clock.After(r.nextPass.Sub(r.now())):
	case <-r.ctx.Done():
		return
	}
	// A busy inbox must not keep the list of workers from being read again.
	if r.s.clock.Since(r.refreshed) >= passInterval {
		r.refreshed = r.now()
		r.refreshWorkers()
	}
	isDue := r.isChanged || !r.now().Before(r.nextPass)
	if !isDue || r.s.check() != nil {
		return
	}
	r.isChanged = false
	r.pass()
	r.nextPass = r.now().Add(r.pause())
}

// pause returns how long nothing can be decided unless something changes.
func (r *ownership) pause() time.Duration {
	now := r.now()
	next := r.planner.Next(now)
	if next.IsZero() {
		return passInterval
	}
	return max(min(next.Sub(now), passInterval), leastPause)
}

// drain applies all that waits, so that a wave costs one pass.
func (r *ownership) drain() {
	for range inboxSize {
		select {
		case f := <-r.inbox:
			f()
		default:
			return
		}
	}
}

// post hands f to the scheduling goroutine; it blocks while the inbox is full.
func (r *ownership) post(f func()) {
	select {
	case r.inbox <- f:
	case <-r.ctx.Done():
	}
}

// do runs f on the scheduling goroutine and waits for it.
func (r *ownership) do(ctx context.Context, f func()) error {
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

// await waits until the books are rebuilt.
func (r *ownership) await(ctx context.Context) error {
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

func (r *ownership) pass() {
	now := r.s.clock.Now()
	r.planner.SetUsedElsewhere(r.s.elsewhere())
	w := r.s.scope.Timer("sched_pass").Start()
	d := r.planner.Pass(now)
	w.Stop()
	for _, x := range d.Stops {
		r.reclaim(x)
	}
	for _, x := range d.Refusals {
		r.refuse(x)
	}
	for _, x := range d.Starts {
		r.start(x)
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
		r.s.used = used
	}
}

// refuse ends a job of which no attempt is under way.
func (r *ownership) refuse(x plan.Refusal) {
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
	r.end(job, o)
}

func (r *ownership) note(k events.Kind, j fleet.Job, text string) {
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
