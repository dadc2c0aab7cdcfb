package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

const (
	tickInterval   = 100 * time.Millisecond
	pauseThreshold = 500 * time.Millisecond
)

// Run tracks and claims the ownership until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	last := o.clock.Now()
	for ctx.Err() == nil {
		now := o.clock.Now()
		if now.Sub(last) > pauseThreshold {
			o.handlePause(now)
		}
		last = now
		o.notifyLost()
		o.confirmWithoutPeers()
		o.refreshClaim()
		if o.shouldClaim() {
			o.claim(ctx)
			last = o.clock.Now()
		}
		select {
		case <-o.clock.After(tickInterval):
		case <-o.wake:
		case <-ctx.Done():
		}
	}
	o.resign()
	o.notifyLost()
	o.tasks.Wait()
	return fmt.Errorf("run owner: %w", ctx.Err())
}

func (o *Owner) handlePause(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resumedAt = now
	o.scope.Counter("pauses").Inc(1)
}

func (o *Owner) resign() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ownTerm.IsZero() {
		o.endTerm()
	}
}

func (o *Owner) notifyLost() {
	o.mu.Lock()
	lost := o.lostTerms
	o.lostTerms = nil
	top := o.highestTerm
	o.mu.Unlock()
	for _, t := range lost {
		o.scope.Counter("terms_lost").Inc(1)
		o.addEvent(events.OwnerChanged, fmt.Sprintf("term %s ends here, highest is %s", t, top))
		o.onEndTerm(t)
	}
}

// confirmWithoutPeers renews the lease of an owner when no peer can confirm it because all are unresponsive. After a
// pause of the process it waits until peers that do not answer would be suspected.
func (o *Owner) confirmWithoutPeers() {
	peers := o.peers()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ownTerm.IsZero() {
		return
	}
	now := o.clock.Now()
	if now.Sub(o.resumedAt) > o.suspectAfter && !hasResponsivePeer(peers) {
		o.lastConfirmed = now
	}
	isLeaseExpired := o.check() != nil
	if isLeaseExpired && !o.isLeaseExpired {
		o.scope.Counter("leases_lapsed").Inc(1)
		o.addEvent(events.OwnerLapsed, "lease of term "+o.ownTerm.String()+" may have lapsed")
	}
	o.isLeaseExpired = isLeaseExpired
}

func hasResponsivePeer(ms []member.Member) bool {
	for _, m := range ms {
		if !m.IsSuspect {
			return true
		}
	}
	return false
}

// shouldClaim reports whether the ownership is vacant and it is this host's turn by rank. A host that has just started or
// resumed listens for heartbeats first.
func (o *Owner) shouldClaim() bool {
	self, peers := o.self(), o.peers()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	isListening := now.Sub(o.resumedAt) <= o.suspectAfter
	if !o.ownTerm.IsZero() || self.State != member.Ready || isListening || (o.isOwnerAlive() && !o.isLeaving) {
		o.vacantSince = time.Time{}
		return false
	}
	if o.vacantSince.IsZero() {
		o.vacantSince = now
	}
	return now.Sub(o.vacantSince) >= time.Duration(o.rank(peers))*o.rankDelay
}

// rank returns the number of usable peers whose names sort before this host's name.
func (o *Owner) rank(peers []member.Member) int {
	r := 0
	for _, p := range peers {
		isGone := p.Name == o.highestTerm.Host && !o.isVacant
		if p.IsUsable() && !isGone && p.Name < o.host {
			r++
		}
	}
	return r
}

