package member

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/events"
)

const (
	maintenanceInterval    = 100 * time.Millisecond
	pauseThreshold         = 500 * time.Millisecond
	probeInterval          = time.Second
	contactTTL             = 10 * time.Minute
	contactTTLStaleListing = 24 * time.Hour
	maxContacts            = 1024
	// backupFactor is the number of intervals that the passive host of a pair waits for a heartbeat before it sends one.
	backupFactor = 3.0 / 2
)

// contact is an address at which a host is or was reachable; domain and name are empty until they are known.
type contact struct {
	addr   netip.AddrPort
	domain string
	name   string
	isSeed bool
	// lastSeen is when the address was last heard from, listed or named by another host.
	lastSeen time.Time
	stop     context.CancelFunc
	// wake ends the wait for the next heartbeat, because the host at the address has just come up.
	wake chan struct{}
}

// maintenanceLoop starts and stops the goroutines of contacts and domains, and suspects and removes unresponsive peers.
func (m *Members) maintenanceLoop(ctx context.Context) {
	last := m.clock.Now()
	for ctx.Err() == nil {
		now := m.clock.Now()
		if now.Sub(last) > pauseThreshold {
			m.recordPause(now)
		}
		last = now
		m.addSeeds(now)
		m.startContacts(ctx)
		m.startDomains(ctx)
		m.checkLiveness()
		_ = m.clock.Sleep(ctx, maintenanceInterval)
	}
}

func (m *Members) recordPause(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resumedAt = now
	m.scope.Counter("pauses").Inc(1)
}

func (m *Members) addSeeds(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.seeds {
		if c := m.addContact(a, "", "", now); c != nil {
			c.isSeed = true
		}
	}
}

// addContact records an address; it returns nil for the address of this host, for an invalid one, and when maxContacts are
// known. The caller holds m.mu.
func (m *Members) addContact(a netip.AddrPort, name, domain string, now time.Time) *contact {
	if a == m.self.Addr || !a.IsValid() {
		return nil
	}
	c := m.contacts[a]
	if c == nil {
		if len(m.contacts) >= maxContacts {
			return nil
		}
		c = &contact{addr: a, wake: make(chan struct{}, 1)}
		m.contacts[a] = c
	}
	if domain != "" {
		c.domain = domain
	}
	if name != "" {
		c.name = name
	}
	c.lastSeen = now
	return c
}

// startContacts runs one goroutine for each contact that is in the local failure domain or whose domain is not known, and
// removes expired contacts.
func (m *Members) startContacts(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ttl := contactTTLStaleListing
	if m.isListingFresh() {
		ttl = contactTTL
	}
	for a, c := range m.contacts {
		isLocal := c.domain == "" || c.domain == m.self.Domain
		isExpired := !c.isSeed && m.clock.Since(c.lastSeen) > ttl
		if c.stop != nil && (!isLocal || isExpired) {
			c.stop()
			c.stop = nil
		}
		if isExpired {
			m.removeContact(a, c)
			continue
		}
		if isLocal && c.stop == nil {
			cc, stop := context.WithCancel(ctx)
			c.stop = stop
			m.tasks.Go(func() { m.heartbeatLoop(cc, a, c.wake) })
		}
	}
}

func (c *contact) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (m *Members) removeContact(a netip.AddrPort, c *contact) {
	delete(m.contacts, a)
	if p := m.peers[c.name]; p != nil && p.Addr == a {
		delete(m.peers, c.name)
	}
}

// heartbeatLoop sends heartbeats to one address until ctx is cancelled.
func (m *Members) heartbeatLoop(ctx context.Context, a netip.AddrPort, wake <-chan struct{}) {
	for ctx.Err() == nil {
		start := m.clock.Now()
		isDue, wait := m.nextHeartbeat(a)
		if isDue {
			m.sendHeartbeat(ctx, a)
			_, wait = m.nextHeartbeat(a)
		}
		select {
		case <-m.clock.After(wait - m.clock.Since(start)):
		case <-wake:
		case <-ctx.Done():
		}
	}
}

// nextHeartbeat reports whether this host should send a heartbeat now, and when to check again. One exchange shows both
// hosts that the other is live, so only one host of a pair sends: the owner, or else the one whose name sorts first. The
// other one sends only when heartbeats stay away.
func (m *Members) nextHeartbeat(a netip.AddrPort) (bool, time.Duration) {
	isOwner := m.ownership().IsOwner
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerAt(a)
	if p == nil || p.isRemoved {
		return true, probeInterval
	}
	isInitiator := m.self.Name < p.Name
	if isOwner != p.Ownership.IsOwner {
		isInitiator = isOwner
	}
	if isInitiator || isOwner || !p.knowsSelf {
		return true, m.interval
	}
	limit := time.Duration(backupFactor * float64(m.interval))
	return m.clock.Since(p.lastRequest) > limit, m.interval / 3
}

func (m *Members) peerAt(a netip.AddrPort) *peer {
	c := m.contacts[a]
	if c == nil || c.name == "" {
		return nil
	}
	p := m.peers[c.name]
	if p == nil || p.Addr != a {
		return nil
	}
	return p
}

// checkLiveness suspects and removes unresponsive peers.
func (m *Members) checkLiveness() {
	m.mu.Lock()
	var down, suspect []string
	for _, p := range m.peers {
		age := m.heartbeatAge(p)
		switch {
		case age > m.removeAfter && !p.isRemoved:
			p.isRemoved = true
			p.IsSuspect = true
			p.knowsSelf = false
			down = append(down, p.Name)
		case age > m.suspectAfter && !p.IsSuspect:
			p.IsSuspect = true
			suspect = append(suspect, p.Name)
		}
	}
	m.mu.Unlock()
	for _, n := range suspect {
		m.scope.Counter("suspected").Inc(1)
		m.addEvent(events.MemberSuspect, n+" suspected: no heartbeat received")
	}
	for _, n := range down {
		m.scope.Counter("removed").Inc(1)
		m.addEvent(events.MemberDown, n+" removed: no heartbeat received within the removal timeout")
	}
}
