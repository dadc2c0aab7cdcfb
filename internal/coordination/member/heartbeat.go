package member

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// beat sends one heartbeat and takes the answer in.
func (m *Members) beat(ctx context.Context, a netip.AddrPort) {
	sent := m.clock.Now()
	c, cancel := context.WithTimeout(ctx, m.interval)
	defer cancel()
	var r wire.HeartbeatReply
	m.scope.Counter("heartbeats").Inc(1)
	if err := m.peersPort.Call(c, a, "Peer.Heartbeat", m.heartbeat(a), &r); err != nil {
		m.scope.Counter("heartbeat_errors").Inc(1)
		return
	}
	m.observe(r.GetClock())
	o := ownershipOf(r.GetTerm(), r.GetOwner(), r.GetOwnerHeardMillis(), m.clock.Now())
	from, ok := m.hear(r.GetFrom(), o, a)
	if !ok {
		m.setKnows(a, false)
		return
	}
	m.setKnows(a, !r.GetUnknown())
	m.takeUsage(o, r.GetUsage())
	m.takeLoad(o, r.GetLoad())
	m.takeRelayed(r.GetDigests())
	m.takeListing(r.GetListing())
	m.takeChanges(a, &r)
	m.onAck(sent, from)
}

// heartbeat builds a heartbeat, which states domain and address only to a host that does not know them.
func (m *Members) heartbeat(a netip.AddrPort) *wire.Heartbeat {
	s := m.Self()
	used := m.ownUsage(s.Ownership)
	load := m.ownLoad(s.Ownership)
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerAt(a)
	isKnown := p != nil && p.knowsSelf
	m.sequence++
	h := &wire.Heartbeat{
		From:             wireMember(s, !isKnown),
		Term:             wireTerm(s.Ownership.Term),
		Owner:            s.Ownership.IsOwner,
		OwnerHeardMillis: m.heardMillis(s.Ownership.Heard),
		Clock:            m.stamp(),
		Sequence:         m.sequence,
		Digests:          m.relayTo(p),
		Usage:            m.giveUsage(p, s.Ownership, used),
		Load:             load,
	}
	if p != nil {
		h.ChangedAck = p.changedSeen
	}
	h.WantListing, h.ListingAgeMillis = m.wantListing(p)
	return h
}

// Heartbeat answers a peer and takes its sign of life in.
func (m *Members) Heartbeat(_ context.Context, h *wire.Heartbeat, r *wire.HeartbeatReply) error {
	m.observe(h.GetClock())
	o := ownershipOf(h.GetTerm(), h.GetOwner(), h.GetOwnerHeardMillis(), m.clock.Now())
	addr, _ := netip.ParseAddrPort(h.GetFrom().GetAddr())
	from, isKnown := m.hear(h.GetFrom(), o, addr)
	m.takeUsage(o, h.GetUsage())
	m.takeLoad(o, h.GetLoad())
	m.takeRelayed(h.GetDigests())
	s := m.Self()
	used := m.ownUsage(s.Ownership)
	load := m.ownLoad(s.Ownership)
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[from.Name]
	if isKnown && p != nil {
		p.lastRequest = m.clock.Now()
	}
	r.From = wireMember(s, !isKnown || h.GetFrom().GetDomain() != "")
	r.Term = wireTerm(s.Ownership.Term)
	r.Owner = s.Ownership.IsOwner
	r.OwnerHeardMillis = m.heardMillis(s.Ownership.Heard)
	r.Clock = m.stamp()
	r.Unknown = !isKnown
	m.giveChanges(h, r, o, s.Ownership)
	if h.GetWantListing() {
		r.Listing = m.giveListing(h.GetListingAgeMillis())
	}
	r.Digests = m.relayTo(p)
	r.Usage = m.giveUsage(p, s.Ownership, used)
	r.Load = load
	return nil
}

// hear takes one sign of life in; it returns false when the sender still has to state who it is.
func (m *Members) hear(w *wire.Member, o Ownership, a netip.AddrPort) (Member, bool) {
	m.mu.Lock()
	p, isNew, ok := m.place(w, a)
	if p == nil {
		m.mu.Unlock()
		return Member{}, ok
	}
	now := m.clock.Now()
	wasLeaving := m.stateOf(p.Member) == Leaving
	p.State = State(w.GetState())
	p.ConfigOffset = w.GetConfigOffset()
	p.OnceComplete = w.GetOnceComplete()
	p.LastHeard = now
	p.Ownership = o
	isUp := isNew || p.isRemoved
	p.isRemoved = false
	p.IsSuspect = false
	if c := m.learn(p.Addr, p.Name, p.Domain, now); c != nil && isUp {
		c.wakeUp()
	}
	s := m.snapshot(p)
	m.mu.Unlock()
	if isUp {
		m.scope.Counter("joined").Inc(1)
		m.addEvent(events.MemberUp, s.Name+" is "+string(s.State))
	}
	if s.State == Leaving && !wasLeaving {
		m.addEvent(events.MemberLeaving, s.Name+" leaves")
	}
	m.onHeard(s)
	if s.ConfigOffset > m.configOffset() {
		m.onOffset(s.Addr, s.ConfigOffset)
	}
	return s, true
}

// place returns the peer that w speaks of; an older incarnation and hosts of other domains have none.
func (m *Members) place(w *wire.Member, a netip.AddrPort) (p *peer, isNew, ok bool) {
	name, domain := w.GetName(), w.GetDomain()
	if name == "" || name == m.self.Name {
		return nil, false, true
	}
	if domain != "" && domain != m.self.Domain {
		m.learn(a, name, domain, m.clock.Now())
		return nil, false, true
	}
	p = m.peers[name]
	if p != nil && p.Incarnation == w.GetIncarnation() {
		return p, false, true
	}
	if p != nil && p.Incarnation > w.GetIncarnation() {
		m.scope.Counter("stale_heartbeats").Inc(1)
		return nil, false, true
	}
	if domain == "" || !a.IsValid() {
		return nil, false, false
	}
	p = &peer{Member: Member{Name: name, Domain: domain, Addr: a, Incarnation: w.GetIncarnation()}}
	m.peers[name] = p
	return p, true, true
}

func (m *Members) setKnows(a netip.AddrPort, isKnown bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peerAt(a); p != nil {
		p.knowsSelf = isKnown
	}
}

func (m *Members) stamp() uint64 {
	if m.stamps == nil {
		return 0
	}
	return uint64(m.stamps.Next())
}

func (m *Members) observe(stamp uint64) {
	if m.stamps != nil {
		m.stamps.Observe(events.Stamp(stamp))
	}
}

func (m *Members) heardMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return m.clock.Since(t).Milliseconds() + 1
}

func ownershipOf(t *wire.Term, isOwner bool, heardMillis int64, now time.Time) Ownership {
	o := Ownership{Term: fleet.Term{Counter: t.GetCounter(), Host: t.GetHost()}, IsOwner: isOwner}
	if heardMillis > 0 {
		o.Heard = now.Add(-time.Duration(heardMillis) * time.Millisecond)
	}
	return o
}

func wireTerm(t fleet.Term) *wire.Term {
	if t.IsZero() {
		return nil
	}
	return &wire.Term{Counter: t.Counter, Host: t.Host}
}

func wireMember(m Member, isFull bool) *wire.Member {
	w := &wire.Member{
		Name:         m.Name,
		State:        string(m.State),
		Incarnation:  m.Incarnation,
		ConfigOffset: m.ConfigOffset,
		OnceComplete: m.OnceComplete,
	}
	if isFull {
		w.Domain = m.Domain
		w.Addr = m.Addr.String()
	}
	return w
}