// claim claims the next counter: through the log if it answers in time, and without it otherwise.
func (o *Owner) claim(ctx context.Context) {
	start := o.clock.Now()
	o.mu.Lock()
	t := fleet.Term{Counter: o.highestTerm.Counter + 1, Host: o.host}
	r := o.record(t)
	o.isClaiming = true
	o.mu.Unlock()
	defer o.endClaim()
	o.scope.Counter("claims").Inc(1)
	isAgreed, isWritten := o.claimInLog(ctx, t, r)
	if isWritten && !isAgreed && !o.ignoresLogOrder {
		return
	}
	self := o.self()
	o.mu.Lock()
	isLate := o.clock.Since(start) > o.lease
	if ctx.Err() != nil || isLate || o.isBeaten(t, isAgreed) || self.State != member.Ready {
		o.mu.Unlock()
		return
	}
	o.startTerm(ctx, t, start)
	o.mu.Unlock()
	if !isWritten {
		o.scope.Counter("claims_by_rank").Inc(1)
		_ = o.queueRecord(r)
	}
	o.addEvent(events.OwnerChanged, fmt.Sprintf("this host owns %s in term %s", o.domain, t))
}

func (o *Owner) endClaim() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isClaiming = false
}

// isBeaten reports whether another term or a live earlier owner takes precedence over t. Without agreement through the
// log, any other claim of the same counter takes precedence.
func (o *Owner) isBeaten(t fleet.Term, isAgreed bool) bool {
	if isAgreed {
		return t.Less(o.highestTerm)
	}
	return o.highestTerm.Counter >= t.Counter && o.highestTerm != t || o.isOwnerAlive() && !o.isLeaving
}

// claimInLog appends a claim to the log; it is agreed if it is the first claim of its counter.
func (o *Owner) claimInLog(ctx context.Context, t fleet.Term, r *wire.Record) (isAgreed, isWritten bool) {
	if !o.isLogUp() {
		return false, false
	}
	c, cancel := context.WithTimeout(ctx, o.claimWait)
	defer cancel()
	if _, err := o.appendRecord(c, r); err != nil {
		o.scope.Counter("claim_errors").Inc(1)
		return false, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.highestLoggedTerm == t, true
}

// startTerm makes this host the owner; its lease starts at the time of the claim.
func (o *Owner) startTerm(ctx context.Context, t fleet.Term, start time.Time) {
	o.ownTerm = t
	if o.highestTerm.Less(t) {
		o.highestTerm = t
		o.highestTermAt = start
	}
	o.isVacant = false
	o.isLeaving = false
	o.isLeaseExpired = false
	o.lastConfirmed = start
	o.lastRefresh = start
	c, stop := context.WithCancel(ctx)
	o.cancelTerm = stop
	o.tasks.Go(func() { o.onStartTerm(c, t) })
	o.tasks.Go(func() { o.announce(c) })
}

// refreshClaim rewrites the claim before it expires from the log, which would lose the counter.
func (o *Owner) refreshClaim() {
	o.mu.Lock()
	if o.ownTerm.IsZero() || o.clock.Since(o.lastRefresh) < o.refreshInterval {
		o.mu.Unlock()
		return
	}
	o.lastRefresh = o.clock.Now()
	r := o.record(o.ownTerm)
	o.mu.Unlock()
	_ = o.queueRecord(r)
}

func (o *Owner) record(t fleet.Term) *wire.Record {
	o.claimCount++
	return &wire.Record{
		Id:         fmt.Sprintf("owner/%s/%s/%d/%d", o.domain, o.host, o.startedAt.UnixMilli(), o.claimCount),
		Host:       o.host,
		UnixMillis: o.clock.Now().UnixMilli(),
		Body: &wire.Record_Owner{Owner: &wire.OwnerClaim{
			Domain: o.domain,
			Term:   &wire.Term{Counter: t.Counter, Host: t.Host},
		}},
	}
}

// Fold applies a record of the log; the first claim of a counter wins, and later claims of the same counter are void.
func (o *Owner) Fold(_ uint64, _ time.Time, r *wire.Record) {
	c := r.GetOwner()
	if c == nil || c.GetDomain() != o.domain {
		return
	}
	t := fleet.Term{Counter: c.GetTerm().GetCounter(), Host: c.GetTerm().GetHost()}
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.Counter <= o.highestLoggedTerm.Counter && !o.ignoresLogOrder {
		if t != o.highestLoggedTerm {
			o.scope.Counter("claims_void").Inc(1)
		}
		return
	}
	o.highestLoggedTerm = t
	o.raiseTerm(t)
}
