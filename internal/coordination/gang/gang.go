package gang

import (
	"net/netip"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/uber-go/tally/v4"
)

// Bounds limit how long and how often a gang's workers are asked.
type Bounds struct {
	// Calls is the number of commands in flight over all gangs.
	Calls int
	// Call is the time that one command may take.
	Call time.Duration
	// Tries is how often a start or a stop is sent to a worker that does not answer.
	Tries int
	// Pause separates the tries, and the questions to a worker that did not answer one.
	Pause time.Duration
	// Misses is the number of unanswered questions in a row after which a worker counts as lost.
	Misses int
	// MinPoll and MaxPoll bound the time between two questions to a worker of a running gang.
	MinPoll time.Duration
	MaxPoll time.Duration
	// Answer is the greatest size of a whole answer in bytes.
	Answer int64
}

// pollShare is the part of a gang's age after which its workers are asked again.
const pollShare = 16

// DefaultBounds returns the bounds that hold unless WithBounds sets others.
func DefaultBounds() Bounds {
	return Bounds{
		Calls:   64,
		Call:    500 * time.Millisecond,
		Tries:   3,
		Pause:   100 * time.Millisecond,
		Misses:  2,
		MinPoll: 50 * time.Millisecond,
		MaxPoll: 10 * time.Second,
		Answer:  4 << 20,
	}
}

// StopWithin returns the longest time from the failure of a member to the last stop sent to the other reachable members.
func (b Bounds) StopWithin() time.Duration {
	seen := b.MaxPoll + time.Duration(b.Misses)*(b.Call+b.Pause)
	return seen + time.Duration(b.Tries)*(b.Call+b.Pause)
}

// Gangs commands the gangs of one failure domain on behalf of its owner.
type Gangs struct {
	workers port.Workers
	clock   clock.Clock
	check   func() error
	resolve func(worker string) (netip.AddrPort, bool)
	ring    *events.Ring
	bounds  Bounds
	lease   time.Duration
	slots   chan struct{}
	stats   stats
	settled func(fleet.TaskRef) bool
	off     mechanismsOff

	mu       sync.Mutex
	runs     map[runKey]*run
	byWorker map[string]map[runKey]*run
	// open holds attempts that may be whole once silent workers have reported.
	open map[runKey]bool
}

// mechanismsOff turns single mechanisms off, so that tests can show that they are needed.
type mechanismsOff struct {
	barrier bool
	resolve bool
	digest  bool
	stop    bool
	check   bool
}

type stats struct {
	started   tally.Counter
	noStart   tally.Counter
	partly    tally.Counter
	unknown   tally.Counter
	resolved  tally.Counter
	aborted   tally.Counter
	broken    tally.Counter
	inspects  tally.Counter
	renewals  tally.Counter
	wrong     tally.Counter
	swept     tally.Counter
	startTime tally.Timer
}

// Option changes how Gangs work.
type Option func(*Gangs)

// WithWorkers sets the way to the workers.
func WithWorkers(w port.Workers) Option {
	return func(g *Gangs) { g.workers = w }
}

// WithClock sets the clock.
func WithClock(c clock.Clock) Option {
	return func(g *Gangs) { g.clock = c }
}

// WithCheck sets the check of the owner's lease, which is called before every command.
func WithCheck(f func() error) Option {
	return func(g *Gangs) { g.check = f }
}

// WithResolve sets the function that returns the address of a worker.
func WithResolve(f func(worker string) (netip.AddrPort, bool)) Option {
	return func(g *Gangs) { g.resolve = f }
}

// WithRing sets the time line.
func WithRing(r *events.Ring) Option {
	return func(g *Gangs) { g.ring = r }
}

// WithSettled sets the function that reports whether the outcome of a task's job is kept, so that a sweep may forget it.
func WithSettled(f func(fleet.TaskRef) bool) Option {
	return func(g *Gangs) { g.settled = f }
}

// WithLease makes the questions to running gangs renew the leases of their workers, whose replies say only what changed.
func WithLease(d time.Duration) Option {
	return func(g *Gangs) { g.lease = d }
}

// WithScope sets the scope of the counters.
func WithScope(s tally.Scope) Option {
	return func(g *Gangs) { g.stats = newStats(s) }
}

// WithBounds replaces the default bounds.
func WithBounds(b Bounds) Option {
	return func(g *Gangs) { g.bounds = b }
}

// New returns a Gangs that commands nothing yet.
func New(opts ...Option) *Gangs {
	g := &Gangs{
		clock:    clock.System(),
		check:    func() error { return nil },
		resolve:  func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		settled:  func(fleet.TaskRef) bool { return false },
		bounds:   DefaultBounds(),
		stats:    newStats(tally.NoopScope),
		runs:     map[runKey]*run{},
		byWorker: map[string]map[runKey]*run{},
		open:     map[runKey]bool{},
	}
	for _, o := range opts {
		o(g)
	}
	g.slots = make(chan struct{}, g.bounds.Calls)
	return g
}

func newStats(s tally.Scope) stats {
	return stats{
		started:   s.Counter("gang_started"),
		noStart:   s.Counter("gang_no_start"),
		partly:    s.Counter("gang_partly_started"),
		unknown:   s.Counter("gang_unknown"),
		resolved:  s.Counter("gang_start_resolved"),
		aborted:   s.Counter("gang_aborted"),
		broken:    s.Counter("gang_broken"),
		inspects:  s.Counter("gang_inspects"),
		renewals:  s.Counter("gang_renewals"),
		wrong:     s.Counter("gang_answer_wrong"),
		swept:     s.Counter("gang_tasks_swept"),
		startTime: s.Timer("gang_start"),
	}
}

func (g *Gangs) note(k events.Kind, j fleet.Job, worker, text string) {
	if g.ring == nil {
		return
	}
	g.ring.Add(events.Event{
		Kind:         k,
		Job:          j.ID,
		Worker:       worker,
		Organisation: j.Organisation,
		Profile:      j.Profile,
		Text:         text,
	})
}
