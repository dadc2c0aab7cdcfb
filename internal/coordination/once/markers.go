package once

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// marks are the markers that this host knows.
type marks struct {
	// force is the newest marker of the log.
	force *wire.OnceMarker
	// pending is a newer one that may yet come to the log.
	pending *wire.OnceMarker
	// last is the latest time that any marker promises.
	last int64
	// vouched is set when the group of force no longer binds, for its memory is too old or an operator vouched for it.
	vouched bool
}

// groups returns the markers whose hosts a claim has to meet.
func (m *marks) groups() []*wire.OnceMarker {
	var out []*wire.OnceMarker
	if m.force != nil && !m.vouched {
		out = append(out, m.force)
	}
	if m.pending != nil {
		out = append(out, m.pending)
	}
	return out
}

// until returns the latest time up to which some marker promises that no claim is kept outside the log.
func (m *marks) until() time.Time {
	return time.UnixMilli(m.last)
}

// holds reports whether the newest marker of the log still promises at a time that no claim is kept outside it.
func (m *marks) holds(at time.Time) bool {
	return m.vouched || at.Before(time.UnixMilli(m.force.GetUntilUnixMillis()))
}

// learn takes a marker that is not known to be in the log.
func (m *marks) learn(n *wire.OnceMarker) {
	m.last = max(m.last, n.GetUntilUnixMillis())
	if isNewerMarker(m.force, n) && isNewerMarker(m.pending, n) {
		m.pending = n
	}
}

// fold takes a marker that the log holds.
func (m *marks) fold(n *wire.OnceMarker) {
	m.last = max(m.last, n.GetUntilUnixMillis())
	if fleetTerm(n.GetTerm()).Less(fleetTerm(m.force.GetTerm())) {
		return
	}
	m.force = n
	m.vouched = false
	if !isNewerMarker(n, m.pending) {
		m.pending = nil
	}
}

// newest returns the newest marker, or nil.
func (m *marks) newest() *wire.OnceMarker {
	if m.pending != nil {
		return m.pending
	}
	return m.force
}

// isNewerMarker reports whether n comes after m, by term and then by the time that it promises.
func isNewerMarker(m, n *wire.OnceMarker) bool {
	if n == nil {
		return false
	}
	if m == nil {
		return true
	}
	a, c := fleetTerm(m.GetTerm()), fleetTerm(n.GetTerm())
	if a != c {
		return a.Less(c)
	}
	return m.GetUntilUnixMillis() < n.GetUntilUnixMillis()
}
