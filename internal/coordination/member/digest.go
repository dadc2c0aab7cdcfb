package member

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/cespare/xxhash/v2"
)

const (
	digestTimeout = time.Second
	// relayMembersInterval is how often an unchanged member list is repeated to a peer, which may have missed it.
	relayMembersInterval = 20 * time.Second
	// initialMemberRelays is how many times in a row a new member list is sent, because a heartbeat can be lost.
	initialMemberRelays = 3
	// maxRelayedDigests limits the digests in one heartbeat or reply.
	maxRelayedDigests = 4
)

// view is the state kept for a remote failure domain.
type view struct {
	DomainView
	// membersSum is the checksum of Members; ackedSum is that of the local members that the remote domain holds.
	membersSum uint64
	ackedSum   uint64
	lastDirect time.Time
	isRunning  bool
	// usage is the usage of the remote failure domain, and sentUsage the local usage that was sent to it.
	usage     map[string]int
	sentUsage sentUsage
	rotation  int
}

// relayState is what was last relayed to a peer about a remote failure domain.
type relayState struct {
	viewAt        time.Time
	sum           uint64
	membersSentAt time.Time
	// membersSent counts how many times the member list with the checksum sum was sent.
	membersSent int
	sentUsage   sentUsage
}

// addDomains adds a view for each remote failure domain of the contacts; until a digest arrives, the contacts are its
// members. The caller holds m.mu.
func (m *Members) addDomains() {
	for a, c := range m.contacts {
		if c.domain == "" || c.domain == m.self.Domain || c.name == "" {
			continue
		}
		v := m.viewOf(c.domain)
		isKnown := slices.ContainsFunc(v.Members, func(o Member) bool { return o.Name == c.name })
		if v.LastHeard.IsZero() && !isKnown {
			v.Members = append(v.Members, Member{Name: c.name, Domain: c.domain, Addr: a})
		}
	}
}

func (m *Members) viewOf(domain string) *view {
	v := m.views[domain]
	if v == nil {
		v = &view{DomainView: DomainView{Domain: domain}, sentUsage: sentUsage{isCoarse: true}}
		m.views[domain] = v
	}
	return v
}

// startDomains runs one goroutine for each remote failure domain.
func (m *Members) startDomains(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addDomains()
	for d, v := range m.views {
		if !v.isRunning {
			v.isRunning = true
			m.tasks.Go(func() { m.digestLoop(ctx, d) })
		}
	}
}

// digestLoop exchanges digests with one failure domain. One exchange informs both domains, so the domain whose name sorts
// first sends; the other one sends only when digests stay away. Within a domain one usable host sends.
func (m *Members) digestLoop(ctx context.Context, domain string) {
	for ctx.Err() == nil {
		if m.isDigestDue(domain) {
			m.sendDigest(ctx, domain)
		}
		_ = m.clock.Sleep(ctx, m.digestInterval)
	}
}

