package member

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
