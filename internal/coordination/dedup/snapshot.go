package dedup

import (
	"context"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// TakeSnapshot adds all claims and outcomes to the snapshot for a joining host.
func (l *Ledger) TakeSnapshot(r *wire.SnapshotReply) error {
	var x wire.ClaimsReply
	if err := l.ServeClaims(context.Background(), &wire.ClaimsRequest{Domain: l.domain}, &x); err != nil {
		return err
	}
	r.Claims = x.GetClaims()
	r.Outcomes = x.GetOutcomes()
	r.OnceComplete = x.GetComplete()
	return nil
}

// LoadSnapshot stores the claims and outcomes of a peer's snapshot that belong to this host's failure domain.
func (l *Ledger) LoadSnapshot(r *wire.SnapshotReply) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	isOurs := false
	for _, c := range r.GetClaims() {
		if c.GetDomain() == l.domain {
			isOurs = true
			l.acceptClaim(c)
		}
	}
	for _, o := range r.GetOutcomes() {
		if o.GetDomain() == l.domain {
			l.acceptOutcome(o)
		}
	}
	l.completeness.fetched = l.completeness.fetched || (isOurs && r.GetOnceComplete())
	return nil
}
