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

// ErrNotOwner says that this host may not act as the owner now.
var ErrNotOwner = errors.New("host does not own the failure domain")

const (
	forgetRivals = 10 * time.Minute
	maxDoubling  = 5
)

// Owner follows who owns the failure domain and claims it when nobody does.
type Owner struct {
	host         string
	domain       string
	self         func() member.Member
	peers        func() []member.Member
	appendRecord func(context.Context, *wire.Record) (uint64, error)
	queueRecord  func(*wire.Record) error
	isLogUp      func() bool
	clock        clock.Clock
	ring         *events.Ring
	scope        tally.Scope
	onGain       func(context.Context, fleet.Term)
	onLose       func(fleet.Term)
	announce     func(context.Context)
	lease        time.Duration
	suspectAfter time.Duration
	claimWait    time.Duration
	rankStep     time.Duration
	refresh      time.Duration
	// Switches that turn one mechanism off; only tests set them.
	skipsLease    bool
	keepsTerm     bool
	ignoresOrder  bool
	trustsSelf    bool
	forgetsRivals bool

	tasks sync.WaitGroup
	wake  chan struct{}

	mu sync.Mutex
	// top is the highest term heard of, since when, and when its owner last gave a sign, as any host heard it.
	top   fleet.Term
	topAt time.Time
	heard time.Time
	// isVacant is set when the host of top said that it does not own, isLeaving when it will not for long.
	isVacant  bool
	isLeaving bool
	// hold is for how long top counts as alive without a sign; rivals and rivalAt count the terms that workers showed.
	hold        time.Duration
	rivals      int
	rivalAt     time.Time
	vacantSince time.Time
	// logTop is the first claim of the highest counter in the log.
	logTop fleet.Term
	// mine is zero unless this host is the owner; confirmed is when a peer last could not know better.
	mine      fleet.Term
	confirmed time.Time
	isLapsed  bool
	stop      context.CancelFunc
	lost      []fleet.Term
	// woke is when the host started or last woke from a pause.
	woke    time.Time
	started time.Time
	claims  int
	// isClaiming is set while a claim is under way, which may be read before this host knows that it has won.
	isClaiming bool
	refreshed  time.Time
}

// New returns an owner that owns nothing yet.
func New(opts ...Option) *Owner {
	o := &Owner{
		clock:        clock.System(),
		scope:        tally.NoopScope,
		self:         func() member.Member { return member.Member{} },
		peers:        func() []member.Member { return nil },
		isLogUp:      func() bool { return false },
		queueRecord:  func(*wire.Record) error { return nil },
		onGain:       func(context.Context, fleet.Term) {},
		onLose:       func(fleet.Term) {},
		announce:     func(context.Context) {},
		lease:        defaultLease,
		suspectAfter: defaultSuspectAfter,
		claimWait:    defaultClaimWait,
		rankStep:     defaultRankStep,
		refresh:      defaultRefresh,
		wake:         make(chan struct{}, 1),
	}
	for _, f := range opts {
		f(o)
	}
	o.hold = o.suspectAfter
	o.started = o.clock.Now()
	o.woke = o.started
	return o
}

// Term returns the term in which this host is the owner, or the zero term.
func (o *Owner) Term() fleet.Term {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.mine
}

// Check returns ErrNotOwner unless this host's lease, by the monotonic clock, still holds.
func (o *Owner) Check() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.check()
}

func (o *Owner) check() error {
	if o.mine.IsZero() {
		return ErrNotOwner
	}
	if age := o.clock.Since(o.confirmed); age > o.lease && !o.skipsLease {
		return fmt.Errorf("lease of term %s was confirmed %s ago: %w", o.mine, age, ErrNotOwner)
	}
	return nil
}

// Current returns the highest term known and the address of its owner, and whether that owner is alive.
func (o *Owner) Current() (fleet.Term, netip.AddrPort, bool) {
	self, peers := o.self(), o.peers()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.mine.IsZero() {
		return o.mine, self.Addr, o.check() == nil
	}
	if !o.isOwnerAlive() {
		return o.top, netip.AddrPort{}, false
	}
	for _, p := range peers {
		if p.Name == o.top.Host {
			return o.top, p.Addr, !p.IsSuspect
		}
	}
	return o.top, netip.AddrPort{}, false
}

// LeaseTerm returns the term in which this host may renew leases of workers for the owner.
func (o *Owner) LeaseTerm() (fleet.Term, bool) {
	t, _, ok := o.Current()
	return t, ok
}

// Ownership returns what heartbeats say of the owner.
func (o *Owner) Ownership() member.Ownership {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isClaiming && o.top.Host == o.host && o.mine.IsZero() {
		return member.Ownership{}
	}
	w := member.Ownership{Term: o.top, IsOwner: !o.mine.IsZero(), Heard: o.heard}
	isHeld := o.hold > o.suspectAfter && o.isOwnerAlive()
	if w.IsOwner || isHeld {
		w.Heard = o.clock.Now()
	}
	return w
}

// Observe takes in a term that a worker has seen; a higher one ends the own. Its owner may live where no heartbeat
// comes from, so each such loss lets this host wait longer before it claims again.
func (o *Owner) Observe(t fleet.Term) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.top.Less(t) {
		return
	}
	now := o.clock.Now()
	if now.Sub(o.rivalAt) > forgetRivals {
		o.rivals = 0
	}
	isLoss := !o.mine.IsZero()
	o.observe(t)
	if isLoss && !o.forgetsRivals {
		o.hold = o.suspectAfter << min(o.rivals, maxDoubling)
		o.rivals++
		o.rivalAt = now
	}
}

func (o *Owner) observe(t fleet.Term) {
	if !o.top.Less(t) {
		return
	}
	o.top = t
	o.topAt = o.clock.Now()
	o.heard = time.Time{}
	o.isVacant = false
	o.isLeaving = false
	o.hold = o.suspectAfter
	if !o.mine.IsZero() && !o.keepsTerm {
		o.lose()
	}
}

// lose ends the ownership; Run tells onLose.
func (o *Owner) lose() {
	o.lost = append(o.lost, o.mine)
	o.mine = fleet.Term{}
	o.stop()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Heard takes in what a heartbeat of another host says of the owner.
func (o *Owner) Heard(m member.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := m.Ownership
	o.observe(w.Term)
	if w.Term != o.top || w.Term.IsZero() {
		return
	}
	if m.Name == o.top.Host {
		o.isVacant = !w.IsOwner
		o.isLeaving = m.State != member.Ready
		if w.IsOwner {
			o.heard = o.clock.Now()
		}
		return
	}
	if w.Heard.After(o.heard) && !o.trustsSelf {
		o.heard = w.Heard
	}
}

// Acked takes in that a heartbeat which was sent at a time has been answered; Heard must have heard the answer.
func (o *Owner) Acked(sent time.Time, m member.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.mine.IsZero() || o.mine.Less(m.Ownership.Term) {
		return
	}
	if sent.After(o.confirmed) {
		o.confirmed = sent
	}
}

// isOwnerAlive reports whether some host heard from the owner of the highest term lately.
func (o *Owner) isOwnerAlive() bool {
	if o.top.IsZero() || o.top.Host == o.host || o.isVacant {
		return false
	}
	return o.clock.Since(o.lastSign()) <= o.hold
}

func (o *Owner) lastSign() time.Time {
	if o.heard.After(o.topAt) {
		return o.heard
	}
	return o.topAt
}

func (o *Owner) addEvent(k events.Kind, text string) {
	if o.ring != nil {
		o.ring.Add(events.Event{Kind: k, Text: text})
	}
}
