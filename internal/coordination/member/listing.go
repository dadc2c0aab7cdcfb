package member

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

const (
	listTimeout = 3 * time.Second
	// listingFreshFor is how long a listing counts as fresh, and the minimum time between two requests for the listing of the
	// same peer.
	listingFreshFor = time.Minute
	// minListingAgeGain is how much newer than the requester's a listing has to be to be sent.
	minListingAgeGain = 10 * time.Second
	// unlistedWorkerTTL is how long a worker that is no longer listed is kept as leaving before it is removed.
	unlistedWorkerTTL = 5 * time.Minute
)

// listing is the newest list of the platform, as read or as received from a peer. One received from a peer holds only the
// workers of the local failure domain.
type listing struct {
	at      time.Time
	hosts   []port.Host
	workers map[string]listedWorker
	leaving map[string]bool
}

type listedWorker struct {
	fleet.Worker
	lastListed time.Time
}

// Workers returns the workers of the local failure domain; one that is no longer listed stays for unlistedWorkerTTL, marked
// as leaving.
func (m *Members) Workers() []fleet.Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ws []fleet.Worker
	for _, w := range m.listing.workers {
		if w.Domain == m.self.Domain {
			ws = append(ws, w.Worker)
		}
	}
	return ws
}

func (m *Members) listLoop(ctx context.Context) {
	if m.hosts.List == nil {
		return
	}
	for ctx.Err() == nil {
		m.fetchListing(ctx)
		_ = m.clock.Sleep(ctx, m.listInterval)
	}
}

func (m *Members) fetchListing(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	start := m.clock.Now()
	l, err := m.hosts.List(c)
	if err != nil {
		m.scope.Counter("list_errors").Inc(1)
		return
	}
	m.applyListing(l, start)
}

// applyListing replaces the listing by one that was current at a time. It ignores a listing older than the present one, and
// an empty one after the first, which is a fault of the platform.
func (m *Members) applyListing(l port.Listing, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Before(m.listing.at) || (len(l.Hosts) == 0 && len(l.Workers) == 0 && !m.listing.at.IsZero()) {
		m.scope.Counter("lists_ignored").Inc(1)
		return
	}
	next := listing{at: at, hosts: l.Hosts, workers: make(map[string]listedWorker), leaving: make(map[string]bool)}
	for _, w := range l.Workers {
		next.workers[w.Name] = listedWorker{Worker: w, lastListed: at}
	}
	for name, w := range m.listing.workers {
		if _, ok := next.workers[name]; !ok && at.Sub(w.lastListed) < unlistedWorkerTTL {
			if !w.Leaving && w.Domain == m.self.Domain {
				m.addEvent(events.WorkerDown, fmt.Sprintf("%s is no longer in the platform's list of %d workers", name, len(l.Workers)))
			}
			w.Leaving = true
			next.workers[name] = w
		}
	}
	for _, h := range l.Hosts {
		if h.Leaving {
			next.leaving[h.Name] = true
		}
		m.addContact(h.Addr, h.Name, h.Domain, at)
	}
	m.listing = next
	m.addDomains()
	if m.trustsList {
		m.dropUnlisted(l.Hosts)
	}
}

func (m *Members) dropUnlisted(hs []port.Host) {
	listed := make(map[string]bool)
	for _, h := range hs {
		listed[h.Name] = true
	}
	for name, p := range m.peers {
		p.isRemoved = !listed[name]
	}
}

func (m *Members) isListingFresh() bool {
	return !m.listing.at.IsZero() && m.clock.Since(m.listing.at) < listingFreshFor
}

// listingRequest reports whether a heartbeat to p should request its listing, and the age in milliseconds of the present
// one, which the listing of p has to be newer than; 0 accepts any age. The caller holds m.mu.
func (m *Members) listingRequest(p *peer) (bool, int64) {
	if m.isListingFresh() {
		return false, 0
	}
	now := m.clock.Now()
	if m.listing.at.IsZero() {
		return true, 0
	}
	if p == nil || now.Sub(p.listingAskedAt) < listingFreshFor {
		return false, 0
	}
	p.listingAskedAt = now
	return true, now.Sub(m.listing.at).Milliseconds()
}

