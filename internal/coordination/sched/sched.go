package sched

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/coordination/mirror"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/uber-go/tally/v4"
)

// Scheduler schedules the jobs of one failure domain while its host is the owner.
type Scheduler struct {
	domain  string
	clock   clock.Clock
	ring    *events.Ring
	scope   tally.Scope
	workers port.Workers
	gangs   *gang.Gangs
	ledger  *dedup.Ledger
	replica *mirror.Replica

	// lease is how long a worker may run tasks after the last renewal of its lease.
	lease          time.Duration
	onStart        func(j fleet.Job, waited time.Duration)
	listWorkers    func() []fleet.Worker
	currentConfig  func() config.Config
	checkLease     func() error
	usageElsewhere func() map[string]int
	newPlanner     func() *plan.Planner

	mu        sync.Mutex
	ownership *ownership
	addrs     map[string]netip.AddrPort
	// summary is the load that is published to other failure domains.
	summary plan.Summary
	// usage is the number of accelerators that each organisation uses here as of the last pass; nil before the first pass
	// of an ownership.
	usage map[string]int
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithClock replaces the clock of the operating system.
func WithClock(c clock.Clock) Option {
	return func(s *Scheduler) { s.clock = c }
}

// WithRing sets the ring that events are added to.
func WithRing(r *events.Ring) Option {
	return func(s *Scheduler) { s.ring = r }
}

// WithScope sets the scope of the metrics.
func WithScope(t tally.Scope) Option {
	return func(s *Scheduler) { s.scope = t }
}

// WithWorkers sets how workers are reached.
func WithWorkers(w port.Workers) Option {
	return func(s *Scheduler) { s.workers = w }
}

// WithGangs sets the component that starts and stops gangs.
func WithGangs(g *gang.Gangs) Option {
	return func(s *Scheduler) { s.gangs = g }
}

// WithLedger sets the ledger of idempotency keys.
func WithLedger(l *dedup.Ledger) Option {
	return func(s *Scheduler) { s.ledger = l }
}

// WithReplica sets the component that replicates jobs and answers to peers.
func WithReplica(r *mirror.Replica) Option {
	return func(s *Scheduler) { s.replica = r }
}

// WithLease sets the duration of a worker's lease.
func WithLease(d time.Duration) Option {
	return func(s *Scheduler) { s.lease = d }
}

// WithOnStart sets a function that is called at the start of each job with the time that it waited.
func WithOnStart(f func(j fleet.Job, waited time.Duration)) Option {
	return func(s *Scheduler) { s.onStart = f }
}

// WithWorkerList sets the function that lists the workers of the failure domain.
func WithWorkerList(f func() []fleet.Worker) Option {
	return func(s *Scheduler) { s.listWorkers = f }
}

// WithConfig sets the function that returns the configuration in force.
func WithConfig(f func() config.Config) Option {
	return func(s *Scheduler) { s.currentConfig = f }
}

// WithLeaseCheck sets the function that returns an error unless the owner's lease holds.
func WithLeaseCheck(f func() error) Option {
	return func(s *Scheduler) { s.checkLease = f }
}

// WithUsageElsewhere sets the function that returns how many accelerators each organisation uses in other failure domains.
func WithUsageElsewhere(f func() map[string]int) Option {
	return func(s *Scheduler) { s.usageElsewhere = f }
}

// WithPlanner sets the function that creates the planner of an ownership.
func WithPlanner(f func() *plan.Planner) Option {
	return func(s *Scheduler) { s.newPlanner = f }
}

// New returns a scheduler of a failure domain that is not the owner yet.
func New(domain string, opts ...Option) *Scheduler {
	s := &Scheduler{
		domain:         domain,
		clock:          clock.System(),
		scope:          tally.NoopScope,
		lease:          defaultLease,
		onStart:        func(fleet.Job, time.Duration) {},
		checkLease:     func() error { return nil },
		usageElsewhere: func() map[string]int { return nil },
		newPlanner:     func() *plan.Planner { return plan.New(domain) },
		addrs:          map[string]netip.AddrPort{},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// StartTerm starts scheduling in a term; it does not wait for the ownership to be ready.
func (s *Scheduler) StartTerm(ctx context.Context, t fleet.Term) {
	r := newOwnership(ctx, s, t)
	s.mu.Lock()
	old := s.ownership
	s.ownership = r
	s.usage = nil
	s.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	go r.run()
}

// EndTerm stops scheduling in a term; its gangs keep running, and the next owner adopts them.
func (s *Scheduler) EndTerm(t fleet.Term) {
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

// Close stops scheduling and waits for the goroutines of the current ownership to end.
func (s *Scheduler) Close() {
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
func (s *Scheduler) Resolve(worker string) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.addrs[worker]
	return a, ok
}

// Usage returns the number of accelerators that each organisation uses here, or nil before the first pass of an
// ownership.
func (s *Scheduler) Usage() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}

// Summary returns the load as of the last pass.
func (s *Scheduler) Summary() plan.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.summary
}

// Reconfigure applies the configuration in force to the current ownership.
func (s *Scheduler) Reconfigure() {
	if r, err := s.currentOwnership(); err == nil {
		r.post(func() {
			r.planner.Configure(s.currentConfig())
			r.isChanged = true
		})
	}
}

// ReportWorker processes the report of a lease renewal, and stops reported tasks that belong to no attempt.
func (s *Scheduler) ReportWorker(p fleet.Report) {
	r, err := s.currentOwnership()
	if err != nil {
		return
	}
	r.post(func() {
		// A worker does not know that the platform lists it as leaving.
		w := p.Worker
		w.Leaving = w.Leaving || r.plannedWorkers[w.Name].Leaving
		r.putWorker(w)
		r.recordMemoryUse(p)
		if r.isReady() {
			r.tasks.Go(func() { r.stopOrphans(p) })
		}
	})
}

// RemoveWorker removes a worker that no longer answers, and ends its gangs.
func (s *Scheduler) RemoveWorker(name string) {
	s.gangs.Lost(name)
	if r, err := s.currentOwnership(); err == nil {
		r.post(func() { r.dropWorker(name) })
	}
}

// currentOwnership returns the current ownership, or ErrNotOwner unless the owner's lease holds.
func (s *Scheduler) currentOwnership() (*ownership, error) {
	if err := s.checkLease(); err != nil {
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
	// minPassInterval limits the rate of passes that no change has triggered.
	minPassInterval = 10 * time.Millisecond
	defaultLease    = time.Minute
)
