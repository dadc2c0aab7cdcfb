package dedup

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/uber-go/tally/v4"
)

// Bounds are the time and size limits of a Ledger.
type Bounds struct {
	// Lifetime is how long a key is held after its work has ended.
	Lifetime time.Duration
	// Validity is how long a marker rules out claims outside the log.
	Validity time.Duration
	// Skew is the largest difference between the wall clocks of the hosts and the log.
	Skew time.Duration
	// Retention is the minimum time for which the log keeps a record.
	Retention time.Duration
	// Keys and Bytes limit the number of keys and their memory; Answer is the largest answer stored with a key, in bytes.
	Keys   int
	Bytes  int64
	Answer int
	// Call is the timeout of a call to a peer, Log that of an append including its read-back.
	Call time.Duration
	Log  time.Duration
	// Rate is the number of records per second that are written to clear a backlog after an outage and to rewrite old records.
	Rate int
}

// DefaultBounds returns the bounds used without WithBounds.
func DefaultBounds() Bounds {
	return Bounds{
		Lifetime:  24 * time.Hour,
		Validity:  15 * time.Second,
		Skew:      time.Second,
		Retention: 12 * time.Hour,
		Keys:      20_000,
		Bytes:     24 << 20,
		Answer:    64 << 10,
		Call:      400 * time.Millisecond,
		Log:       2 * time.Second,
		Rate:      5,
	}
}

// Peer is a live and ready host of the same failure domain.
type Peer struct {
	Name string
	Addr netip.AddrPort
}

// Ledger holds one host's claims on the idempotency keys of its failure domain.
type Ledger struct {
	domain       string
	domains      []string
	host         string
	bounds       Bounds
	clock        clock.Clock
	peers        func() []Peer
	call         port.Peers
	appendRecord func(context.Context, *wire.Record) (uint64, error)
	queue        func(*wire.Record) error
	isDown       func(error) bool
	isUp         func() bool
	check        func() error
	owner        func() (fleet.Term, bool)
	isRemoved    func(host string) bool
	freshGroups  bool
	workers      port.Workers
	workerAddr   func(worker string) (netip.AddrPort, bool)
	ring         *events.Ring
	stats        stats
	disabled     disabledMechanisms

	mu           sync.Mutex
	term         fleet.Term
	openedTerm   fleet.Term
	failed       openFailure
	entries      map[entryKey]*entry
	bytes        int64
	markers      markers
	completeness completeness
	clearings    clearings
	foldedOffset uint64
	// logFailed is set at the start of a term and by a failed append, until an append succeeds.
	logFailed bool
	// foldAdvanced is closed and replaced whenever foldedOffset advances.
	foldAdvanced chan struct{}

	// openSlot is a semaphore of one for Open.
	openSlot chan struct{}
}

// disabledMechanisms turns off single safety mechanisms, so that tests can show that each one is needed.
type disabledMechanisms struct {
	peers        bool
	log          bool
	marker       bool
	quorum       bool
	terms        bool
	completeness bool
	readBack     bool
	clearGuard   bool
}

