package dedup

import (
	"context"
	"fmt"
	"slices"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
)

// maxFreed is the maximum number of earlier attempts that a claim lists as never run.
const maxFreed = 16

// Claim reserves the job's key for its current attempt on the given workers; the attempt may start once Claim returns nil.
//
// It fails with ErrClaimed, ErrKeyConflict, ErrClaimsMissing, ErrNotHome, ErrStaleTerm or ErrLedgerFull. After any error the
// attempt must not start, and the key is free again unless another job holds it. A claimed attempt that is known not to have
// started is released with Release.
func (l *Ledger) Claim(ctx context.Context, t fleet.Term, j fleet.Job, workers []string) error {
	w := l.stats.claimTime.Start()
	defer w.Stop()
	if home := Home(j.Organisation, j.Key, l.domains); home != l.domain {
		return ErrNotHome{Key: j.Key, Home: home}
	}
	if err := l.Open(ctx, t); err != nil {
		l.stats.missing.Inc(1)
		return fmt.Errorf("claim key of job %s: %w", j.ID, err)
	}
	c, err := l.reserve(t, j, workers)
	if err != nil {
		l.stats.refused.Inc(1)
		return fmt.Errorf("claim key of job %s: %w", j.ID, err)
	}
	logged, err := l.replicate(ctx, t, c)
	if err != nil {
		l.abandon(ctx, t, c)
		return fmt.Errorf("claim key of job %s: %w", j.ID, err)
	}
	l.stats.claimed.Inc(1)
	text := "in the log"
	if !logged {
		l.stats.offLog.Inc(1)
		text = "outside the log"
	}
	l.addEvent(events.KeyClaimed, j.ID, j.Organisation, text)
	return nil
}

// Check returns the conflict that Claim would fail with, as far as this host knows, without claiming the key.
func (l *Ledger) Check(j fleet.Job) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.findConflict(j)
}

// findConflict returns ErrClaimed or ErrKeyConflict if a claim on the job's key exists; the caller holds the lock.
func (l *Ledger) findConflict(j fleet.Job) error {
	e, ok := l.entries[keyOf(j.Organisation, j.Key)]
	switch {
	case !ok || e.isFree():
		return nil
	case e.claim.GetRequestDigest() != 0 && e.claim.GetRequestDigest() != Digest(j):
		return ErrKeyConflict{Organisation: j.Organisation, Key: j.Key, Job: e.claim.GetJob()}
	default:
		return newErrClaimed(e)
	}
}

func newErrClaimed(e *entry) ErrClaimed {
	return ErrClaimed{
		Job:     e.claim.GetJob(),
		Attempt: int(e.claim.GetAttempt()),
		Outcome: e.outcome.GetOutcome(),
	}
}

// reserve enters the claim into this host's ledger, so that a second claim on this host fails.
func (l *Ledger) reserve(t fleet.Term, j fleet.Job, workers []string) (*wire.OnceClaim, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.findConflict(j); err != nil {
		return nil, err
	}
	k := keyOf(j.Organisation, j.Key)
	old, known := l.entries[k]
	if !known && (len(l.entries) >= l.bounds.Keys || l.bytes >= l.bounds.Bytes) {
		return nil, ErrLedgerFull{Keys: len(l.entries), Bytes: l.bytes}
	}
	c := &wire.OnceClaim{
		Key:               j.Key,
		Organisation:      j.Organisation,
		Domain:            l.domain,
		Job:               j.ID,
		Term:              termOf(t),
		ClaimedUnixMillis: l.clock.Now().UnixMilli(),
		Workers:           workers,
		Attempt:           int32(j.Attempt),
		RequestDigest:     Digest(j),
	}
	if known {
		c.Freed = append(slices.Clone(old.claim.GetFreed()), claimName(old.claim))
		c.Freed = c.Freed[max(0, len(c.Freed)-maxFreed):]
	}
	l.put(k, &entry{claim: c})
	return c, nil
}

// replicate stores the claim on the peers and in the log; it reports whether the log has it.
func (l *Ledger) replicate(ctx context.Context, t fleet.Term, c *wire.OnceClaim) (bool, error) {
	if err := l.check(); err != nil {
		return false, err
	}
	hs, err := l.broadcast(ctx, &wire.ClaimRequest{Term: termOf(t), Claims: []*wire.OnceClaim{c}})
	if err != nil {
		return false, err
	}
	if err := l.checkQuorum(hs, withLog); err != nil {
		return false, err
	}
	if err := l.check(); err != nil {
		return false, err
	}
	err = l.logClaim(ctx, c)
	logged := err == nil
	if err != nil && !errors.Is(err, errLogDown) && !l.isDown(err) {
		return false, err
	}
	if !logged {
		if err := l.checkWithoutLog(hs, err); err != nil {
			return false, err
		}
	}
	if err := l.check(); err != nil {
		return false, err
	}
	return logged, l.confirmClaim(t, c)
}

// confirmClaim returns ErrClaimed if another claim has taken the key meanwhile, or ErrStaleTerm if a newer owner was seen.
func (l *Ledger) confirmClaim(t fleet.Term, c *wire.OnceClaim) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Less(l.term) && !l.disabled.terms {
		return ErrStaleTerm{Term: l.term}
	}
	e, ok := l.entries[keyOf(c.GetOrganisation(), c.GetKey())]
	if ok && isSameAttempt(e.claim, c) {
		return nil
	}
	l.stats.conflicts.Inc(1)
	if !ok {
		return ErrClaimsMissing{Why: "the claim is no longer in the ledger"}
	}
	return newErrClaimed(e)
}

// logClaim appends the claim and waits until it has been read back, so that no earlier claim in the log is overlooked.
func (l *Ledger) logClaim(ctx context.Context, c *wire.OnceClaim) error {
	if l.disabled.log || l.appendRecord == nil {
		return ErrClaimsMissing{Why: "no log is configured"}
	}
	r := l.record("claim", c.GetOrganisation(), c.GetKey(), claimName(c))
	r.Body = &wire.Record_Claim{Claim: c}
	return l.appendAndReadBack(ctx, r)
}

// abandon frees the key of a claim that failed; peers and the log may hold the claim, but its attempt never started.
func (l *Ledger) abandon(ctx context.Context, t fleet.Term, c *wire.OnceClaim) {
	_ = l.recordOutcome(context.WithoutCancel(ctx), t, c, notRunOutcome(c, l.clock.Now()))
}

func termOf(t fleet.Term) *wire.Term {
	return &wire.Term{Counter: t.Counter, Host: t.Host}
}

func fleetTerm(t *wire.Term) fleet.Term {
	return fleet.Term{Counter: t.GetCounter(), Host: t.GetHost()}
}
