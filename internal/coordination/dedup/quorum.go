package dedup

import (
	"context"
	"fmt"
	"sync"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// claimPath tells whether a claim is stored with or without the log, which determines its quorum.
type claimPath int

const (
	withLog claimPath = iota
	withoutLog
)

// quorum returns how many hosts of a group of n have to hold a claim.
//
// Any two claims of a key are seen to conflict: two in the log by their order, two outside it, or one of each, by a host that
// belongs to both quorums.
func (p claimPath) quorum(n int) int {
	if p == withoutLog {
		return max(2, n-1)
	}
	return min(2, max(1, n-1))
}

// holders are the hosts that accepted a request and hold every claim, by name.
type holders map[string]bool

// broadcast sends a request to all live peers and returns the holders, this host included.
//
// It fails if a peer has seen a newer term or holds another claim of a requested key; that claim is then adopted.
func (l *Ledger) broadcast(ctx context.Context, q *wire.ClaimRequest) (holders, error) {
	hs := holders{}
	if l.isComplete() {
		hs[l.host] = true
	}
	if l.disabled.peers {
		return hs, nil
	}
	ps := l.peers()
	rs := make([]*wire.ClaimReply, len(ps))
	var wg sync.WaitGroup
	for i, p := range ps {
		wg.Go(func() { rs[i] = l.callPeer(ctx, p, q) })
	}
	wg.Wait()
	var rejection error
	for i, r := range rs {
		if r == nil {
			continue
		}
		if err := l.mergeReply(q, r); err != nil {
			rejection = err
			continue
		}
		if r.GetComplete() {
			hs[ps[i].Name] = true
		}
	}
	return hs, rejection
}

// callPeer returns the reply of a peer, or nil if the call fails.
func (l *Ledger) callPeer(ctx context.Context, p Peer, q *wire.ClaimRequest) *wire.ClaimReply {
	c, cancel := context.WithTimeout(ctx, l.bounds.Call)
	defer cancel()
	var r wire.ClaimReply
	if err := l.call.Call(c, p.Addr, "Peer.Claim", q, &r); err != nil {
		return nil
	}
	return &r
}

// mergeReply stores what a peer's reply holds and returns an error if the peer rejected the request.
func (l *Ledger) mergeReply(q *wire.ClaimRequest, r *wire.ClaimReply) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := r.GetMarker(); m != nil {
		l.markers.observe(m)
	}
	if n := fleetTerm(r.GetTerm()); fleetTerm(q.GetTerm()).Less(n) && !l.disabled.terms {
		return ErrStaleTerm{Term: n}
	}
	for _, c := range r.GetHeld() {
		l.adoptClaim(c)
	}
	for _, o := range r.GetHeldOutcomes() {
		l.acceptOutcome(o)
	}
	if len(r.GetHeld()) > 0 {
		l.stats.conflicts.Inc(1)
		c := r.GetHeld()[0]
		return newErrClaimed(l.entries[keyOf(c.GetOrganisation(), c.GetKey())])
	}
	return nil
}

// adoptClaim replaces this host's claim of a key by the conflicting claim of a peer, unless this host's claim is in the log or
// replaces the peer's claim; the caller holds the lock.
func (l *Ledger) adoptClaim(c *wire.OnceClaim) {
	k := keyOf(c.GetOrganisation(), c.GetKey())
	e, ok := l.entries[k]
	if ok && (isSameAttempt(e.claim, c) || hasFreed(e.claim, claimName(c)) || !e.claimLogged.IsZero()) {
		return
	}
	l.put(k, &entry{claim: c})
}

// checkQuorum returns ErrClaimsMissing unless the holders form a quorum of every required group.
func (l *Ledger) checkQuorum(hs holders, p claimPath) error {
	if l.disabled.quorum {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	gs := l.markers.requiredGroups()
	if len(gs) == 0 && !hs[l.host] {
		return ErrClaimsMissing{Why: l.completeness.reason, Until: l.completeness.until}
	}
	for _, g := range gs {
		have, members := 0, 0
		for _, h := range g.GetHosts() {
			if h != l.host && l.isRemoved(h) {
				continue
			}
			members++
			if hs[h] {
				have++
			}
		}
		if members == 0 && hs[l.host] {
			continue
		}
		if have < p.quorum(members) {
			why := fmt.Sprintf("no quorum: %d of the %d hosts that hold the claims answer, %d are needed", have, members, p.quorum(members))
			return ErrClaimsMissing{Why: why}
		}
	}
	return nil
}

// checkWithoutLog returns ErrClaimsMissing unless a claim may be stored by the hosts alone; cause is the failure of the log.
func (l *Ledger) checkWithoutLog(hs holders, cause error) error {
	if err := l.checkQuorum(hs, withoutLog); err != nil {
		return fmt.Errorf("%w (%w)", err, cause)
	}
	others := len(hs)
	if hs[l.host] {
		others--
	}
	if others < 1 && !l.disabled.peers {
		return fmt.Errorf("%w (%w)", ErrClaimsMissing{Why: "no other host holds all claims"}, cause)
	}
	l.mu.Lock()
	until := l.markers.validUntil().Add(l.bounds.Skew)
	// A host that reads a log without a marker concludes that no claim was stored outside it.
	grouped := l.markers.logged != nil && !l.markers.waived
	l.mu.Unlock()
	if !grouped && !l.disabled.quorum {
		return fmt.Errorf("%w (%w)", ErrClaimsMissing{Why: "no marker in the log names the hosts that hold all claims"}, cause)
	}
	if !l.disabled.marker && !l.clock.Now().After(until) {
		return fmt.Errorf("%w (%w)", ErrClaimsMissing{Until: until, Why: "the log is down and its newest marker has not expired"}, cause)
	}
	return nil
}