// newWireListing returns the listing, extended by the hosts known from heartbeats and digests, or nil when it is not
// sufficiently newer than ageMillis; 0 accepts any age. The caller holds m.mu.
func (m *Members) newWireListing(ageMillis int64) *wire.Listing {
	if m.listing.at.IsZero() {
		return nil
	}
	age := m.clock.Since(m.listing.at)
	if ageMillis > 0 && age.Milliseconds()+minListingAgeGain.Milliseconds() > ageMillis {
		return nil
	}
	l := &wire.Listing{AgeMillis: age.Milliseconds(), Domain: m.self.Domain}
	for _, h := range m.listing.hosts {
		s := Ready
		if h.Leaving {
			s = Leaving
		}
		l.Hosts = append(l.Hosts, wireMember(Member{Name: h.Name, Domain: h.Domain, Addr: h.Addr, State: s}, true))
	}
	for _, p := range m.peers {
		l.Hosts = append(l.Hosts, wireMember(p.Member, true))
	}
	for _, v := range m.views {
		for _, o := range v.Members {
			l.Hosts = append(l.Hosts, wireMember(o, true))
		}
	}
	for _, w := range m.listing.workers {
		if w.Domain == m.self.Domain {
			l.Workers = append(l.Workers, wireWorker(w.Worker))
		}
	}
	return l
}

// recordListing merges the listing received from a peer.
func (m *Members) recordListing(l *wire.Listing) {
	if l == nil {
		return
	}
	m.scope.Counter("listings_taken").Inc(1)
	var p port.Listing
	seen := make(map[string]bool)
	for _, h := range l.GetHosts() {
		a, err := netip.ParseAddrPort(h.GetAddr())
		if err != nil || seen[h.GetName()] {
			continue
		}
		seen[h.GetName()] = true
		isLeaving := h.GetState() == string(Leaving)
		p.Hosts = append(p.Hosts, port.Host{Name: h.GetName(), Domain: h.GetDomain(), Addr: a, Leaving: isLeaving})
	}
	if l.GetDomain() != m.self.Domain {
		// This host may have requested the listing before it knew that the sender is in a remote failure domain. Such a listing
		// holds none of the local workers, so applying it would mark them as leaving.
		m.addHosts(p.Hosts)
		return
	}
	for _, w := range l.GetWorkers() {
		p.Workers = append(p.Workers, fleetWorker(w))
	}
	m.applyListing(p, m.clock.Now().Add(-time.Duration(l.GetAgeMillis())*time.Millisecond))
}

// addHosts records hosts named by a remote failure domain.
func (m *Members) addHosts(hs []port.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range hs {
		m.addContact(h.Addr, h.Name, h.Domain, m.clock.Now())
	}
	m.addDomains()
}

func wireWorker(w fleet.Worker) *wire.WorkerInfo {
	return &wire.WorkerInfo{
		Name:         w.Name,
		Domain:       w.Domain,
		Rack:         w.Rack,
		Addr:         w.Addr.String(),
		Slots:        int32(w.Slots),
		Connections:  int32(w.Connections),
		Accelerators: int32(w.Accelerators),
		Processors:   int32(w.Processors),
		MemoryBytes:  int64(w.Memory),
		Leaving:      w.Leaving,
	}
}

func fleetWorker(w *wire.WorkerInfo) fleet.Worker {
	a, _ := netip.ParseAddrPort(w.GetAddr())
	return fleet.Worker{
		Name:         w.GetName(),
		Domain:       w.GetDomain(),
		Rack:         w.GetRack(),
		Addr:         a,
		Slots:        int(w.GetSlots()),
		Connections:  int(w.GetConnections()),
		Accelerators: int(w.GetAccelerators()),
		Processors:   int(w.GetProcessors()),
		Memory:       fleet.Bytes(w.GetMemoryBytes()),
		Leaving:      w.GetLeaving(),
	}
}
