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

// State tells whether a host accepts work.
type State string

// States of a host.
const (
	// Joining hosts are still loading their state and cannot own their failure domain.
	Joining State = "Joining"
	// Ready hosts accept work and may own their failure domain.
	Ready State = "Ready"
	// Leaving hosts accept no new work.
	Leaving State = "Leaving"
)

// Member is the last known state of a host.
type Member struct {
	Name         string
	Domain       string
	Addr         netip.AddrPort
	State        State
	Incarnation  uint64
	ConfigOffset uint64
	OnceComplete bool
	LastHeard    time.Time
	// IsSuspect is set when no heartbeat has arrived within the suspicion timeout; the host gets no new work.
	IsSuspect bool
	Ownership Ownership
}

// IsUsable reports whether the member may be assigned new work.
func (m Member) IsUsable() bool {
	return m.State == Ready && !m.IsSuspect
}

// DomainView is the newest digest of a remote failure domain; LastHeard is zero until one has been received.
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
	LastHeard        time.Time
}

// Members tracks the hosts of the local failure domain and keeps a summary of each remote one.
type Members struct {
	self            Member
	seeds           []netip.AddrPort
	peersPort       port.Peers
	hosts           port.Hosts
	clock           clock.Clock
	stamps          *events.Clock
	ring            *events.Ring
	scope           tally.Scope
	interval        time.Duration
	suspectAfter    time.Duration
	removeAfter     time.Duration
	digestInterval  time.Duration
	listInterval    time.Duration
	ownership       func() Ownership
	onHeartbeat     func(Member)
	onHeartbeatAck  func(time.Time, Member)
	onWorkerChanged func(string)
	configOffset    func() uint64
	onNewerOffset   func(netip.AddrPort, uint64)
	onceComplete    func() bool
	summary         func(*wire.Digest)
	usage           func() map[string]int
	// ignoresPause disables the detection of pauses of this process; only tests set it.
	ignoresPause bool
	// trustsList removes hosts that the platform's list does not name; only tests set it.
	trustsList bool
	// dropsUnacked discards changes once they are sent, without an acknowledgement; only tests set it.
	dropsUnacked bool

	mu       sync.Mutex
	peers    map[string]*peer
	contacts map[netip.AddrPort]*contact
	views    map[string]*view
	listing  listing
	// ownerLoad is the load last reported by the owner of the local failure domain.
	ownerLoad ownerLoad
	changes   changeSet
	// localUsage is the usage of the local failure domain as reported by its owner.
	localUsage  map[string]int
	remoteUsage usageSum
	// resumedAt is when this process started or last resumed from a pause. Missing heartbeats before it are not counted, as
	// they could not be received.
	resumedAt time.Time
	sequence  uint64
	tasks     sync.WaitGroup
}

// peer is another host of the local failure domain.
type peer struct {
	Member
	isRemoved bool
	// knowsSelf is set when the peer knows the failure domain and address of this host, so that heartbeats can omit them.
	knowsSelf bool
	// lastRequest is when the peer last sent a heartbeat, as opposed to answering one.
	lastRequest    time.Time
	relayed        map[string]relayState
	listingAskedAt time.Time
	// changesAck is the newest sequence of changes that this host, as the owner, has received from the peer.
	changesAck uint64
	// sentUsage is the usage of the local failure domain that this host, as the owner, last sent to the peer.
	sentUsage sentUsage
}

// New returns a Members that knows only the local host, in state Joining.
func New(opts ...Option) *Members {
	m := &Members{
		clock:           clock.System(),
		scope:           tally.NoopScope,
		interval:        defaultInterval,
		suspectAfter:    defaultSuspectAfter,
		removeAfter:     defaultRemoveAfter,
		digestInterval:  defaultDigestInterval,
		listInterval:    defaultListInterval,
		ownership:       func() Ownership { return Ownership{} },
		onHeartbeat:     func(Member) {},
		onHeartbeatAck:  func(time.Time, Member) {},
		onWorkerChanged: func(string) {},
		configOffset:    func() uint64 { return 0 },
		onNewerOffset:   func(netip.AddrPort, uint64) {},
		onceComplete:    func() bool { return false },
		summary:         func(*wire.Digest) {},
		usage:           func() map[string]int { return nil },
		peers:           make(map[string]*peer),
		contacts:        make(map[netip.AddrPort]*contact),
		views:           make(map[string]*view),
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

// Run tracks the other hosts until ctx is cancelled.
func (m *Members) Run(ctx context.Context) error {
	m.mu.Lock()
	m.resumedAt = m.clock.Now()
	m.mu.Unlock()
	m.tasks.Go(func() { m.listLoop(ctx) })
	m.maintenanceLoop(ctx)
	m.tasks.Wait()
	return fmt.Errorf("run members: %w", ctx.Err())
}

// Self returns the local host.
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

// stateOf returns the state of a member. The platform's list can override it with Leaving and with nothing else.
func (m *Members) stateOf(o Member) State {
	if m.listing.leaving[o.Name] {
		return Leaving
	}
	return o.State
}

// Peers returns the other live hosts of the local failure domain, sorted by name.
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
	s.IsSuspect = m.heartbeatAge(p) > m.suspectAfter
	return s
}

// heartbeatAge returns the time since the last heartbeat of a peer, without the time before this process last resumed.
func (m *Members) heartbeatAge(p *peer) time.Duration {
	last := p.LastHeard
	if m.resumedAt.After(last) && !m.ignoresPause {
		last = m.resumedAt
	}
	return m.clock.Since(last)
}

// Live returns the live hosts of a failure domain, sorted by name; those of the local one include this host.
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

// FindDomains returns the newest views of the remote failure domains, sorted by name.
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

// Addrs returns the addresses of all other live hosts, those of the local failure domain first.
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

// SetState sets the state that this host advertises.
func (m *Members) SetState(s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = s
}

// Leave sets the state of this host to Leaving and announces it to every live peer immediately.
func (m *Members) Leave(ctx context.Context) {
	m.SetState(Leaving)
	m.addEvent(events.MemberLeaving, "this host is leaving")
	m.Announce(ctx)
}

// Announce sends a heartbeat to every live peer and a digest to every remote failure domain immediately, and waits for
// the replies.
func (m *Members) Announce(ctx context.Context) {
	var g sync.WaitGroup
	for _, p := range m.Peers() {
		g.Go(func() { m.sendHeartbeat(ctx, p.Addr) })
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