func (m *Members) isDigestDue(domain string) bool {
	if m.senderFor(domain) != m.self.Name {
		return false
	}
	if m.self.Domain < domain {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := time.Duration(backupFactor * float64(m.digestInterval))
	return m.clock.Since(m.viewOf(domain).LastHeard) > limit
}

// senderFor returns the usable host of the local failure domain that exchanges digests with a remote one, chosen by
// rendezvous hashing.
func (m *Members) senderFor(domain string) string {
	best, weight := m.self.Name, uint64(0)
	for _, o := range m.Live(m.self.Domain) {
		if !o.IsUsable() {
			continue
		}
		if w := xxhash.Sum64String(domain + "/" + o.Name); w >= weight {
			best, weight = o.Name, w
		}
	}
	return best
}

func (m *Members) sendDigest(ctx context.Context, domain string) {
	for range 2 {
		a, ok := m.digestPeer(domain)
		if !ok {
			return
		}
		if m.exchangeDigest(ctx, domain, a) {
			return
		}
		m.mu.Lock()
		m.viewOf(domain).rotation++
		m.mu.Unlock()
	}
}

func (m *Members) digestPeer(domain string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.viewOf(domain)
	var as []netip.AddrPort
	for _, o := range v.Members {
		as = append(as, o.Addr)
	}
	isStale := m.clock.Since(v.LastHeard) > 2*m.digestInterval
	for a, c := range m.contacts {
		if c.domain == domain && isStale && !slices.Contains(as, a) {
			as = append(as, a)
		}
	}
	if len(as) == 0 {
		return netip.AddrPort{}, false
	}
	slices.SortFunc(as, netip.AddrPort.Compare)
	start := xxhash.Sum64String(m.self.Name) % uint64(len(as))
	return as[(int(start)+v.rotation)%len(as)], true
}

func (m *Members) exchangeDigest(ctx context.Context, domain string, a netip.AddrPort) bool {
	c, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	var r wire.DigestReply
	m.scope.Counter("digests").Inc(1)
	if err := m.peersPort.Call(c, a, "Peer.Digest", m.newDigest(domain), &r); err != nil {
		m.scope.Counter("digest_errors").Inc(1)
		return false
	}
	m.observeStamp(r.GetDigest().GetClock())
	m.recordDigest(r.GetDigest(), true)
	m.reportConfigOffset(r.GetDigest())
	return r.GetDigest().GetDomain() == domain
}

// Digest handles a digest of a remote failure domain and replies with the local one.
func (m *Members) Digest(_ context.Context, d *wire.Digest, r *wire.DigestReply) error {
	m.observeStamp(d.GetClock())
	m.recordDigest(d, true)
	m.reportConfigOffset(d)
	r.Digest = m.newDigest(d.GetDomain())
	return nil
}

// newDigest builds the digest of the local failure domain; it omits the members when the receiver already holds them.
func (m *Members) newDigest(domain string) *wire.Digest {
	ms := m.Live(m.self.Domain)
	o := m.ownership()
	d := &wire.Digest{Domain: m.self.Domain, Term: wireTerm(o.Term), ConfigOffset: m.configOffset()}
	m.fillLoad(d, o)
	used := m.ownUsage(o)
	var sum xxhash.Digest
	for _, x := range ms {
		if x.IsSuspect {
			continue
		}
		w := &wire.Member{Name: x.Name, Addr: x.Addr.String(), State: string(x.State)}
		d.Members = append(d.Members, w)
		_, _ = sum.WriteString(w.Name + "|" + w.Addr + "|" + w.State + "\n")
	}
	d.MembersSum = sum.Sum64()
	m.mu.Lock()
	defer m.mu.Unlock()
	d.Clock = m.nextStamp()
	v := m.viewOf(domain)
	d.SeenSum = v.membersSum
	d.Usage = v.sentUsage.next(m.clock.Now(), used)
	if v.ackedSum == d.MembersSum {
		d.Members = nil
	}
	return d
}

// recordDigest updates the view of a remote failure domain; isDirect is set when the digest came from a host of that
// domain, and not through a peer.
func (m *Members) recordDigest(d *wire.Digest, isDirect bool) {
	if d.GetDomain() == "" || d.GetDomain() == m.self.Domain {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	v := m.viewOf(d.GetDomain())
	v.LastHeard = now
	if isDirect {
		v.lastDirect = now
		v.ackedSum = d.GetSeenSum()
	}
	v.Term = fleet.Term{Counter: d.GetTerm().GetCounter(), Host: d.GetTerm().GetHost()}
	v.ConfigOffset = d.GetConfigOffset()
	v.FreeAccelerators = int(d.GetFreeAccelerators())
	v.Accelerators = int(d.GetAccelerators())
	v.UrgentWait = time.Duration(d.GetUrgentWaitMillis()) * time.Millisecond
	v.NormalWait = time.Duration(d.GetNormalWaitMillis()) * time.Millisecond
	v.QuietWait = time.Duration(d.GetQuietWaitMillis()) * time.Millisecond
	if d.GetUsage() != nil {
		v.usage = applyUsage(v.usage, d.GetUsage())
		m.remoteUsage.isStale = true
	}
	if len(d.GetMembers()) > 0 {
		v.membersSum = d.GetMembersSum()
		v.Members = m.membersOf(d)
	} else if v.membersSum != d.GetMembersSum() {
		v.membersSum = 0
	}
}

func (m *Members) membersOf(d *wire.Digest) []Member {
	var ms []Member
	for _, w := range d.GetMembers() {
		a, err := netip.ParseAddrPort(w.GetAddr())
		if err != nil {
			continue
		}
		m.addContact(a, w.GetName(), d.GetDomain(), m.clock.Now())
		ms = append(ms, Member{
			Name: w.GetName(), Domain: d.GetDomain(), Addr: a, State: State(w.GetState()), LastHeard: m.clock.Now(),
		})
	}
	return ms
}
