package member

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/events"
)

const (
	watchEvery   = 100 * time.Millisecond
	pauseGap     = 500 * time.Millisecond
	slowInterval = time.Second
	forgetAfter  = 10 * time.Minute
	forgetLate   = 24 * time.Hour
	maxContacts  = 1024
	// backupShare is how many intervals the other side of a pair waits for a heartbeat before it sends its own.
	backupShare = 3.0 / 2
)

// contact is an address at which a host is or was; Domain is empty until the host has said it.
type contact struct {
	addr   netip.AddrPort
	domain string
	name   string
	isSeed bool
	// lastSign is when the address was last heard from or listed.
	lastSign time.Time
	stop     context.CancelFunc
	// wake ends the wait for the next heartbeat, since the host at the address has just come up.
	wake chan struct{}
}

// watchLoop starts and stops the goroutines of contacts and domains, and turns silence into suspicion and removal.
func (m *Members) watchLoop(ctx context.Context) {
	last := m.clock.Now()
	for ctx.Err() == nil {
		now := m.clock.Now()
		if now.Sub(last) > pauseGap {
			m.noticePause(now)
		}
		last = now
		m.learnSeeds(now)
		m.startContacts(ctx)
		m.startDomains(ctx)
		m.judge()
		_ = m.clock.Sleep(ctx, watchEvery)
	}
}

func (m *Members) noticePause(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.floor = now
	m.scope.Counter("pauses").Inc(1)
}

func (m *Members) learnSeeds(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.seeds {
		if c := m.learn(a, "", "", now); c != nil {
			c.isSeed = true
		}
	}
}

// learn remembers an address; it returns nil for the own one or when too many are known.
func (m *Members) learn(a netip.AddrPort, name, domain string, now time.Time) *contact {
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
	c.lastSign = now
	return c
}

// startContacts runs one goroutine for each contact of the own failure domain and forgets the long silent ones.
func (m *Members) startContacts(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := forgetLate
	if m.isListingFresh() {
		limit = forgetAfter
	}
	for a, c := range m.contacts {
		isNear := c.domain == "" || c.domain == m.self.Domain
		isOld := !c.isSeed && m.clock.Since(c.lastSign) > limit
		if c.stop != nil && (!isNear || isOld) {
			c.stop()
			c.stop = nil
		}
		if isOld {
			m.forget(a, c)
			continue
		}
		if isNear && c.stop == nil {
			cc, stop := context.WithCancel(ctx)
			c.stop = stop
			m.tasks.Go(func() { m.beatLoop(cc, a, c.wake) })
		}
	}
}

func (c *contact) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (m *Members) forget(a netip.AddrPort, c *contact) {
	delete(m.contacts, a)
	if p := m.peers[c.name]; p != nil && p.Addr == a {
		delete(m.peers, c.name)
	}
}

// beatLoop sends heartbeats to one address until ctx ends.
func (m *Members) beatLoop(ctx context.Context, a netip.AddrPort, wake <-chan struct{}) {
	for ctx.Err() == nil {
		start := m.clock.Now()
		isTurn, pace := m.turn(a)
		if isTurn {
			m.beat(ctx, a)
			_, pace = m.turn(a)
		}
		select {
		case <-m.clock.After(pace - m.clock.Since(start)):
		case <-wake:
		case <-ctx.Done():
		}
	}
}

// turn reports whether this host should send a heartbeat now, and when to look again. One exchange is a sign of life
// for both ends, so only one side of a pair sends: the owner, else the lesser name; the other is the backup.
func (m *Members) turn(a netip.AddrPort) (bool, time.Duration) {
	isOwner := m.ownership().IsOwner
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerAt(a)
	if p == nil || p.isRemoved {
		return true, slowInterval
	}
	isCaller := m.self.Name < p.Name
	if isOwner != p.Ownership.IsOwner {
		isCaller = isOwner
	}
	if isCaller || isOwner || !p.knowsSelf {
		return true, m.interval
	}
	limit := time.Duration(backupShare * float64(m.interval))
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

// judge suspects and removes silent peers.
func (m *Members) judge() {
	m.mu.Lock()
	var down, suspect []string
	for _, p := range m.peers {
		silence := m.silence(p)
		switch {
		case silence > m.removeAfter && !p.isRemoved:
			p.isRemoved = true
			p.IsSuspect = true
			p.knowsSelf = false
			down = append(down, p.Name)
		case silence > m.suspectAfter && !p.IsSuspect:
			p.IsSuspect = true
			suspect = append(suspect, p.Name)
		}
	}
	m.mu.Unlock()
	for _, n := range suspect {
		m.scope.Counter("suspected").Inc(1)
		m.addEvent(events.MemberSuspect, n+" is silent")
	}
	for _, n := range down {
		m.scope.Counter("removed").Inc(1)
		m.addEvent(events.MemberDown, n+" was silent for too long")
	}
}
