package once

import (
	"context"
	"fmt"
	"sync"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// path is the way in which a claim is kept.
type path int

const (
	withLog path = iota
	offLog
)

// need returns how many hosts of a group of n must hold a claim.
//
// Any two claims of a key meet: two in the log by its order, two outside it or one of each in a host that holds both.
func (p path) need(n int) int {
	if p == offLog {
		return max(2, n-1)
	}
	return min(2, max(1, n-1))
}

// holders are the hosts that took a request and hold everything.
type holders map[string]bool

// spread sends a request to all live peers and returns those that hold everything, this host included.
//
// It fails when a peer has seen a newer term or holds another claim for a claimed key, which is then entered here.
func (b *Book) spread(ctx context.Context, q *wire.ClaimRequest) (holders, error) {
	hs := holders{}
	if b.isWhole() {
		hs[b.host] = true
	}
	if b.off.peers {
		return hs, nil
	}
	ps := b.peers()
	rs := make([]*wire.ClaimReply, len(ps))
	var wg sync.WaitGroup
	for i, p := range ps {
		wg.Go(func() { rs[i] = b.askPeer(ctx, p, q) })
	}
	wg.Wait()
	var first error
	for i, r := range rs {
		if r == nil {
			continue
		}
		if err := b.takeReply(q, r); err != nil {
			first = err
			continue
		}
		if r.GetComplete() {
			hs[ps[i].Name] = true
		}
	}
	return hs, first
}

// askPeer returns the reply of a peer, or nil when there is none.
func (b *Book) askPeer(ctx context.Context, p Peer, q *wire.ClaimRequest) *wire.ClaimReply {
	c, cancel := context.WithTimeout(ctx, b.bounds.Call)
	defer cancel()
	var r wire.ClaimReply
	if err := b.call.Call(c, p.Addr, "Peer.Claim", q, &r); err != nil {
		return nil
	}
	return &r
}

// takeReply learns from a peer's reply and returns why the request cannot stand.
func (b *Book) takeReply(q *wire.ClaimRequest, r *wire.ClaimReply) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := r.GetMarker(); m != nil {
		b.marks.learn(m)
	}
	if n := fleetTerm(r.GetTerm()); fleetTerm(q.GetTerm()).Less(n) && !b.off.terms {
		return ErrTermPassed{Term: n}
	}
	for _, c := range r.GetHeld() {
		b.yield(c)
	}
	for _, o := range r.GetHeldOutcomes() {
		b.acceptOutcome(o)
	}
	if len(r.GetHeld()) > 0 {
		b.stats.conflicts.Inc(1)
		c := r.GetHeld()[0]
		return claimedBy(b.entries[idOf(c.GetOrganisation(), c.GetKey())])
	}
	return nil
}

// yield replaces what this host has for a key by the claim that a peer held first; the caller holds the lock.
func (b *Book) yield(c *wire.OnceClaim) {
	k := idOf(c.GetOrganisation(), c.GetKey())
	e, ok := b.entries[k]
	if ok && (isSame(e.claim, c) || hasFreed(e.claim, claimName(c)) || !e.claimLogged.IsZero()) {
		return
	}
	b.put(k, &entry{claim: c})
}

// enough returns ErrMemoryMissing unless the holders are so many that any other claim of the domain meets them.
func (b *Book) enough(hs holders, p path) error {
	if b.off.group {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	gs := b.marks.groups()
	if len(gs) == 0 && !hs[b.host] {
		return ErrMemoryMissing{Why: b.memory.why, Until: b.memory.until}
	}
	for _, g := range gs {
		have, members := 0, 0
		for _, h := range g.GetHosts() {
			if h != b.host && b.gone(h) {
				continue
			}
			members++
			if hs[h] {
				have++
			}
		}
		if members == 0 && hs[b.host] {
			continue
		}
		if have < p.need(members) {
			why := fmt.Sprintf("%d of the %d hosts that hold the claims answer, %d are needed", have, members, p.need(members))
			return ErrMemoryMissing{Why: why}
		}
	}
	return nil
}

// mayStayOffLog returns ErrMemoryMissing unless a claim may be kept by the hosts alone, for the log failed with cause.
func (b *Book) mayStayOffLog(hs holders, cause error) error {
	if err := b.enough(hs, offLog); err != nil {
		return fmt.Errorf("%w (%w)", err, cause)
	}
	others := len(hs)
	if hs[b.host] {
		others--
	}
	if others < 1 && !b.off.peers {
		return fmt.Errorf("%w (%w)", ErrMemoryMissing{Why: "no other host holds the claims"}, cause)
	}
	b.mu.Lock()
	until := b.marks.until().Add(b.bounds.Skew)
	// A host that reads a log without any marker counts on it that no claim was kept outside.
	grouped := b.marks.force != nil && !b.marks.vouched
	b.mu.Unlock()
	if !grouped && !b.off.group {
		return fmt.Errorf("%w (%w)", ErrMemoryMissing{Why: "no marker in the log names the hosts that hold the claims"}, cause)
	}
	if !b.off.marker && !b.clock.Now().After(until) {
		return fmt.Errorf("%w (%w)", ErrMemoryMissing{Until: until, Why: "the log is down and its marker still holds"}, cause)
	}
	return nil
}
