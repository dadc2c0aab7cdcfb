package once

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
)

// Fold takes a record of the log in offset order; at is the log's own time of it.
func (b *Book) Fold(offset uint64, at time.Time, r *wire.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch x := r.GetBody().(type) {
	case *wire.Record_Claim:
		if x.Claim.GetDomain() == b.domain {
			b.foldClaim(at, x.Claim)
		}
	case *wire.Record_Outcome:
		if x.Outcome.GetDomain() == b.domain {
			b.foldOutcome(at, x.Outcome)
		}
	case *wire.Record_Marker:
		err := b.clears.fold(r.GetId(), at, x.Marker, b.off.guard)
		if x.Marker.GetDomain() == b.domain && err == nil {
			b.foldMarker(at, x.Marker)
		}
	}
	b.advance(offset)
}

// foldClaim lets the first claim of a key in the log win; the caller holds the lock.
func (b *Book) foldClaim(at time.Time, c *wire.OnceClaim) {
	k := idOf(c.GetOrganisation(), c.GetKey())
	e, ok := b.entries[k]
	switch {
	case ok && isSame(e.claim, c):
		e.claimLogged = at
	case ok && hasFreed(e.claim, claimName(c)):
	case !ok, e.isFree(), hasFreed(c, claimName(e.claim)):
		b.put(k, &entry{claim: c, claimLogged: at})
	case e.claimLogged.IsZero() && e.outcome == nil:
		b.stats.conflicts.Inc(1)
		b.put(k, &entry{claim: c, claimLogged: at})
	}
}

// foldOutcome notes an outcome that the log holds; the caller holds the lock.
func (b *Book) foldOutcome(at time.Time, o *wire.OnceOutcome) {
	e := b.acceptOutcome(o)
	if isSame(e.claim, claimOf(o)) && e.outcome.GetOutcome().GetKind() == o.GetOutcome().GetKind() {
		e.outcomeLogged = at
	}
}

// foldMarker notes a marker that the log holds; the caller holds the lock.
func (b *Book) foldMarker(at time.Time, m *wire.OnceMarker) {
	switch {
	case m.GetCleared():
		b.marks.vouched = true
		b.marks.pending = nil
		if b.memory.read {
			b.memory.clear()
		}
		b.note(events.OwnerChanged, "", "", fmt.Sprintf("operator %s cleared the missing claims of %s: %s",
			m.GetOperator(), b.domain, m.GetReason()))
	case m.GetFresh() && !b.marks.holds(at.Add(b.bounds.Skew)):
		// The last marker had lapsed, so that claims may have been kept outside the log before this one.
		return
	case m.GetUntilUnixMillis() > 0:
		b.marks.fold(m)
	}
}

// ReachedEnd tells that the log has been read from offset first to its end; first is the oldest that it kept then.
//
// The book is whole when no claim can be missing: nothing has ever expired and no marker stands, or the last marker
// still holds, so that no claim is kept outside the log.
func (b *Book) ReachedEnd(first uint64) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memory.read = true
	if b.memory.isWhole(now) {
		return
	}
	m := &b.marks
	switch {
	case m.force == nil && first <= 1, m.vouched, m.holds(now.Add(b.bounds.Skew)), b.off.memory:
		b.memory.clear()
	case b.memory.until.IsZero():
		b.memory.until = now.Add(b.bounds.Lifetime)
		b.memory.why = "the log has no marker that holds, so claims may have been kept outside it"
	}
}

// ReachedTail tells that the log has been read to its end, but for a part that a peer's snapshot took the place of.
//
// Only an operator's word in the part that was read makes the book whole; else its peers have to fill it.
func (b *Book) ReachedTail() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memory.read = true
	if b.marks.vouched {
		b.memory.clear()
		return
	}
	if !b.memory.whole {
		b.memory.why = "the log no longer holds its first records, and no peer has the claims"
	}
}

// IsComplete reports whether this host has its memory of claims, from a peer or from the log.
func (b *Book) IsComplete() bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.memory.fetched || b.memory.isWhole(now)
}

func (b *Book) isWhole() bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.memory.whole && b.memory.isWhole(now) {
		// All that could be missing has outlived its keys, and the hosts of the old group have not come back.
		b.marks.vouched = true
		b.memory.clear()
	}
	return b.memory.whole
}
