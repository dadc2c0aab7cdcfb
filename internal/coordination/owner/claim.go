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
	tickEvery = 100 * time.Millisecond
	pauseGap  = 500 * time.Millisecond
)

// Run follows and claims the ownership until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	last := o.clock.Now()
	for ctx.Err() == nil {
		now := o.clock.Now()
		if now.Sub(last) > pauseGap {
			o.noticePause(now)
		}
		last = now
		o.tellLost()
		o.confirmAlone()
		o.refreshClaim()
		if o.shouldClaim() {
			o.claim(ctx)
			last = o.clock.Now()
		}
		select {
		case <-o.clock.After(tickEvery):
		case <-o.wake:
		case <-ctx.Done():
		}
	}
	o.resign()
	o.tellLost()
	o.tasks.Wait()
	return fmt.Errorf("run owner: %w", ctx.Err())
}

func (o *Owner) noticePause(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.woke = now
	o.scope.Counter("pauses").Inc(1)
}

func (o *Owner) resign() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.mine.IsZero() {
		o.lose()
	}
}

func (o *Owner) tellLost() {
	o.mu.Lock()
	lost := o.lost
	o.lost = nil
	top := o.top
	o.mu.Unlock()
	for _, t := range lost {
		o.scope.Counter("terms_lost").Inc(1)
		o.addEvent(events.OwnerChanged, fmt.Sprintf("term %s ends here, highest is %s", t, top))
		o.onLose(t)
	}
}

// confirmAlone renews the lease of an owner that no peer could confirm, because all are silent; after a pause it
// first listens for as long as a peer needs to be suspected.
func (o *Owner) confirmAlone() {
	peers := o.peers()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.mine.IsZero() {
		return
	}
	now := o.clock.Now()
	if now.Sub(o.woke) > o.suspectAfter && !hasVoice(peers) {
		o.confirmed = now
	}
	isLapsed := o.check() != nil
	if isLapsed && !o.isLapsed {
		o.scope.Counter("leases_lapsed").Inc(1)
		o.addEvent(events.OwnerLapsed, "lease of term "+o.mine.String()+" may have lapsed")
	}
	o.isLapsed = isLapsed
}

func hasVoice(ms []member.Member) bool {
	for _, m := range ms {
		if !m.IsSuspect {
			return true
		}
	}
	return false
}

// shouldClaim reports whether nobody owns the failure domain and this host is the next in rank. A host that has just
// started or woken listens first.
func (o *Owner) shouldClaim() bool {
	self, peers := o.self(), o.peers()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	isQuiet := now.Sub(o.woke) <= o.suspectAfter
	if !o.mine.IsZero() || self.State != member.Ready || isQuiet || (o.isOwnerAlive() && !o.isLeaving) {
		o.vacantSince = time.Time{}
		return false
	}
	if o.vacantSince.IsZero() {
		o.vacantSince = now
	}
	return now.Sub(o.vacantSince) >= time.Duration(o.rank(peers))*o.rankStep
}

// rank counts the usable peers whose names come before the own.
func (o *Owner) rank(peers []member.Member) int {
	r := 0
	for _, p := range peers {
		isGone := p.Name == o.top.Host && !o.isVacant
		if p.IsUsable() && !isGone && p.Name < o.host {
			r++
		}
	}
	return r
}

// claim takes the next counter, through the log while it answers in time, else at once.
func (o *Owner) claim(ctx context.Context) {
	start := o.clock.Now()
	o.mu.Lock()
	t := fleet.Term{Counter: o.top.Counter + 1, Host: o.host}
	r := o.record(t)
	o.isClaiming = true
	o.mu.Unlock()
	defer o.endClaim()
	o.scope.Counter("claims").Inc(1)
	isAgreed, isWritten := o.claimInLog(ctx, t, r)
	if isWritten && !isAgreed && !o.ignoresOrder {
		return
	}
	self := o.self()
	o.mu.Lock()
	isLate := o.clock.Since(start) > o.lease
	if ctx.Err() != nil || isLate || o.isBeaten(t, isAgreed) || self.State != member.Ready {
		o.mu.Unlock()
		return
	}
	o.gain(ctx, t, start)
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

// isBeaten reports whether another term or the earlier owner stands against t; without the log any claim of the
// same counter does.
func (o *Owner) isBeaten(t fleet.Term, isAgreed bool) bool {
	if isAgreed {
		return t.Less(o.top)
	}
	return o.top.Counter >= t.Counter && o.top != t || o.isOwnerAlive() && !o.isLeaving
}

// claimInLog appends a claim; it is agreed on when it came first of its counter.
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
	return o.logTop == t, true
}

// gain makes this host the owner; the lease counts from when the claim was made.
func (o *Owner) gain(ctx context.Context, t fleet.Term, start time.Time) {
	o.mine = t
	if o.top.Less(t) {
		o.top = t
		o.topAt = start
	}
	o.isVacant = false
	o.isLeaving = false
	o.isLapsed = false
	o.confirmed = start
	o.refreshed = start
	c, stop := context.WithCancel(ctx)
	o.stop = stop
	o.tasks.Go(func() { o.onGain(c, t) })
	o.tasks.Go(func() { o.announce(c) })
}

// refreshClaim writes the claim again before the log's retention can forget the counter.
func (o *Owner) refreshClaim() {
	o.mu.Lock()
	if o.mine.IsZero() || o.clock.Since(o.refreshed) < o.refresh {
		o.mu.Unlock()
		return
	}
	o.refreshed = o.clock.Now()
	r := o.record(o.mine)
	o.mu.Unlock()
	_ = o.queueRecord(r)
}

func (o *Owner) record(t fleet.Term) *wire.Record {
	o.claims++
	return &wire.Record{
		Id:         fmt.Sprintf("owner/%s/%s/%d/%d", o.domain, o.host, o.started.UnixMilli(), o.claims),
		Host:       o.host,
		UnixMillis: o.clock.Now().UnixMilli(),
		Body: &wire.Record_Owner{Owner: &wire.OwnerClaim{
			Domain: o.domain,
			Term:   &wire.Term{Counter: t.Counter, Host: t.Host},
		}},
	}
}

// Fold takes a record of the log in; the first claim of a counter wins, later ones of it are void.
func (o *Owner) Fold(_ uint64, _ time.Time, r *wire.Record) {
	c := r.GetOwner()
	if c == nil || c.GetDomain() != o.domain {
		return
	}
	t := fleet.Term{Counter: c.GetTerm().GetCounter(), Host: c.GetTerm().GetHost()}
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.Counter <= o.logTop.Counter && !o.ignoresOrder {
		if t != o.logTop {
			o.scope.Counter("claims_void").Inc(1)
		}
		return
	}
	o.logTop = t
	o.observe(t)
}
