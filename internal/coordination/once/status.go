package once

import "time"

// Status says whether a host of a failure domain may start work with idempotency keys.
type Status struct {
	Domain string
	Host   string
	// Owner is set on the host that owns the failure domain.
	Owner    bool
	Complete bool
	// Since is when the host began to lack claims; it is zero when none are missing.
	Since time.Time
	// Until is when claims are complete again by themselves; it is zero when that is not known.
	Until time.Time
	Why   string
}

// Status returns what this host knows of its claims.
func (b *Book) Status() Status {
	now := b.clock.Now()
	t, owns := b.owner()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Status{Domain: b.domain, Host: b.host, Owner: owns}
	switch {
	case owns && b.opened != t && b.failed.term == t:
		// What the owner heard from its peers and the log goes before its own memory.
		s.Since = b.failed.since
		s.Why = b.failed.err.Error()
		s.Until = b.memory.until
	case !b.memory.fetched && !b.memory.isWhole(now):
		s.Since = b.memory.since
		s.Why = b.memory.why
		s.Until = b.memory.until
	default:
		s.Complete = true
	}
	return s
}
