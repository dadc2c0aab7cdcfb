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
	// relayMembersEvery is how often members are repeated to a peer, which may have missed them.
	relayMembersEvery = 20 * time.Second
	// relayMembersTimes is how often new members are sent at first, since a heartbeat can be lost.
	relayMembersTimes = 3
	maxRelayed        = 4
)

// view is what is known of another failure domain.
type view struct {
	DomainView
	// sum identifies Members; seenByThem identifies the own members that the other side holds.
	sum        uint64
	seenByThem uint64
	firstHand  time.Time
	isRunning  bool
	// used is the usage of the failure domain, and told what it was told of the own one.
	used     map[string]int
	told     told
	rotation int
}

// relay is what a peer was last told of a failure domain.
type relay struct {
	heard   time.Time
	sum     uint64
	members time.Time
	// times counts how often the members of sum were sent.
	times int
	told  told
}

// learnDomains makes a view of each failure domain that contacts name, with their hosts until a digest comes.
func (m *Members) learnDomains() {
	for a, c := range m.contacts {
		if c.domain == "" || c.domain == m.self.Domain || c.name == "" {
			continue
		}
		v := m.viewOf(c.domain)
		isKnown := slices.ContainsFunc(v.Members, func(o Member) bool { return o.Name == c.name })
		if v.Heard.IsZero() && !isKnown {
			v.Members = append(v.Members, Member{Name: c.name, Domain: c.domain, Addr: a})
		}
	}
}

func (m *Members) viewOf(domain string) *view {
	v := m.views[domain]
	if v == nil {
		v = &view{DomainView: DomainView{Domain: domain}, told: told{isCoarse: true}}
		m.views[domain] = v
	}
	return v
}

// startDomains runs one goroutine for each other failure domain.
func (m *Members) startDomains(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learnDomains()
	for d, v := range m.views {
		if !v.isRunning {
			v.isRunning = true
			m.tasks.Go(func() { m.digestLoop(ctx, d) })
		}
	}
}

// digestLoop exchanges digests with one failure domain. One exchange serves both, so the lesser name of the two
// domains sends and the other is the backup; within a domain one usable host sends.
func (m *Members) digestLoop(ctx context.Context, domain string) {
	for ctx.Err() == nil {
		if m.isDigestDue(domain) {
			m.sendDigest(ctx, domain)
		}
		_ = m.clock.Sleep(ctx, m.digestEvery)
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
	limit := time.Duration(backupShare * float64(m.digestEvery))
	return m.clock.Since(m.viewOf(domain).Heard) > limit
}

// senderFor returns the usable host of the own failure domain that exchanges digests with another one.
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
		a, ok := m.target(domain)
		if !ok {
			return
		}
		if m.exchange(ctx, domain, a) {
			return
		}
		m.mu.Lock()
		m.viewOf(domain).rotation++
		m.mu.Unlock()
	}
}

func (m *Members) target(domain string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.viewOf(domain)
	var as []netip.AddrPort
	for _, o := range v.Members {
		as = append(as, o.Addr)
	}
	isStale := m.clock.Since(v.Heard) > 2*m.digestEvery
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

func (m *Members) exchange(ctx context.Context, domain string, a netip.AddrPort) bool {
	c, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	var r wire.DigestReply
	m.scope.Counter("digests").Inc(1)
	if err := m.peersPort.Call(c, a, "Peer.Digest", m.digest(domain), &r); err != nil {
		m.scope.Counter("digest_errors").Inc(1)
		return false
	}
	m.observe(r.GetDigest().GetClock())
	m.takeDigest(r.GetDigest(), true)
	m.hintFrom(r.GetDigest())
	return r.GetDigest().GetDomain() == domain
}

// Digest answers a host of another failure domain with the own digest.
func (m *Members) Digest(_ context.Context, d *wire.Digest, r *wire.DigestReply) error {
	m.observe(d.GetClock())
	m.takeDigest(d, true)
	m.hintFrom(d)
	r.Digest = m.digest(d.GetDomain())
	return nil
}

// digest sums the own failure domain up; members are left out where the receiver holds them.
func (m *Members) digest(domain string) *wire.Digest {
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
	d.Clock = m.stamp()
	v := m.viewOf(domain)
	d.SeenSum = v.sum
	d.Usage = v.told.pick(m.clock.Now(), used)
	if v.seenByThem == d.MembersSum {
		d.Members = nil
	}
	return d
}

// takeDigest takes a digest in that came from its own failure domain, or was passed on by a peer.
func (m *Members) takeDigest(d *wire.Digest, isFirstHand bool) {
	if d.GetDomain() == "" || d.GetDomain() == m.self.Domain {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	v := m.viewOf(d.GetDomain())
	v.Heard = now
	if isFirstHand {
		v.firstHand = now
		v.seenByThem = d.GetSeenSum()
	}
	v.Term = fleet.Term{Counter: d.GetTerm().GetCounter(), Host: d.GetTerm().GetHost()}
	v.ConfigOffset = d.GetConfigOffset()
	v.FreeAccelerators = int(d.GetFreeAccelerators())
	v.Accelerators = int(d.GetAccelerators())
	v.UrgentWait = time.Duration(d.GetUrgentWaitMillis()) * time.Millisecond
	v.NormalWait = time.Duration(d.GetNormalWaitMillis()) * time.Millisecond
	v.QuietWait = time.Duration(d.GetQuietWaitMillis()) * time.Millisecond
	if d.GetUsage() != nil {
		v.used = applyUsage(v.used, d.GetUsage())
		m.elsewhere.isStale = true
	}
	if len(d.GetMembers()) > 0 {
		v.sum = d.GetMembersSum()
		v.Members = m.membersOf(d)
	} else if v.sum != d.GetMembersSum() {
		v.sum = 0
	}
}

func (m *Members) membersOf(d *wire.Digest) []Member {
	var ms []Member
	for _, w := range d.GetMembers() {
		a, err := netip.ParseAddrPort(w.GetAddr())
		if err != nil {
			continue
		}
		m.learn(a, w.GetName(), d.GetDomain(), m.clock.Now())
		ms = append(ms, Member{
			Name: w.GetName(), Domain: d.GetDomain(), Addr: a, State: State(w.GetState()), LastHeard: m.clock.Now(),
		})
	}
	return ms
}
