package sched

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/coordination/keep"
	"github.com/auburncleat/auburncleat/internal/coordination/once"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/uber-go/tally/v4"
)

// Sched schedules one failure domain while its host owns it.
type Sched struct {
	domain  string
	clock   clock.Clock
	ring    *events.Ring
	scope   tally.Scope
	workers port.Workers
	gangs   *gang.Gangs
	book    *once.Ledger
	keeper  *keep.Replica

	// lease is how long a worker may run tasks after the last renewal.
	lease      time.Duration
	onWait     func(j fleet.Job, waited time.Duration)
	fleet      func() []fleet.Worker
	config     func() config.Config
	check      func() error
	elsewhere  func() map[string]int
	newPlanner func() *plan.Planner

	mu        sync.Mutex
	ownership *ownership
	addrs     map[string]netip.AddrPort
	// summary is what other failure domains hear of the load.
	summary plan.Summary
	// used is what each organisation uses here, by the last pass; nil before the first of an ownership.
	used map[string]int
}

// Option sets one property of a Sched.
type Option func(*Sched)

// WithClock replaces the clock of the operating system.
func WithClock(c clock.Clock) Option {
	return func(s *Sched) { s.clock = c }
}

// WithRing sets the time line.
func WithRing(r *events.Ring) Option {
	return func(s *Sched) { s.ring = r }
}

// WithScope sets the scope of the metrics.
func WithScope(t tally.Scope) Option {
	return func(s *Sched) { s.scope = t }
}

// WithWorkers sets how workers are reached.
func WithWorkers(w port.Workers) Option {
	return func(s *Sched) { s.workers = w }
}

// WithGangs sets what starts and stops gangs.
func WithGangs(g *gang.Gangs) Option {
	return func(s *Sched) { s.gangs = g }
}

// WithBook sets the book of idempotency keys.
func WithBook(b *once.Ledger) Option {
	return func(s *Sched) { s.book = b }
}

// WithKeeper sets what keeps jobs and answers at peers.
func WithKeeper(k *keep.Replica) Option {
	return func(s *Sched) { s.keeper = k }
}

// WithLease sets how long a worker's lease lasts.
func WithLease(d time.Duration) Option {
	return func(s *Sched) { s.lease = d }
}

// WithWait sets a function that hears how long each job waited before its start.
func WithWait(f func(j fleet.Job, waited time.Duration)) Option {
	return func(s *Sched) { s.onWait = f }
}

// WithFleet sets the source of the failure domain's workers.
func WithFleet(f func() []fleet.Worker) Option {
	return func(s *Sched) { s.fleet = f }
}

// WithConfig sets the source of the configuration in force.
func WithConfig(f func() config.Config) Option {
	return func(s *Sched) { s.config = f }
}

// WithCheck sets the check of the owner's lease.
func WithCheck(f func() error) Option {
	return func(s *Sched) { s.check = f }
}

// WithElsewhere sets the accelerators that each organisation uses in the other failure domains.
func WithElsewhere(f func() map[string]int) Option {
	return func(s *Sched) { s.elsewhere = f }
}

// WithPlanner replaces how a planner is made.
func WithPlanner(f func() *plan.Planner) Option {
	return func(s *Sched) { s.newPlanner = f }
}

// New returns a scheduler of a failure domain that owns nothing yet.
func New(domain string, opts ...Option) *Sched {
	s := &Sched{
		domain:     domain,
		clock:      clock.System(),
		scope:      tally.NoopScope,
		lease:      defaultLease,
		onWait:     func(fleet.Job, time.Duration) {},
		check:      func() error { return nil },
		elsewhere:  func() map[string]int { return nil },
		newPlanner: func() *plan.Planner { return plan.New(domain) },
		addrs:      map[string]netip.AddrPort{},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Gain starts to schedule in a term; it returns at once.
func (s *Sched) Gain(ctx context.Context, t fleet.Term) {
	r := newOwnership(ctx, s, t)
	s.mu.Lock()
	old := s.ownership
	s.ownership = r
	s.used = nil
	s.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	go r.run()
}

// Lose stops to schedule; gangs keep running for the next owner to adopt.
func (s *Sched) Lose(t fleet.Term) {
	s.mu.Lock()
	r := s.ownership
	if r != nil && r.term == t {
		s.ownership = nil
	}
	s.mu.Unlock()
	if r != nil && r.term == t {
		r.cancel()
	}
}

// Close stops scheduling and waits for the goroutines of the current ownership.
func (s *Sched) Close() {
	s.mu.Lock()
	r := s.ownership
	s.ownership = nil
	s.mu.Unlock()
	if r == nil {
		return
	}
	r.cancel()
	<-r.done
}

// Resolve returns the address of a worker.
func (s *Sched) Resolve(worker string) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.addrs[worker]
	return a, ok
}

// Usage returns the accelerators that each organisation uses here, or nil before the first pass of an ownership.
func (s *Sched) Usage() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// Summary returns the load that the last pass saw.
func (s *Sched) Summary() plan.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.summary
}

// Reconfigure takes a new configuration into force for the running ownership.
func (s *Sched) Reconfigure() {
	if r, err := s.current(); err == nil {
		r.post(func() {
			r.planner.Configure(s.config())
			r.isChanged = true
		})
	}
}

// ReportWorker takes the report of a lease renewal, and stops tasks in it that belong to no attempt.
func (s *Sched) ReportWorker(p fleet.Report) {
	r, err := s.current()
	if err != nil {
		return
	}
	r.post(func() {
		// The worker does not know what the platform's list says of it.
		w := p.Worker
		w.Leaving = w.Leaving || r.booked[w.Name].Leaving
		r.putWorker(w)
		r.measure(p)
		if r.isReady() {
			r.tasks.Go(func() { r.sweep(p) })
		}
	})
}

// LoseWorker takes a worker that no longer answers out of the books, and ends its gangs.
func (s *Sched) LoseWorker(name string) {
	s.gangs.Lost(name)
	if r, err := s.current(); err == nil {
		r.post(func() { r.dropWorker(name) })
	}
}

// current returns the ownership that may act now.
func (s *Sched) current() (*ownership, error) {
	if err := s.check(); err != nil {
		return nil, ErrNotOwner
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownership == nil {
		return nil, ErrNotOwner
	}
	return s.ownership, nil
}

const (
	passInterval = time.Second
	// leastPause bounds the passes that are made without a change.
	leastPause   = 10 * time.Millisecond
	defaultLease = time.Minute
)
