package dedup

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// completeness tells whether claims may be missing on this host.
type completeness struct {
	// complete is set when this host holds every claim, so that it counts as a holder.
	complete bool
	// fetched is set when the claims were copied from a peer that had recovered its own.
	fetched bool
	// until is when all claims that may be missing have expired; zero if that is not known.
	until  time.Time
	reason string
	// since is when this host started without claims.
	since time.Time
	// logRead is set once the log has been read to its end.
	logRead bool
}

func (c *completeness) isComplete(now time.Time) bool {
	return c.complete || (!c.until.IsZero() && now.After(c.until))
}

func (c *completeness) markComplete() {
	c.complete = true
	c.until = time.Time{}
	c.reason = ""
}

// Join copies the claims of the live peers before the host becomes ready; it fails if no peer has recovered its own claims.
func (l *Ledger) Join(ctx context.Context) error {
	var last error
	found := false
	for _, p := range l.peers() {
		ok, err := l.fetchClaims(ctx, p)
		if err != nil {
			last = err
		}
		found = found || ok
	}
	if found {
		l.mu.Lock()
		l.completeness.fetched = true
		l.mu.Unlock()
		return nil
	}
	if last != nil {
		return fmt.Errorf("recover claims from peers: %w", last)
	}
	return ErrClaimsMissing{Why: "no live peer has the claims"}
}

// fetchClaims copies the claims of one peer and reports whether the peer has recovered its own.
func (l *Ledger) fetchClaims(ctx context.Context, p Peer) (bool, error) {
	c, cancel := context.WithTimeout(ctx, l.bounds.Log)
	defer cancel()
	var r wire.ClaimsReply
	if err := l.call.Call(c, p.Addr, "Peer.Claims", &wire.ClaimsRequest{Domain: l.domain}, &r); err != nil {
		return false, fmt.Errorf("fetch claims from host %s: %w", p.Name, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range r.GetClaims() {
		l.acceptClaim(x)
	}
	for _, x := range r.GetOutcomes() {
		l.acceptOutcome(x)
	}
	if m := r.GetLogged(); m != nil && isNewerMarker(l.markers.logged, m) {
		l.markers.fold(m)
	}
	if m := r.GetMarker(); m != nil {
		l.markers.observe(m)
	}
	return r.GetComplete(), nil
}

// Open makes sure that a new owner holds every claim of the failure domain; Claim calls it once in each term.
//
// It fences older owners at the peers and merges the peers' claims. It fails with ErrClaimsMissing while fewer peers than a
// quorum answer, since a claim could then be overlooked.
func (l *Ledger) Open(ctx context.Context, t fleet.Term) error {
	select {
	case l.openSlot <- struct{}{}:
		defer func() { <-l.openSlot }()
	case <-ctx.Done():
		return fmt.Errorf("open claims: %w", ctx.Err())
	}
	opened, err := l.beginTerm(t)
	if err != nil || opened {
		return err
	}
	if err := l.openTerm(ctx, t); err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.clock.Now()
		since := now
		if l.failed.term == t {
			since = l.failed.since
		}
		l.failed = openFailure{term: t, since: since, at: now, err: err}
		return err
	}
	return nil
}

// openFailureTTL is how long a failure of Open is returned to further callers without another attempt.
const openFailureTTL = 500 * time.Millisecond

// openFailure is the last failure of Open.
type openFailure struct {
	term  fleet.Term
	since time.Time
	at    time.Time
	err   error
}

func (l *Ledger) openTerm(ctx context.Context, t fleet.Term) error {
	hs, err := l.broadcast(ctx, &wire.ClaimRequest{Term: termOf(t)})
	if err != nil {
		return fmt.Errorf("open claims: %w", err)
	}
	if err := l.mergePeers(ctx, hs); err != nil {
		return fmt.Errorf("open claims: %w", err)
	}
	replaceGroup, err := l.ensureComplete(ctx, t, hs)
	if err != nil {
		return fmt.Errorf("open claims: %w", err)
	}
	l.mu.Lock()
	l.openedTerm = t
	l.logFailed = true
	l.completeness.markComplete()
	l.mu.Unlock()
	if replaceGroup {
		// The hosts of the old group are lost and cannot hold claims, so the marker of a new group has to be in the log first.
		return l.renewMarker(ctx, t)
	}
	return nil
}

// beginTerm enters a term and reports whether the ledger has been opened in it already. Within openFailureTTL
// after a failure of Open in this term, it returns that failure.
func (l *Ledger) beginTerm(t fleet.Term) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Less(l.term) && !l.disabled.terms {
		return false, ErrStaleTerm{Term: l.term}
	}
	l.term = t
	if l.failed.term == t && l.clock.Since(l.failed.at) < openFailureTTL {
		return false, l.failed.err
	}
	return l.openedTerm == t, nil
}

// mergePeers copies the claims of the holders and removes those that do not answer or are incomplete.
func (l *Ledger) mergePeers(ctx context.Context, hs holders) error {
	for _, p := range l.peers() {
		if !hs[p.Name] {
			continue
		}
		if ok, err := l.fetchClaims(ctx, p); err != nil || !ok {
			delete(hs, p.Name)
		}
	}
	return ctx.Err()
}

// ensureComplete returns an error unless the holders and the log together have every claim; it reports whether a new group has
// to replace the old one.
func (l *Ledger) ensureComplete(ctx context.Context, t fleet.Term, hs holders) (bool, error) {
	if l.disabled.completeness || (l.checkQuorum(hs, withoutLog) == nil && len(hs) > 1) {
		return false, nil
	}
	err := l.checkQuorum(hs, withLog)
	if err == nil {
		return false, l.barrier(ctx, t)
	}
	if l.canReplaceGroup(hs) {
		return true, nil
	}
	return false, err
}

// canReplaceGroup reports whether WithFreshGroups is set, this host is complete while the newest marker in the log is valid,
// and no host of the marker's group is among the holders.
func (l *Ledger) canReplaceGroup(hs holders) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.freshGroups || !hs[l.host] || !l.markers.isValid(now.Add(l.bounds.Skew)) {
		return false
	}
	for _, h := range l.markers.logged.GetHosts() {
		if hs[h] {
			return false
		}
	}
	return true
}

// barrier appends a record and reads the log up to it, so that every earlier claim in the log is known.
func (l *Ledger) barrier(ctx context.Context, t fleet.Term) error {
	if l.appendRecord == nil {
		return ErrClaimsMissing{Why: "no log is configured"}
	}
	r := l.record("barrier", t.String(), strconv.FormatInt(l.clock.Now().UnixMilli(), 10))
	r.Body = &wire.Record_Marker{Marker: &wire.OnceMarker{Domain: l.domain, Term: termOf(t)}}
	if err := l.appendAndReadBack(ctx, r); err != nil {
		return ErrClaimsMissing{Why: "too few hosts hold all claims and the log does not answer: " + err.Error()}
	}
	return nil
}
