package member

import (
	"net/netip"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// IsListed reports whether the platform's newest list names a host; it is true while no list has been read.
func (m *Members) IsListed(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listing.at.IsZero() {
		return true
	}
	for _, h := range m.listing.hosts {
		if h.Name == name {
			return true
		}
	}
	return false
}

// AllWorkers returns the workers of all failure domains, as the platform's newest list named them.
func (m *Members) AllWorkers() []fleet.Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	ws := make([]fleet.Worker, 0, len(m.listing.workers))
	for _, w := range m.listing.workers {
		ws = append(ws, w.Worker)
	}
	return ws
}

// FindAddr returns the address of a host that a list, a digest or a heartbeat has named.
func (m *Members) FindAddr(name string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for a, c := range m.contacts {
		if c.name == name {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}
