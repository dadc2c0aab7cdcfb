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

// Bounds holds the timeouts, retries, polling intervals and size limits of Gangs.
type Bounds struct {
	// MaxConcurrentCalls is the maximum number of concurrent commands over all gangs.
	MaxConcurrentCalls int
	// CallTimeout is the timeout of one command.
	CallTimeout time.Duration
	// MaxTries is the maximum number of times that a command is sent to a worker that does not respond.
	MaxTries int
	// RetryDelay is the delay between tries, and between polls of a worker that did not answer its last poll.
	RetryDelay time.Duration
	// MaxMissedPolls is the number of consecutive failed polls after which a worker is considered lost.
	MaxMissedPolls int
	// MinPollInterval and MaxPollInterval limit the interval at which the workers of a running gang are polled.
	MinPollInterval time.Duration
	MaxPollInterval time.Duration
	// Answer is the maximum size of a job's complete answer in bytes.
	Answer int64
}

// pollAgeDivisor determines the polling interval of a gang: its age divided by this value, within MinPollInterval and
// MaxPollInterval.
const pollAgeDivisor = 16

// DefaultBounds returns the bounds that apply unless WithBounds is given.
func DefaultBounds() Bounds {
	return Bounds{
		MaxConcurrentCalls: 64,
		CallTimeout:        500 * time.Millisecond,
		MaxTries:           3,
		RetryDelay:         100 * time.Millisecond,
		MaxMissedPolls:     2,
		MinPollInterval:    50 * time.Millisecond,
		MaxPollInterval:    10 * time.Second,
		Answer:             4 << 20,
	}
}

// MaxStopDelay returns the maximum time from the failure of a member to the last stop command sent to the other
// reachable members.
func (b Bounds) MaxStopDelay() time.Duration {
	detected := b.MaxPollInterval + time.Duration(b.MaxMissedPolls)*(b.CallTimeout+b.RetryDelay)
	return detected + time.Duration(b.MaxTries)*(b.CallTimeout+b.RetryDelay)
}

// Gangs manages the gangs of one failure domain on behalf of its owner.
type Gangs struct {
	workers         port.Workers
	clock           clock.Clock
	check           func() error
	resolve         func(worker string) (netip.AddrPort, bool)
	ring            *events.Ring
	bounds          Bounds
	lease           time.Duration
	callSlots       chan struct{}
	stats           stats
	isOutcomeStored func(fleet.TaskRef) bool
	disabled        disabledMechanisms

	mu       sync.Mutex
	runs     map[runKey]*run
	byWorker map[string]map[runKey]*run
	// open holds incomplete attempts whose missing tasks may be on workers that have not reported yet.
	open map[runKey]bool
}

// disabledMechanisms disables single safety mechanisms. Only tests set it, to show that a test fails when the mechanism
// is disabled.
type disabledMechanisms struct {
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
	corrupt   tally.Counter
	swept     tally.Counter
	startTime tally.Timer
}

// Option configures Gangs.
type Option func(*Gangs)

// WithWorkers sets the functions that call workers.
func WithWorkers(w port.Workers) Option {
	return func(g *Gangs) { g.workers = w }
}

// WithClock sets the clock; the default is the system clock.
func WithClock(c clock.Clock) Option {
	return func(g *Gangs) { g.clock = c }
}

// WithCheck sets the function that verifies the owner's lease; it is called before each command.
func WithCheck(f func() error) Option {
	return func(g *Gangs) { g.check = f }
}

// WithResolve sets the function that looks up the address of a worker.
func WithResolve(f func(worker string) (netip.AddrPort, bool)) Option {
	return func(g *Gangs) { g.resolve = f }
}

// WithRing sets the event ring that state changes are recorded in.
func WithRing(r *events.Ring) Option {
	return func(g *Gangs) { g.ring = r }
}

// WithOutcomeStored sets the function that reports whether the outcome of a task's job is stored. Sweep deletes a
// started task only if it is.
func WithOutcomeStored(f func(fleet.TaskRef) bool) Option {
	return func(g *Gangs) { g.isOutcomeStored = f }
}

// WithLease makes polls of running gangs renew the leases of their workers for the given duration. The reply to a
// renewal holds only changes, which is cheaper than a full inspection.
func WithLease(d time.Duration) Option {
	return func(g *Gangs) { g.lease = d }
}

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option {
	return func(g *Gangs) { g.stats = newStats(s) }
}

// WithBounds replaces the default bounds.
func WithBounds(b Bounds) Option {
	return func(g *Gangs) { g.bounds = b }
}

// New returns a Gangs without any attempts.
func New(opts ...Option) *Gangs {
	g := &Gangs{
		clock:           clock.System(),
		check:           func() error { return nil },
		resolve:         func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		isOutcomeStored: func(fleet.TaskRef) bool { return false },
		bounds:          DefaultBounds(),
		stats:           newStats(tally.NoopScope),
		runs:            map[runKey]*run{},
		byWorker:        map[string]map[runKey]*run{},
		open:            map[runKey]bool{},
	}
	for _, o := range opts {
		o(g)
	}
	g.callSlots = make(chan struct{}, g.bounds.MaxConcurrentCalls)
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
		corrupt:   s.Counter("gang_answer_wrong"),
		swept:     s.Counter("gang_tasks_swept"),
		startTime: s.Timer("gang_start"),
	}
}

func (g *Gangs) addEvent(k events.Kind, j fleet.Job, worker, text string) {
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
