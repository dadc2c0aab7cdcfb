package once

import (
	"context"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/cespare/xxhash/v2"
)

// ServeClaim holds claims and outcomes for the owner of the domain; an older owner gets the newer term only.
func (b *Book) ServeClaim(_ context.Context, q *wire.ClaimRequest, r *wire.ClaimReply) error {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	t := fleetTerm(q.GetTerm())
	r.Term = termOf(b.term)
	if m := b.marks.newest(); isNewerMarker(q.GetMarker(), m) {
		r.Marker = m
	}
	if t.Less(b.term) && !b.off.terms {
		return nil
	}
	b.term = t
	r.Term = q.GetTerm()
	for _, c := range q.GetClaims() {
		e := b.acceptClaim(c)
		if e == nil {
			continue
		}
		r.Held = append(r.Held, e.claim)
		if e.outcome != nil {
			r.HeldOutcomes = append(r.HeldOutcomes, e.outcome)
		}
	}
	for _, o := range q.GetOutcomes() {
		b.acceptOutcome(o)
	}
	if m := q.GetMarker(); m != nil {
		b.marks.learn(m)
	}
	if q.GetAsOfUnixMillis() > 0 {
		r.Digest = b.digest(q.GetAsOfUnixMillis())
		if r.GetDigest() == q.GetDigest() {
			b.memory.clear()
		}
	}
	r.Complete = b.memory.isWhole(now)
	return nil
}

// ServeClaims returns all that this host holds.
func (b *Book) ServeClaims(_ context.Context, _ *wire.ClaimsRequest, r *wire.ClaimsReply) error {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		r.Claims = append(r.Claims, e.claim)
		if e.outcome != nil {
			r.Outcomes = append(r.Outcomes, e.outcome)
		}
	}
	r.Complete = b.memory.fetched || b.memory.isWhole(now)
	r.Marker = b.marks.newest()
	if !b.marks.vouched {
		r.Logged = b.marks.force
	}
	return nil
}

// Margins around the time of a digest, in milliseconds: younger entries may be under way and older ones expire soon.
const (
	digestYoung = 2_000
	digestOld   = 60_000
)

// digest sums up the entries that every whole host holds as of a time; the caller holds the lock.
func (b *Book) digest(asOf int64) uint64 {
	var sum uint64
	for k, e := range b.entries {
		c := e.claim
		if c.GetClaimedUnixMillis() > asOf-digestYoung {
			continue
		}
		if x := e.expires(b.bounds.Lifetime); !x.IsZero() && x.UnixMilli() < asOf+digestOld {
			continue
		}
		// Addition makes the sum independent of the order of the entries.
		sum += score(k.organisation, k.key, claimName(c))
		if o := e.outcome.GetOutcome(); o != nil && o.GetFinishedUnixMillis() <= asOf-digestYoung {
			sum += xxhash.Sum64String(o.GetKind())
		}
	}
	return sum
}
