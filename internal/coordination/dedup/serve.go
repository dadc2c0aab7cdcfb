package dedup

import (
	"context"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/cespare/xxhash/v2"
)

// ServeClaim stores claims and outcomes for the owner of the failure domain; an older owner is only told the newer term.
func (l *Ledger) ServeClaim(_ context.Context, q *wire.ClaimRequest, r *wire.ClaimReply) error {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := fleetTerm(q.GetTerm())
	r.Term = termOf(l.term)
	if m := l.markers.newest(); isNewerMarker(q.GetMarker(), m) {
		r.Marker = m
	}
	if t.Less(l.term) && !l.disabled.terms {
		return nil
	}
	l.term = t
	r.Term = q.GetTerm()
	for _, c := range q.GetClaims() {
		e := l.acceptClaim(c)
		if e == nil {
			continue
		}
		r.Held = append(r.Held, e.claim)
		if e.outcome != nil {
			r.HeldOutcomes = append(r.HeldOutcomes, e.outcome)
		}
	}
	for _, o := range q.GetOutcomes() {
		l.acceptOutcome(o)
	}
	if m := q.GetMarker(); m != nil {
		l.markers.observe(m)
	}
	if q.GetAsOfUnixMillis() > 0 {
		r.Digest = l.digest(q.GetAsOfUnixMillis())
		if r.GetDigest() == q.GetDigest() {
			l.completeness.markComplete()
		}
	}
	r.Complete = l.completeness.isComplete(now)
	return nil
}

// ServeClaims returns all claims and outcomes of this host, and the newest markers that it knows.
func (l *Ledger) ServeClaims(_ context.Context, _ *wire.ClaimsRequest, r *wire.ClaimsReply) error {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		r.Claims = append(r.Claims, e.claim)
		if e.outcome != nil {
			r.Outcomes = append(r.Outcomes, e.outcome)
		}
	}
	r.Complete = l.completeness.fetched || l.completeness.isComplete(now)
	r.Marker = l.markers.newest()
	if !l.markers.waived {
		r.Logged = l.markers.logged
	}
	return nil
}

// Entries left out of a digest: claims and outcomes that are so young that they may still be under way to a host, and entries
// so close to their expiry that one host may have deleted them before another.
const (
	digestMinAgeMillis      = 2_000
	digestMinLifetimeMillis = 60_000
)

// digest returns the digest of the entries that every complete host holds as of a time; the caller holds the lock.
func (l *Ledger) digest(asOf int64) uint64 {
	var sum uint64
	for k, e := range l.entries {
		c := e.claim
		if c.GetClaimedUnixMillis() > asOf-digestMinAgeMillis {
			continue
		}
		if x := e.expires(l.bounds.Lifetime); !x.IsZero() && x.UnixMilli() < asOf+digestMinLifetimeMillis {
			continue
		}
		// Addition makes the digest independent of the order of iteration.
		sum += score(k.organisation, k.key, claimName(c))
		if o := e.outcome.GetOutcome(); o != nil && o.GetFinishedUnixMillis() <= asOf-digestMinAgeMillis {
			sum += xxhash.Sum64String(o.GetKind())
		}
	}
	return sum
}
