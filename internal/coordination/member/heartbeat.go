package member

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// sendHeartbeat sends one heartbeat and processes the reply.
func (m *Members) sendHeartbeat(ctx context.Context, a netip.AddrPort) {
	sent := m.clock.Now()
	c, cancel := context.WithTimeout(ctx, m.interval)
	defer cancel()
	var r wire.HeartbeatReply
	m.scope.Counter("heartbeats").Inc(1)
	if err := m.peersPort.Call(c, a, "Peer.Heartbeat", m.newHeartbeat(a), &r); err != nil {
		m.scope.Counter("heartbeat_errors").Inc(1)
		return
	}
	m.observeStamp(r.GetClock())
	o := ownershipOf(r.GetTerm(), r.GetOwner(), r.GetOwnerHeardMillis(), m.clock.Now())
	from, ok := m.recordHeartbeat(r.GetFrom(), o, a)
	if !ok {
		m.setKnowsSelf(a, false)
		return
	}
	m.setKnowsSelf(a, !r.GetUnknown())
	m.recordUsage(o, r.GetUsage())
	m.recordLoad(o, r.GetLoad())
	m.recordRelayedDigests(r.GetDigests())
	m.recordListing(r.GetListing())
	m.recordChanges(a, &r)
	m.onHeartbeatAck(sent, from)
}

// newHeartbeat builds a heartbeat for the host at an address; it carries the domain and address of this host only when the
// receiver does not know them.
func (m *Members) newHeartbeat(a netip.AddrPort) *wire.Heartbeat {
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
		OwnerHeardMillis: m.millisSince(s.Ownership.LastHeard),
		Clock:            m.nextStamp(),
		Sequence:         m.sequence,
		Digests:          m.digestsFor(p),
		Usage:            m.usageFor(p, s.Ownership, used),
		Load:             load,
	}
	if p != nil {
		h.ChangedAck = p.changesAck
	}
	h.WantListing, h.ListingAgeMillis = m.listingRequest(p)
	return h
}

// Heartbeat handles the heartbeat of a peer.
func (m *Members) Heartbeat(_ context.Context, h *wire.Heartbeat, r *wire.HeartbeatReply) error {
	m.observeStamp(h.GetClock())
	o := ownershipOf(h.GetTerm(), h.GetOwner(), h.GetOwnerHeardMillis(), m.clock.Now())
	addr, _ := netip.ParseAddrPort(h.GetFrom().GetAddr())
	from, isKnown := m.recordHeartbeat(h.GetFrom(), o, addr)
	m.recordUsage(o, h.GetUsage())
	m.recordLoad(o, h.GetLoad())
	m.recordRelayedDigests(h.GetDigests())
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
	r.OwnerHeardMillis = m.millisSince(s.Ownership.LastHeard)
	r.Clock = m.nextStamp()
	r.Unknown = !isKnown
	m.fillChanges(h, r, o, s.Ownership)
	if h.GetWantListing() {
		r.Listing = m.newWireListing(h.GetListingAgeMillis())
	}
	r.Digests = m.digestsFor(p)
	r.Usage = m.usageFor(p, s.Ownership, used)
	r.Load = load
	return nil
}

// recordHeartbeat records a heartbeat or a reply to one as evidence that its sender is live; it returns false when the
// sender has to repeat its domain and address.
func (m *Members) recordHeartbeat(w *wire.Member, o Ownership, a netip.AddrPort) (Member, bool) {
	m.mu.Lock()
	p, isNew, ok := m.findOrAddPeer(w, a)
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
	if c := m.addContact(p.Addr, p.Name, p.Domain, now); c != nil && isUp {
		c.wakeUp()
	}
	s := m.snapshot(p)
	m.mu.Unlock()
	if isUp {
		m.scope.Counter("joined").Inc(1)
		m.addEvent(events.MemberUp, s.Name+" is "+string(s.State))
	}
	if s.State == Leaving && !wasLeaving {
		m.addEvent(events.MemberLeaving, s.Name+" is leaving")
	}
	m.onHeartbeat(s)
	if s.ConfigOffset > m.configOffset() {
		m.onNewerOffset(s.Addr, s.ConfigOffset)
	}
	return s, true
}

// findOrAddPeer returns the peer that w describes. It returns nil for this host, for hosts of other domains and for stale
// incarnations; ok is false when w lacks the domain or address of a peer to add. The caller holds m.mu.
func (m *Members) findOrAddPeer(w *wire.Member, a netip.AddrPort) (p *peer, isNew, ok bool) {
	name, domain := w.GetName(), w.GetDomain()
	if name == "" || name == m.self.Name {
		return nil, false, true
	}
	if domain != "" && domain != m.self.Domain {
		m.addContact(a, name, domain, m.clock.Now())
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

func (m *Members) setKnowsSelf(a netip.AddrPort, isKnown bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peerAt(a); p != nil {
		p.knowsSelf = isKnown
	}
}

func (m *Members) nextStamp() uint64 {
	if m.stamps == nil {
		return 0
	}
	return uint64(m.stamps.Next())
}

func (m *Members) observeStamp(stamp uint64) {
	if m.stamps != nil {
		m.stamps.Observe(events.Stamp(stamp))
	}
}

func (m *Members) millisSince(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return m.clock.Since(t).Milliseconds() + 1
}

func ownershipOf(t *wire.Term, isOwner bool, heardMillis int64, now time.Time) Ownership {
	o := Ownership{Term: fleet.Term{Counter: t.GetCounter(), Host: t.GetHost()}, IsOwner: isOwner}
	if heardMillis > 0 {
		o.LastHeard = now.Add(-time.Duration(heardMillis) * time.Millisecond)
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