type stats struct {
	claimed   tally.Counter
	refused   tally.Counter
	missing   tally.Counter
	offLog    tally.Counter
	conflicts tally.Counter
	filled    tally.Counter
	markers   tally.Counter
	rewritten tally.Counter
	expired   tally.Counter
	keys      tally.Gauge
	bytes     tally.Gauge
	claimTime tally.Timer
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithDomain sets the failure domain of this host and the list of all configured ones.
func WithDomain(domain string, all []string) Option {
	return func(b *Ledger) {
		b.domain = domain
		b.domains = all
	}
}

// WithHost sets the name of this host.
func WithHost(name string) Option {
	return func(b *Ledger) { b.host = name }
}

// WithBounds replaces the default bounds.
func WithBounds(x Bounds) Option {
	return func(b *Ledger) { b.bounds = x }
}

// WithClock replaces the clock of the operating system.
func WithClock(c clock.Clock) Option {
	return func(b *Ledger) { b.clock = c }
}

// WithPeers sets the function that lists the live and ready peers of the failure domain, and the client that calls them.
func WithPeers(list func() []Peer, call port.Peers) Option {
	return func(b *Ledger) {
		b.peers = list
		b.call = call
	}
}

// WithLog sets how a record is appended synchronously or queued, and which errors mean that the log does not answer.
func WithLog(
	add func(context.Context, *wire.Record) (uint64, error),
	queue func(*wire.Record) error,
	isDown func(error) bool,
) Option {
	return func(b *Ledger) {
		b.appendRecord = add
		b.queue = queue
		b.isDown = isDown
	}
}

// WithLogUp sets the function that reports whether the log answers; while it does not, claims do not wait for it.
func WithLogUp(f func() bool) Option {
	return func(b *Ledger) { b.isUp = f }
}

// WithCheck sets the check of the owner's lease, which is made before every step of a claim.
func WithCheck(f func() error) Option {
	return func(b *Ledger) { b.check = f }
}

// WithOwner sets the function that returns the term in which this host owns the failure domain, or false
// if it does not own the failure domain.
func WithOwner(f func() (fleet.Term, bool)) Option {
	return func(b *Ledger) { b.owner = f }
}

// WithRemovedHosts sets the function that reports whether the platform has removed a host from its list; such a host no longer
// counts as a member of the group. By default every host of the group counts, since leaving out a removed
// host is safe only where such a host is dead.
func WithRemovedHosts(f func(host string) bool) Option {
	return func(b *Ledger) { b.isRemoved = f }
}

// WithFreshGroups lets new hosts replace a group none of whose hosts can be reached, while the group's last marker is valid.
//
// It is safe only where no network partition separates hosts of one failure domain.
func WithFreshGroups() Option {
	return func(b *Ledger) { b.freshGroups = true }
}

// WithWorkers sets the client of the workers and the lookup of their addresses.
func WithWorkers(w port.Workers, resolve func(worker string) (netip.AddrPort, bool)) Option {
	return func(b *Ledger) {
		b.workers = w
		b.workerAddr = resolve
	}
}

// WithRing sets the time line that events are added to.
func WithRing(r *events.Ring) Option {
	return func(b *Ledger) { b.ring = r }
}

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(b *Ledger) { b.stats = newStats(s) }
}

// New returns an empty Ledger; it refuses claims until it has recovered them from peers or the log.
func New(opts ...Option) *Ledger {
	b := &Ledger{
		bounds:       DefaultBounds(),
		clock:        clock.System(),
		peers:        func() []Peer { return nil },
		check:        func() error { return nil },
		owner:        func() (fleet.Term, bool) { return fleet.Term{}, false },
		isRemoved:    func(string) bool { return false },
		isDown:       func(error) bool { return true },
		isUp:         func() bool { return true },
		stats:        newStats(tally.NoopScope),
		entries:      map[entryKey]*entry{},
		completeness: completeness{reason: "claims have not been recovered from a peer or the log yet"},
		foldAdvanced: make(chan struct{}),
		openSlot:     make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(b)
	}
	b.completeness.since = b.clock.Now()
	return b
}

func newStats(s tally.Scope) stats {
	return stats{
		claimed:   s.Counter("once_claimed"),
		refused:   s.Counter("once_repeated"),
		missing:   s.Counter("once_memory_missing"),
		offLog:    s.Counter("once_claimed_off_log"),
		conflicts: s.Counter("once_conflicts"),
		filled:    s.Counter("once_peers_filled"),
		markers:   s.Counter("once_markers"),
		rewritten: s.Counter("once_rewritten"),
		expired:   s.Counter("once_expired"),
		keys:      s.Gauge("once_keys"),
		bytes:     s.Gauge("once_bytes"),
		claimTime: s.Timer("once_claim"),
	}
}

func (l *Ledger) addEvent(k events.Kind, job, org, text string) {
	if l.ring != nil {
		l.ring.Add(events.Event{Kind: k, Job: job, Organisation: org, Text: text})
	}
}
