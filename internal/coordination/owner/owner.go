package owner

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// ErrNotOwner is returned when this host may not act as the owner.
var ErrNotOwner = errors.New("host does not own the failure domain")

const (
	rivalMemory      = 10 * time.Minute
	maxHoldDoublings = 5
)

// Owner tracks the owner of the failure domain and claims the ownership when it is vacant.
type Owner struct {
	host            string
	domain          string
	self            func() member.Member
	peers           func() []member.Member
	appendRecord    func(context.Context, *wire.Record) (uint64, error)
	queueRecord     func(*wire.Record) error
	isLogUp         func() bool
	clock           clock.Clock
	ring            *events.Ring
	scope           tally.Scope
	onStartTerm     func(context.Context, fleet.Term)
	onEndTerm       func(fleet.Term)
	announce        func(context.Context)
	lease           time.Duration
	suspectAfter    time.Duration
	claimWait       time.Duration
	rankDelay       time.Duration
	refreshInterval time.Duration
	// Each of these flags disables one mechanism, so that tests can show that it is needed; only tests set them.
	skipsLease         bool
	keepsLowerTerm     bool
	ignoresLogOrder    bool
	ignoresPeerReports bool
	ignoresRivals      bool

	tasks sync.WaitGroup
	wake  chan struct{}

	mu sync.Mutex
	// highestTerm is the highest known term, highestTermAt when it became known, and lastHeard when any host last heard
	// from its owner.
	highestTerm   fleet.Term
	highestTermAt time.Time
	lastHeard     time.Time
	// isVacant is set when the host of highestTerm has reported that it is not the owner, and isLeaving when it is about
	// to leave.
	isVacant  bool
	isLeaving bool
	// aliveTimeout is how long the owner of highestTerm counts as alive without a heartbeat. rivalCount is the number of
	// own terms that were ended by a higher term seen on a worker, and lastRivalAt when that last happened.
	aliveTimeout time.Duration
	rivalCount   int
	lastRivalAt  time.Time
	vacantSince  time.Time
	// highestLoggedTerm is the first claim of the highest counter in the log.
	highestLoggedTerm fleet.Term
	// ownTerm is zero unless this host is the owner. lastConfirmed is the newest time at which no peer that answered knew
	// a higher term.
	ownTerm        fleet.Term
	lastConfirmed  time.Time
	isLeaseExpired bool
	cancelTerm     context.CancelFunc
	lostTerms      []fleet.Term
	// resumedAt is when the host started or last resumed after a pause of the process.
	resumedAt  time.Time
	startedAt  time.Time
	claimCount int
	// isClaiming is set while a claim is in progress; the claim may be read from the log before this host knows that it
	// has succeeded.
	isClaiming  bool
	lastRefresh time.Time
}

// New returns an Owner that does not hold the ownership yet.
func New(opts ...Option) *Owner {
	o := &Owner{
		clock:           clock.System(),
		scope:           tally.NoopScope,
		self:            func() member.Member { return member.Member{} },
		peers:           func() []member.Member { return nil },
		isLogUp:         func() bool { return false },
		queueRecord:     func(*wire.Record) error { return nil },
		onStartTerm:     func(context.Context, fleet.Term) {},
		onEndTerm:       func(fleet.Term) {},
		announce:        func(context.Context) {},
		lease:           defaultLease,
		suspectAfter:    defaultSuspectAfter,
		claimWait:       defaultClaimWait,
		rankDelay:       defaultRankDelay,
		refreshInterval: defaultRefresh,
		wake:            make(chan struct{}, 1),
	}
	for _, f := range opts {
		f(o)
	}
	o.aliveTimeout = o.suspectAfter
	o.startedAt = o.clock.Now()
	o.resumedAt = o.startedAt
	return o
}

// Term returns the term in which this host is the owner, or the zero term.
func (o *Owner) Term() fleet.Term {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ownTerm
}

// Check returns an error that wraps ErrNotOwner unless this host is the owner and its lease holds by the monotonic clock.
func (o *Owner) Check() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.check()
}

func (o *Owner) check() error {
	if o.ownTerm.IsZero() {
		return ErrNotOwner
	}
	if age := o.clock.Since(o.lastConfirmed); age > o.lease && !o.skipsLease {
		return fmt.Errorf("lease of term %s was confirmed %s ago: %w", o.ownTerm, age, ErrNotOwner)
	}
	return nil
}

