package member

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/uber-go/tally/v4"
)

// State says whether a host takes work.
type State string

// States of a host.
const (
	// Joining hosts fetch their state and own nothing.
	Joining State = "Joining"
	// Ready hosts take work and may own their failure domain.
	Ready State = "Ready"
	// Leaving hosts take no new work.
	Leaving State = "Leaving"
)

// Member is a host as others last heard of it.
type Member struct {
	Name         string
	Domain       string
	Addr         netip.AddrPort
	State        State
	Incarnation  uint64
	ConfigOffset uint64
	OnceComplete bool
	LastHeard    time.Time
	// IsSuspect is set when the host has been silent for too long to be given new work.
	IsSuspect bool
	Ownership Ownership
}

// IsUsable reports whether the member may be given new work.
func (m Member) IsUsable() bool {
	return m.State == Ready && !m.IsSuspect
}

// DomainView is the newest digest of another failure domain; Heard is zero when none came yet.
type DomainView struct {
	Domain           string
	Term             fleet.Term
	Members          []Member
	ConfigOffset     uint64
	FreeAccelerators int
	Accelerators     int
	UrgentWait       time.Duration
	NormalWait       time.Duration
	QuietWait        time.Duration
	Heard            time.Time
}

// Members keeps the hosts of the own failure domain and views of the others.
type Members struct {
	self         Member
	seeds        []netip.AddrPort
	peersPort    port.Peers
	hosts        port.Hosts
	clock        clock.Clock
	stamps       *events.Clock
	ring         *events.Ring
	scope        tally.Scope
	interval     time.Duration
	suspectAfter time.Duration
	removeAfter  time.Duration
	digestEvery  time.Duration
	listEvery    time.Duration
	ownership    func() Ownership
	onHeard      func(Member)
	onAck        func(time.Time, Member)
	onChanged    func(string)
	configOffset func() uint64
	onOffset     func(netip.AddrPort, uint64)
	onceComplete func() bool
	summary      func(*wire.Digest)
	usage        func() map[string]int
	// ignoresPause turns the detection of the own pause off; only tests set it.
	ignoresPause bool
	// trustsList takes the platform's list for the truth; only tests set it.
	trustsList bool
	// dropsUnacked forgets changes once they were sent; only tests set it.
	dropsUnacked bool

	mu       sync.Mutex
	peers    map[string]*peer
	contacts map[netip.AddrPort]*contact
	views    map[string]*view
	listing  listing
	// heardLoad is what the owner of the own failure domain stated last.
	heardLoad heardLoad
	changes   changes
	// owned is the usage of the own failure domain as the owner told it.
	owned     map[string]int
	elsewhere usageSum
	// floor is when the host last woke from a pause; silence before it says nothing.
	floor    time.Time
	sequence uint64
	tasks    sync.WaitGroup
}

// peer is another host of the own failure domain.
type peer struct {
	Member
	isRemoved   bool
	knowsSelf   bool
	lastRequest time.Time
	relayed     map[string]relay
	hadListing  time.Time
	// changedSeen is the newest sequence of changes that this host has heard as the owner.
	changedSeen uint64
	// told is what this host, as the owner, told the peer of the own failure domain.
	told told
}

// New returns members that know only the host itself, which is Joining.
func New(opts ...Option) *Members {
	m := &Members{
		clock:        clock.System(),
		scope:        tally.NoopScope,
		interval:     defaultInterval,
		suspectAfter: defaultSuspectAfter,
		removeAfter:  defaultRemoveAfter,
		digestEvery:  defaultDigestEvery,
		listEvery:    defaultListEvery,
		ownership:    func() Ownership { return Ownership{} },
		onHeard:      func(Member) {},
		onAck:        func(time.Time, Member) {},
		onChanged:    func(string) {},
		configOffset: func() uint64 { return 0 },
		onOffset:     func(netip.AddrPort, uint64) {},
		onceComplete: func() bool { return false },
		summary:      func(*wire.Digest) {},
		usage:        func() map[string]int { return nil },
		peers:        make(map[string]*peer),
		contacts:     make(map[netip.AddrPort]*contact),
		views:        make(map[string]*view),
	}
	m.self.State = Joining
	for _, o := range opts {
		o(m)
	}
	if m.self.Incarnation == 0 {
		m.self.Incarnation = uint64(m.clock.Now().UnixMilli())
	}
	return m
}

