package policy

import (
	"sort"
	"sync"
	"time"
)

// Member is a live host with the configuration that it has in force.
type Member struct {
	Name   string
	Domain string
	Offset uint64
}

// HostStatus says which configuration a host has in force, and since when.
type HostStatus struct {
	Name   string
	Offset uint64
	Since  time.Time
	Lags   bool
	// Behind is for how many nanoseconds in JSON the host has lacked the newest configuration; zero when it has it.
	Behind time.Duration
}

// DomainStatus says which configuration all hosts of a failure domain have in force, and since when.
type DomainStatus struct {
	Domain string
	Offset uint64
	Since  time.Time
	Lags   bool
	Hosts  []HostStatus
}

// Status is the configuration in force everywhere.
type Status struct {
	// Offset is the newest that any host has.
	Offset  uint64
	Since   time.Time
	Domains []DomainStatus
	// Alarm says why no change is accepted; it is empty when changes are.
	Alarm string
}

// inForce remembers since when each host has had its configuration.
type inForce struct {
	mu    sync.Mutex
	hosts map[string]HostStatus
	// newest and since say which offset is the newest that any host has, and when it was first seen.
	newest uint64
	since  time.Time
}

// observe notes what the members say, and forgets hosts that are gone.
func (f *inForce) observe(now time.Time, ms []Member) {
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

func (f *inForce) status(now time.Time, ms []Member) Status {
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

// add takes in a host; a failure domain has in force what its slowest host has, since that host has had it.
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

// Status says which configuration is in force per failure domain and host, since when, and who lags.
func (p *Policy) Status() Status {
	now := p.clock.Now()
	ms := p.members()
	p.inForce.observe(now, ms)
	s := p.inForce.status(now, ms)
	if err := p.check(); err != nil {
		s.Alarm = err.Error()
	}
	return s
}
