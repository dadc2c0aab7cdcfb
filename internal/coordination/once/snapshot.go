package once

import (
	"context"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// TakeSnapshot adds all claims and outcomes to the snapshot that a joining host asks for.
func (b *Book) TakeSnapshot(r *wire.SnapshotReply) error {
	var x wire.ClaimsReply
	if err := b.ServeClaims(context.Background(), &wire.ClaimsRequest{Domain: b.domain}, &x); err != nil {
		return err
	}
	r.Claims = x.GetClaims()
	r.Outcomes = x.GetOutcomes()
	r.OnceComplete = x.GetComplete()
	return nil
}

// LoadSnapshot takes the claims and outcomes of a peer's snapshot; those of other failure domains are left out.
func (b *Book) LoadSnapshot(r *wire.SnapshotReply) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	isOurs := false
	for _, c := range r.GetClaims() {
		if c.GetDomain() == b.domain {
			isOurs = true
			b.acceptClaim(c)
		}
	}
	for _, o := range r.GetOutcomes() {
		if o.GetDomain() == b.domain {
			b.acceptOutcome(o)
		}
	}
	b.memory.fetched = b.memory.fetched || (isOurs && r.GetOnceComplete())
	return nil
}
