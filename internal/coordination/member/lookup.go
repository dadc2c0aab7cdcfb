package member

import (
	"net/netip"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// IsListed reports whether the newest listing names a host; it returns true while there is no listing.
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

// AllWorkers returns all workers of the newest listing, those of remote failure domains included.
func (m *Members) AllWorkers() []fleet.Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	ws := make([]fleet.Worker, 0, len(m.listing.workers))
	for _, w := range m.listing.workers {
		ws = append(ws, w.Worker)
	}
	return ws
}

// FindAddr returns the address of a host known from a listing, a digest or a heartbeat.
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
