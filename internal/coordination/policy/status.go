package policy

import (
	"sort"
	"sync"
	"time"
)

// Member is a live host with the offset of the configuration that it has in force.
type Member struct {
	Name   string
	Domain string
	Offset uint64
}

// HostStatus describes the configuration that a host has in force.
type HostStatus struct {
	Name   string
	Offset uint64
	Since  time.Time
	Lags   bool
	// Behind is how long the host has lagged behind the newest configuration, zero if it does not; nanoseconds in JSON.
	Behind time.Duration
}

// DomainStatus describes the configuration that all hosts of a failure domain have in force.
type DomainStatus struct {
	Domain string
	Offset uint64
	Since  time.Time
	Lags   bool
	Hosts  []HostStatus
}

// Status describes which configuration is in force in each failure domain.
type Status struct {
	// Offset is that of the newest configuration on any host.
	Offset  uint64
	Since   time.Time
	Domains []DomainStatus
	// Alarm is the reason why no change is accepted; it is empty if changes are accepted.
	Alarm string
}

// hostTracker records since when each host has had its configuration in force.
type hostTracker struct {
	mu    sync.Mutex
	hosts map[string]HostStatus
	// newest is the newest offset on any host, and since is when it was first seen.
	newest uint64
	since  time.Time
}

// observe updates the offsets from the list of members, and drops hosts that are no longer listed.
func (f *hostTracker) observe(now time.Time, ms []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := make(map[string]HostStatus, len(ms))
	for _, m := range ms {
		h, ok := f.hosts[m.Name]
		if !ok || m.Offset > h.Offset {
			h = HostStatus{Name: m.Name, Offset: m.Offset, Since: now}
		}
		hosts[m.Name] = h
		if m.Offset > f.newest {
			f.newest = m.Offset
			f.since = now
		}
	}
	f.hosts = hosts
}

func (f *hostTracker) status(now time.Time, ms []Member) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{Offset: f.newest, Since: f.since}
	domains := map[string]*DomainStatus{}
	for _, m := range ms {
		h := f.hosts[m.Name]
		h.Lags = h.Offset < f.newest
		if h.Lags {
			h.Behind = now.Sub(f.since)
		}
		d, ok := domains[m.Domain]
		if !ok {
			d = &DomainStatus{Domain: m.Domain, Offset: h.Offset}
			domains[m.Domain] = d
		}
		d.add(h)
	}
	for _, d := range domains {
		sort.Slice(d.Hosts, func(i, j int) bool { return d.Hosts[i].Name < d.Hosts[j].Name })
		s.Domains = append(s.Domains, *d)
	}
	sort.Slice(s.Domains, func(i, j int) bool { return s.Domains[i].Domain < s.Domains[j].Domain })
	return s
}

// add includes a host. The failure domain has the lowest offset of its hosts, since the time at which the last of them
// reached it.
func (d *DomainStatus) add(h HostStatus) {
	d.Hosts = append(d.Hosts, h)
	d.Lags = d.Lags || h.Lags
	if h.Offset < d.Offset {
		d.Offset = h.Offset
		d.Since = h.Since
	}
	if h.Offset == d.Offset && h.Since.After(d.Since) {
		d.Since = h.Since
	}
}

// Status returns the configuration in force per failure domain and host, and which of them lag.
func (p *Policy) Status() Status {
	now := p.clock.Now()
	ms := p.members()
	p.inForce.observe(now, ms)
	s := p.inForce.status(now, ms)
	if err := p.checkWritable(); err != nil {
		s.Alarm = err.Error()
	}
	return s
}
