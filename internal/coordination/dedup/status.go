package dedup

import "time"

// Status reports whether claims may be missing on a host, in which case work with idempotency keys is refused.
type Status struct {
	Domain string
	Host   string
	// Owner is set on the host that owns the failure domain.
	Owner    bool
	Complete bool
	// Since is when claims began to be missing; zero if Complete is set.
	Since time.Time
	// Until is when the claims that may be missing have expired, so that the host is complete again; zero if that is not known.
	Until time.Time
	Why   string
}

// Status returns the state of the claims on this host.
func (l *Ledger) Status() Status {
	now := l.clock.Now()
	t, owns := l.owner()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{Domain: l.domain, Host: l.host, Owner: owns}
	switch {
	case owns && l.openedTerm != t && l.failed.term == t:
		// The owner's failure to open the ledger takes precedence over the completeness of its own claims.
		s.Since = l.failed.since
		s.Why = l.failed.err.Error()
		s.Until = l.completeness.until
	case !l.completeness.fetched && !l.completeness.isComplete(now):
		s.Since = l.completeness.since
		s.Why = l.completeness.reason
		s.Until = l.completeness.until
	default:
		s.Complete = true
	}
	return s
}
