package once

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// memory tells whether claims may be missing on this host.
type memory struct {
	// whole is set when this host holds every claim, so that it counts as a holder.
	whole bool
	// fetched is set when the claims were copied from a peer that had its own memory.
	fetched bool
	// until is when all claims that can be missing have outlived their keys; zero when that is not known.
	until time.Time
	why   string
	// since is when this host began without its memory.
	since time.Time
	// read is set when the log has been read to its end once.
	read bool
}

func (m *memory) isWhole(now time.Time) bool {
	return m.whole || (!m.until.IsZero() && now.After(m.until))
}

func (m *memory) clear() {
	m.whole = true
	m.until = time.Time{}
	m.why = ""
}

// Join copies the claims of the live peers, which a host does before it is ready; it fails when no peer has its memory.
func (b *Book) Join(ctx context.Context) error {
	var last error
	found := false
	for _, p := range b.peers() {
		ok, err := b.fetch(ctx, p)
		if err != nil {
			last = err
		}
		found = found || ok
	}
	if found {
		b.mu.Lock()
		b.memory.fetched = true
		b.mu.Unlock()
		return nil
	}
	if last != nil {
		return fmt.Errorf("fetch claims: %w", last)
	}
	return ErrMemoryMissing{Why: "no live peer has the claims"}
}

// fetch copies the claims of one peer and reports whether that has its memory.
func (b *Book) fetch(ctx context.Context, p Peer) (bool, error) {
	c, cancel := context.WithTimeout(ctx, b.bounds.Log)
	defer cancel()
	var r wire.ClaimsReply
	if err := b.call.Call(c, p.Addr, "Peer.Claims", &wire.ClaimsRequest{Domain: b.domain}, &r); err != nil {
		return false, fmt.Errorf("fetch claims of %s: %w", p.Name, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range r.GetClaims() {
		b.acceptClaim(x)
	}
	for _, x := range r.GetOutcomes() {
		b.acceptOutcome(x)
	}
	if m := r.GetLogged(); m != nil && isNewerMarker(b.marks.force, m) {
		b.marks.fold(m)
	}
	if m := r.GetMarker(); m != nil {
		b.marks.learn(m)
	}
	return r.GetComplete(), nil
}

// Open makes sure that a new owner holds every claim of the domain; Claim calls it once in each term.
//
// It fences older owners off at the peers, merges what the peers hold, and fails with ErrMemoryMissing while so few of
// them answer that a claim could be overlooked.
func (b *Book) Open(ctx context.Context, t fleet.Term) error {
	select {
	case b.opening <- struct{}{}:
		defer func() { <-b.opening }()
	case <-ctx.Done():
		return fmt.Errorf("open claims: %w", ctx.Err())
	}
	opened, err := b.enter(t)
	if err != nil || opened {
		return err
	}
	if err := b.open(ctx, t); err != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		now := b.clock.Now()
		since := now
		if b.failed.term == t {
			since = b.failed.since
		}
		b.failed = failedOpen{term: t, since: since, at: now, err: err}
		return err
	}
	return nil
}

// openAgain is the time for which a failure to open the book answers all that ask.
const openAgain = 500 * time.Millisecond

// failedOpen is the last failure to open the book.
type failedOpen struct {
	term  fleet.Term
	since time.Time
	at    time.Time
	err   error
}

func (b *Book) open(ctx context.Context, t fleet.Term) error {
	hs, err := b.spread(ctx, &wire.ClaimRequest{Term: termOf(t)})
	if err != nil {
		return fmt.Errorf("open claims: %w", err)
	}
	if err := b.merge(ctx, hs); err != nil {
		return fmt.Errorf("open claims: %w", err)
	}
	fresh, err := b.settle(ctx, t, hs)
	if err != nil {
		return fmt.Errorf("open claims: %w", err)
	}
	b.mu.Lock()
	b.opened = t
	b.logFailed = true
	b.memory.clear()
	b.mu.Unlock()
	if fresh {
		// No claim can be held by the lost hosts of the old group, so a new group has to stand first.
		return b.renew(ctx, t)
	}
	return nil
}

// enter takes a term and reports whether the book is open in it already.
func (b *Book) enter(t fleet.Term) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.Less(b.term) && !b.off.terms {
		return false, ErrTermPassed{Term: b.term}
	}
	b.term = t
	if b.failed.term == t && b.clock.Since(b.failed.at) < openAgain {
		return false, b.failed.err
	}
	return b.opened == t, nil
}

// merge copies what the holders hold; one that does not answer no longer counts.
func (b *Book) merge(ctx context.Context, hs holders) error {
	for _, p := range b.peers() {
		if !hs[p.Name] {
			continue
		}
		if ok, err := b.fetch(ctx, p); err != nil || !ok {
			delete(hs, p.Name)
		}
	}
	return ctx.Err()
}

// settle decides whether the holders and the log together have every claim, and reports whether all holders are new.
func (b *Book) settle(ctx context.Context, t fleet.Term, hs holders) (bool, error) {
	if b.off.memory || (b.enough(hs, offLog) == nil && len(hs) > 1) {
		return false, nil
	}
	err := b.enough(hs, withLog)
	if err == nil {
		return false, b.barrier(ctx, t)
	}
	if b.isFresh(hs) {
		return true, nil
	}
	return false, err
}

// isFresh reports whether this host read the log while the last marker held and none of the marker's hosts is left.
func (b *Book) isFresh(hs holders) bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fresh || !hs[b.host] || !b.marks.holds(now.Add(b.bounds.Skew)) {
		return false
	}
	for _, h := range b.marks.force.GetHosts() {
		if hs[h] {
			return false
		}
	}
	return true
}

// barrier reads the log up to a record of its own, so that every claim in it is known.
func (b *Book) barrier(ctx context.Context, t fleet.Term) error {
	if b.append == nil {
		return ErrMemoryMissing{Why: "there is no log"}
	}
	r := b.record("barrier", t.String(), strconv.FormatInt(b.clock.Now().UnixMilli(), 10))
	r.Body = &wire.Record_Marker{Marker: &wire.OnceMarker{Domain: b.domain, Term: termOf(t)}}
	if err := b.appendAndRead(ctx, r); err != nil {
		return ErrMemoryMissing{Why: "too few hosts hold the claims and the log does not answer: " + err.Error()}
	}
	return nil
}