// Run keeps track of the other hosts until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	m.mu.Lock()
	m.floor = m.clock.Now()
	m.mu.Unlock()
	m.tasks.Go(func() { m.listLoop(ctx) })
	m.watchLoop(ctx)
	m.tasks.Wait()
	return fmt.Errorf("run members: %w", ctx.Err())
}

// Self returns this host.
func (m *Members) Self() Member {
	o := m.ownership()
	offset, isComplete := m.configOffset(), m.onceComplete()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.self
	s.State = m.stateOf(s)
	s.LastHeard = m.clock.Now()
	s.ConfigOffset = offset
	s.OnceComplete = isComplete
	s.Ownership = o
	return s
}

// stateOf returns the state of a member, which the platform's list can only turn to Leaving.
func (m *Members) stateOf(o Member) State {
	if m.listing.leaving[o.Name] {
		return Leaving
	}
	return o.State
}

// Peers returns the other live hosts of the own failure domain in order of their names.
func (m *Members) Peers() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ms []Member
	for _, p := range m.peers {
		if !p.isRemoved {
			ms = append(ms, m.snapshot(p))
		}
	}
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return ms
}

func (m *Members) snapshot(p *peer) Member {
	s := p.Member
	s.State = m.stateOf(s)
	s.IsSuspect = m.silence(p) > m.suspectAfter
	return s
}

// silence returns for how long the peer was silent while this host was not paused.
func (m *Members) silence(p *peer) time.Duration {
	last := p.LastHeard
	if m.floor.After(last) && !m.ignoresPause {
		last = m.floor
	}
	return m.clock.Since(last)
}

// Live returns the live hosts of a failure domain in order of their names, including this one for its own.
func (m *Members) Live(domain string) []Member {
	if domain == m.self.Domain {
		ms := append(m.Peers(), m.Self())
		slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
		return ms
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.views[domain]
	if v == nil {
		return nil
	}
	return append([]Member(nil), v.Members...)
}

// FindDomains returns the newest views of the other failure domains in order of their names.
func (m *Members) FindDomains() []DomainView {
	m.mu.Lock()
	defer m.mu.Unlock()
	var vs []DomainView
	for _, v := range m.views {
		c := v.DomainView
		c.Members = append([]Member(nil), v.Members...)
		vs = append(vs, c)
	}
	slices.SortFunc(vs, func(a, b DomainView) int { return cmp.Compare(a.Domain, b.Domain) })
	return vs
}

// Addrs returns the addresses of all live hosts, those of the own failure domain first.
func (m *Members) Addrs() []netip.AddrPort {
	var as []netip.AddrPort
	for _, p := range m.Peers() {
		as = append(as, p.Addr)
	}
	for _, v := range m.FindDomains() {
		for _, o := range v.Members {
			as = append(as, o.Addr)
		}
	}
	return as
}

// SetState changes what this host says of itself.
func (m *Members) SetState(s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = s
}

// Leave turns this host to Leaving and tells every live peer at once.
func (m *Members) Leave(ctx context.Context) {
	m.SetState(Leaving)
	m.addEvent(events.MemberLeaving, "this host leaves")
	m.Announce(ctx)
}

// Announce sends a heartbeat to every live peer and a digest to every other failure domain at once, and waits for the
// answers.
func (m *Members) Announce(ctx context.Context) {
	var g sync.WaitGroup
	for _, p := range m.Peers() {
		g.Go(func() { m.beat(ctx, p.Addr) })
	}
	for _, v := range m.FindDomains() {
		g.Go(func() { m.sendDigest(ctx, v.Domain) })
	}
	g.Wait()
}

func (m *Members) addEvent(k events.Kind, text string) {
	if m.ring != nil {
		m.ring.Add(events.Event{Kind: k, Text: text})
	}
}
