package dedup

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// markers are the markers that this host knows.
type markers struct {
	// logged is the newest marker in the log.
	logged *wire.OnceMarker
	// pending is a newer marker that peers know of and that may still reach the log.
	pending *wire.OnceMarker
	// latestUntil is the latest expiry of any known marker, in Unix milliseconds.
	latestUntil int64
	// waived is set when the group of logged no longer counts: all claims that it could hold have expired, or an operator
	// cleared the missing claims.
	waived bool
}

// requiredGroups returns the markers in whose groups a claim needs a quorum.
func (m *markers) requiredGroups() []*wire.OnceMarker {
	var out []*wire.OnceMarker
	if m.logged != nil && !m.waived {
		out = append(out, m.logged)
	}
	if m.pending != nil {
		out = append(out, m.pending)
	}
	return out
}

// validUntil returns the latest time up to which a known marker rules out claims outside the log.
func (m *markers) validUntil() time.Time {
	return time.UnixMilli(m.latestUntil)
}

// isValid reports whether the newest marker in the log has not expired at the given time, or its group is waived.
func (m *markers) isValid(at time.Time) bool {
	return m.waived || at.Before(time.UnixMilli(m.logged.GetUntilUnixMillis()))
}

// observe adds a marker that is not known to be in the log.
func (m *markers) observe(n *wire.OnceMarker) {
	m.latestUntil = max(m.latestUntil, n.GetUntilUnixMillis())
	if isNewerMarker(m.logged, n) && isNewerMarker(m.pending, n) {
		m.pending = n
	}
}

// fold adds a marker that is in the log.
func (m *markers) fold(n *wire.OnceMarker) {
	m.latestUntil = max(m.latestUntil, n.GetUntilUnixMillis())
	if fleetTerm(n.GetTerm()).Less(fleetTerm(m.logged.GetTerm())) {
		return
	}
	m.logged = n
	m.waived = false
	if !isNewerMarker(n, m.pending) {
		m.pending = nil
	}
}

// newest returns the newest marker, or nil if none is known.
func (m *markers) newest() *wire.OnceMarker {
	if m.pending != nil {
		return m.pending
	}
	return m.logged
}

// isNewerMarker reports whether n is newer than m, by term and then by expiry; nil is older than any marker.
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
