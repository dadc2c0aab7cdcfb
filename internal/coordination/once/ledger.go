package once

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

// Bounds are the times and sizes that the book keeps to.
type Bounds struct {
	// Lifetime is how long a key is remembered after its work has ended.
	Lifetime time.Duration
	// Validity is how long a marker promises that no claim is kept outside the log.
	Validity time.Duration
	// Skew is the greatest difference between the wall clocks of hosts and log.
	Skew time.Duration
	// Retention is how long the log keeps a record at least.
	Retention time.Duration
	// Keys and Bytes bound what is held; Answer is the greatest answer that is kept with a key, in bytes.
	Keys   int
	Bytes  int64
	Answer int
	// Call is the time that a call to a peer may take, Log the time for an append and its reading back.
	Call time.Duration
	Log  time.Duration
	// Rate is the number of records a second that the book adds to the log after an outage, and to renew old ones.
	Rate int
}

// DefaultBounds returns the bounds that hold unless WithBounds sets others.
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

// Book holds the claims of one failure domain on one host.
type Book struct {
	domain  string
	domains []string
	host    string
	bounds  Bounds
	clock   clock.Clock
	peers   func() []Peer
	call    port.Peers
	append  func(context.Context, *wire.Record) (uint64, error)
	queue   func(*wire.Record) error
	isDown  func(error) bool
	isUp    func() bool
	check   func() error
	owner   func() (fleet.Term, bool)
	gone    func(host string) bool
	fresh   bool
	workers port.Workers
	resolve func(worker string) (netip.AddrPort, bool)
	ring    *events.Ring
	stats   stats
	off     mechanismsOff

	mu      sync.Mutex
	term    fleet.Term
	opened  fleet.Term
	failed  failedOpen
	entries map[id]*entry
	bytes   int64
	marks   marks
	memory  memory
	clears  clears
	folded  uint64
	// logFailed is set until an append has succeeded in this term and since the last that failed.
	logFailed bool
	// moved is closed and replaced whenever a record has been folded.
	moved chan struct{}

	// opening holds a value while a goroutine opens the book.
	opening chan struct{}
}

// mechanismsOff turns single mechanisms off, so that tests can show that they are needed.
type mechanismsOff struct {
	peers    bool
	log      bool
	marker   bool
	group    bool
	terms    bool
	memory   bool
	readBack bool
	guard    bool
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

// Option changes how a Book works.
type Option func(*Book)

// WithDomain sets the failure domain of this host and all configured ones.
func WithDomain(domain string, all []string) Option {
	return func(b *Book) {
		b.domain = domain
		b.domains = all
	}
}

// WithHost sets the name of this host.
func WithHost(name string) Option {
	return func(b *Book) { b.host = name }
}

// WithBounds replaces the default bounds.
func WithBounds(x Bounds) Option {
	return func(b *Book) { b.bounds = x }
}

// WithClock sets the clock.
func WithClock(c clock.Clock) Option {
	return func(b *Book) { b.clock = c }
}

// WithPeers sets the live and ready peers of the failure domain, without this host, and the way to call them.
func WithPeers(list func() []Peer, call port.Peers) Option {
	return func(b *Book) {
		b.peers = list
		b.call = call
	}
}

// WithLog sets how a record is appended at once or queued, and which errors say that the log is down or silent.
func WithLog(
	add func(context.Context, *wire.Record) (uint64, error),
	queue func(*wire.Record) error,
	isDown func(error) bool,
) Option {
	return func(b *Book) {
		b.append = add
		b.queue = queue
		b.isDown = isDown
	}
}

// WithLogUp sets the function that reports whether the log answers, so that no claim waits for one that does not.
func WithLogUp(f func() bool) Option {
	return func(b *Book) { b.isUp = f }
}

// WithCheck sets the check of the owner's lease, which is called before every step of a claim.
func WithCheck(f func() error) Option {
	return func(b *Book) { b.check = f }
}

// WithOwner sets the function that returns the term in which this host owns the failure domain, if it does.
func WithOwner(f func() (fleet.Term, bool)) Option {
	return func(b *Book) { b.owner = f }
}

// WithGone sets the function that reports whether the platform listed a host and has dropped it since.
func WithGone(f func(host string) bool) Option {
	return func(b *Book) { b.gone = f }
}

// WithFreshGroups lets a new host take over from hosts that it cannot reach while their last marker holds.
//
// It is safe only where no cut runs between the hosts of one failure domain.
func WithFreshGroups() Option {
	return func(b *Book) { b.fresh = true }
}

// WithWorkers sets the way to the workers and to their addresses.
func WithWorkers(w port.Workers, resolve func(worker string) (netip.AddrPort, bool)) Option {
	return func(b *Book) {
		b.workers = w
		b.resolve = resolve
	}
}

// WithRing sets the time line.
func WithRing(r *events.Ring) Option {
	return func(b *Book) { b.ring = r }
}

// WithScope sets the scope of the counters.
func WithScope(s tally.Scope) Option {
	return func(b *Book) { b.stats = newStats(s) }
}

// New returns an empty book, which refuses claims until it has its memory from peers or the log.
func New(opts ...Option) *Book {
	b := &Book{
		bounds:  DefaultBounds(),
		clock:   clock.System(),
		peers:   func() []Peer { return nil },
		check:   func() error { return nil },
		owner:   func() (fleet.Term, bool) { return fleet.Term{}, false },
		gone:    func(string) bool { return false },
		isDown:  func(error) bool { return true },
		isUp:    func() bool { return true },
		stats:   newStats(tally.NoopScope),
		entries: map[id]*entry{},
		memory:  memory{why: "neither a peer nor the log has been read yet"},
		moved:   make(chan struct{}),
		opening: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(b)
	}
	b.memory.since = b.clock.Now()
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

func (b *Book) note(k events.Kind, job, org, text string) {
	if b.ring != nil {
		b.ring.Add(events.Event{Kind: k, Job: job, Organisation: org, Text: text})
	}
}
