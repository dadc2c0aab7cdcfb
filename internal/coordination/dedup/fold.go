package dedup

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
)

// Fold applies a record of the log; records come in offset order, and at is the log's time of the record.
func (l *Ledger) Fold(offset uint64, at time.Time, r *wire.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch x := r.GetBody().(type) {
	case *wire.Record_Claim:
		if x.Claim.GetDomain() == l.domain {
			l.foldClaim(at, x.Claim)
		}
	case *wire.Record_Outcome:
		if x.Outcome.GetDomain() == l.domain {
			l.foldOutcome(at, x.Outcome)
		}
	case *wire.Record_Marker:
		err := l.clearings.fold(r.GetId(), at, x.Marker, l.disabled.clearGuard)
		if x.Marker.GetDomain() == l.domain && err == nil {
			l.foldMarker(at, x.Marker)
		}
	}
	l.advanceFold(offset)
}

// foldClaim applies a claim of the log, in which the first claim of a key wins; the caller holds the lock.
func (l *Ledger) foldClaim(at time.Time, c *wire.OnceClaim) {
	k := keyOf(c.GetOrganisation(), c.GetKey())
	e, ok := l.entries[k]
	switch {
	case ok && isSameAttempt(e.claim, c):
		e.claimLogged = at
	case ok && hasFreed(e.claim, claimName(c)):
	case !ok, e.isFree(), hasFreed(c, claimName(e.claim)):
		l.put(k, &entry{claim: c, claimLogged: at})
	case e.claimLogged.IsZero() && e.outcome == nil:
		l.stats.conflicts.Inc(1)
		l.put(k, &entry{claim: c, claimLogged: at})
	}
}

// foldOutcome applies an outcome of the log; the caller holds the lock.
func (l *Ledger) foldOutcome(at time.Time, o *wire.OnceOutcome) {
	e := l.acceptOutcome(o)
	if isSameAttempt(e.claim, impliedClaim(o)) && e.outcome.GetOutcome().GetKind() == o.GetOutcome().GetKind() {
		e.outcomeLogged = at
	}
}

// foldMarker applies a marker of the log; the caller holds the lock.
func (l *Ledger) foldMarker(at time.Time, m *wire.OnceMarker) {
	switch {
	case m.GetCleared():
		l.markers.waived = true
		l.markers.pending = nil
		if l.completeness.logRead {
			l.completeness.markComplete()
		}
		l.addEvent(events.OwnerChanged, "", "", fmt.Sprintf("operator %s cleared the missing claims of %s: %s",
			m.GetOperator(), l.domain, m.GetReason()))
	case m.GetFresh() && !l.markers.isValid(at.Add(l.bounds.Skew)):
		// The previous marker had expired, so claims may have been stored outside the log before this marker.
		return
	case m.GetUntilUnixMillis() > 0:
		l.markers.fold(m)
	}
}

// ReachedEnd is called when the log has been read from offset first, the oldest that it then held, to its end.
//
// The claims are complete if the log holds its first record and no marker, or if the newest marker is valid or waived, so that
// no claim is stored outside the log. Otherwise they are complete once the lifetime of a key has passed.
func (l *Ledger) ReachedEnd(first uint64) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completeness.logRead = true
	if l.completeness.isComplete(now) {
		return
	}
	m := &l.markers
	switch {
	case m.logged == nil && first <= 1, m.waived, m.isValid(now.Add(l.bounds.Skew)), l.disabled.completeness:
		l.completeness.markComplete()
	case l.completeness.until.IsZero():
		l.completeness.until = now.Add(l.bounds.Lifetime)
		l.completeness.reason = "the log has no valid marker, so claims may have been stored outside it"
	}
}

// ReachedTail is called when the log has been read to its end, except for a part that a peer's snapshot replaced.
//
// The claims are complete only if an operator cleared the missing ones in the part that was read; otherwise peers have to fill
// this host.
func (l *Ledger) ReachedTail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completeness.logRead = true
	if l.markers.waived {
		l.completeness.markComplete()
		return
	}
	if !l.completeness.complete {
		l.completeness.reason = "the first records of the log were not read, and no peer has filled this host"
	}
}

// IsComplete reports whether this host has recovered the claims of its failure domain, from a peer or from the log.
func (l *Ledger) IsComplete() bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completeness.fetched || l.completeness.isComplete(now)
}

// isComplete reports whether this host holds every claim; it waives the old group once all claims that may be missing have
// expired.
func (l *Ledger) isComplete() bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.completeness.complete && l.completeness.isComplete(now) {
		// The hosts of the old group have not come back within the lifetime of a key.
		l.markers.waived = true
		l.completeness.markComplete()
	}
	return l.completeness.complete
}