// Current returns the highest known term, the address of its owner, and whether that owner is alive.
func (o *Owner) Current() (fleet.Term, netip.AddrPort, bool) {
	self, peers := o.self(), o.peers()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ownTerm.IsZero() {
		return o.ownTerm, self.Addr, o.check() == nil
	}
	if !o.isOwnerAlive() {
		return o.highestTerm, netip.AddrPort{}, false
	}
	for _, p := range peers {
		if p.Name == o.highestTerm.Host {
			return o.highestTerm, p.Addr, !p.IsSuspect
		}
	}
	return o.highestTerm, netip.AddrPort{}, false
}

// LeaseTerm returns the term in which this host may renew worker leases on behalf of the owner, if there is one.
func (o *Owner) LeaseTerm() (fleet.Term, bool) {
	t, _, ok := o.Current()
	return t, ok
}

// Ownership returns the state of the ownership that heartbeats carry.
func (o *Owner) Ownership() member.Ownership {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isClaiming && o.highestTerm.Host == o.host && o.ownTerm.IsZero() {
		return member.Ownership{}
	}
	w := member.Ownership{Term: o.highestTerm, IsOwner: !o.ownTerm.IsZero(), LastHeard: o.lastHeard}
	isHeldAlive := o.aliveTimeout > o.suspectAfter && o.isOwnerAlive()
	if w.IsOwner || isHeldAlive {
		w.LastHeard = o.clock.Now()
	}
	return w
}

// ObserveTerm records a term that a worker has seen; a higher term ends the own term. The owner of that term may be on
// a host whose heartbeats do not arrive here, so each such loss doubles the time before this host claims again, up to a
// limit.
func (o *Owner) ObserveTerm(t fleet.Term) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.highestTerm.Less(t) {
		return
	}
	now := o.clock.Now()
	if now.Sub(o.lastRivalAt) > rivalMemory {
		o.rivalCount = 0
	}
	isLoss := !o.ownTerm.IsZero()
	o.raiseTerm(t)
	if isLoss && !o.ignoresRivals {
		o.aliveTimeout = o.suspectAfter << min(o.rivalCount, maxHoldDoublings)
		o.rivalCount++
		o.lastRivalAt = now
	}
}

func (o *Owner) raiseTerm(t fleet.Term) {
	if !o.highestTerm.Less(t) {
		return
	}
	o.highestTerm = t
	o.highestTermAt = o.clock.Now()
	o.lastHeard = time.Time{}
	o.isVacant = false
	o.isLeaving = false
	o.aliveTimeout = o.suspectAfter
	if !o.ownTerm.IsZero() && !o.keepsLowerTerm {
		o.endTerm()
	}
}

// endTerm ends the own term; Run calls onEndTerm.
func (o *Owner) endTerm() {
	o.lostTerms = append(o.lostTerms, o.ownTerm)
	o.ownTerm = fleet.Term{}
	o.cancelTerm()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// HandleHeartbeat processes the ownership state in a heartbeat from another host.
func (o *Owner) HandleHeartbeat(m member.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := m.Ownership
	o.raiseTerm(w.Term)
	if w.Term != o.highestTerm || w.Term.IsZero() {
		return
	}
	if m.Name == o.highestTerm.Host {
		o.isVacant = !w.IsOwner
		o.isLeaving = m.State != member.Ready
		if w.IsOwner {
			o.lastHeard = o.clock.Now()
		}
		return
	}
	if w.LastHeard.After(o.lastHeard) && !o.ignoresPeerReports {
		o.lastHeard = w.LastHeard
	}
}

// Acked records that a heartbeat sent at the given time was answered, which confirms the lease of the owner.
// HandleHeartbeat must have processed the answer before.
func (o *Owner) Acked(sent time.Time, m member.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ownTerm.IsZero() || o.ownTerm.Less(m.Ownership.Term) {
		return
	}
	if sent.After(o.lastConfirmed) {
		o.lastConfirmed = sent
	}
}

// isOwnerAlive reports whether any host has heard from the owner of the highest term within aliveTimeout.
func (o *Owner) isOwnerAlive() bool {
	if o.highestTerm.IsZero() || o.highestTerm.Host == o.host || o.isVacant {
		return false
	}
	return o.clock.Since(o.lastContact()) <= o.aliveTimeout
}

func (o *Owner) lastContact() time.Time {
	if o.lastHeard.After(o.highestTermAt) {
		return o.lastHeard
	}
	return o.highestTermAt
}

func (o *Owner) addEvent(k events.Kind, text string) {
	if o.ring != nil {
		o.ring.Add(events.Event{Kind: k, Text: text})
	}
}
