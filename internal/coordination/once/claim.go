package once

import (
	"context"
	"fmt"
	"slices"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
)

// maxFreed bounds the attempts that a claim names as never run.
const maxFreed = 16

// Claim reserves the job's key for its present attempt on the given workers; the attempt may start once it returns nil.
//
// ErrClaimed, ErrKeyConflict, ErrMemoryMissing, ErrNotHome, ErrTermPassed and ErrBookFull say why not. After any error the
// attempt must not start, and the key is free again unless another job holds it. A claimed attempt that is known not
// to have started is given back with Release.
func (b *Book) Claim(ctx context.Context, t fleet.Term, j fleet.Job, workers []string) error {
	w := b.stats.claimTime.Start()
	defer w.Stop()
	if home := Home(j.Organisation, j.Key, b.domains); home != b.domain {
		return ErrNotHome{Key: j.Key, Home: home}
	}
	if err := b.Open(ctx, t); err != nil {
		b.stats.missing.Inc(1)
		return fmt.Errorf("claim key of job %s: %w", j.ID, err)
	}
	c, err := b.reserve(t, j, workers)
	if err != nil {
		b.stats.refused.Inc(1)
		return fmt.Errorf("claim key of job %s: %w", j.ID, err)
	}
	logged, err := b.hold(ctx, t, c)
	if err != nil {
		b.giveBack(ctx, t, c)
		return fmt.Errorf("claim key of job %s: %w", j.ID, err)
	}
	b.stats.claimed.Inc(1)
	text := "in the log"
	if !logged {
		b.stats.offLog.Inc(1)
		text = "outside the log"
	}
	b.note(events.KeyClaimed, j.ID, j.Organisation, text)
	return nil
}

// Check says what Claim would refuse for a job by what this host knows, without claiming anything.
func (b *Book) Check(j fleet.Job) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.against(j)
}

// against returns the claim that stands against a job's; the caller holds the lock.
func (b *Book) against(j fleet.Job) error {
	e, ok := b.entries[idOf(j.Organisation, j.Key)]
	switch {
	case !ok || e.isFree():
		return nil
	case e.claim.GetRequestDigest() != 0 && e.claim.GetRequestDigest() != Digest(j):
		return ErrKeyConflict{Organisation: j.Organisation, Key: j.Key, Job: e.claim.GetJob()}
	default:
		return claimedBy(e)
	}
}

func claimedBy(e *entry) ErrClaimed {
	return ErrClaimed{
		Job:     e.claim.GetJob(),
		Attempt: int(e.claim.GetAttempt()),
		Outcome: e.outcome.GetOutcome(),
	}
}

// reserve enters the claim into this host's book, so that a second claim on this host fails.
func (b *Book) reserve(t fleet.Term, j fleet.Job, workers []string) (*wire.OnceClaim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.against(j); err != nil {
		return nil, err
	}
	k := idOf(j.Organisation, j.Key)
	old, known := b.entries[k]
	if !known && (len(b.entries) >= b.bounds.Keys || b.bytes >= b.bounds.Bytes) {
		return nil, ErrBookFull{Keys: len(b.entries), Bytes: b.bytes}
	}
	c := &wire.OnceClaim{
		Key:               j.Key,
		Organisation:      j.Organisation,
		Domain:            b.domain,
		Job:               j.ID,
		Term:              termOf(t),
		ClaimedUnixMillis: b.clock.Now().UnixMilli(),
		Workers:           workers,
		Attempt:           int32(j.Attempt),
		RequestDigest:     Digest(j),
	}
	if known {
		c.Freed = append(slices.Clone(old.claim.GetFreed()), claimName(old.claim))
		c.Freed = c.Freed[max(0, len(c.Freed)-maxFreed):]
	}
	b.put(k, &entry{claim: c})
	return c, nil
}

// hold gets the claim held by the peers and by the log; it reports whether the log has it.
func (b *Book) hold(ctx context.Context, t fleet.Term, c *wire.OnceClaim) (bool, error) {
	if err := b.check(); err != nil {
		return false, err
	}
	hs, err := b.spread(ctx, &wire.ClaimRequest{Term: termOf(t), Claims: []*wire.OnceClaim{c}})
	if err != nil {
		return false, err
	}
	if err := b.enough(hs, withLog); err != nil {
		return false, err
	}
	if err := b.check(); err != nil {
		return false, err
	}
	err = b.write(ctx, c)
	logged := err == nil
	if err != nil && !errors.Is(err, errLogDown) && !b.isDown(err) {
		return false, err
	}
	if !logged {
		if err := b.mayStayOffLog(hs, err); err != nil {
			return false, err
		}
	}
	if err := b.check(); err != nil {
		return false, err
	}
	return logged, b.isOurs(t, c)
}

// isOurs returns ErrClaimed when another claim took the key meanwhile, or ErrTermPassed when another owner came.
func (b *Book) isOurs(t fleet.Term, c *wire.OnceClaim) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.Less(b.term) && !b.off.terms {
		return ErrTermPassed{Term: b.term}
	}
	e, ok := b.entries[idOf(c.GetOrganisation(), c.GetKey())]
	if ok && isSame(e.claim, c) {
		return nil
	}
	b.stats.conflicts.Inc(1)
	if !ok {
		return ErrMemoryMissing{Why: "the claim was dropped"}
	}
	return claimedBy(e)
}

// write appends the claim and waits until it has been read back, so that no earlier claim can be overlooked.
func (b *Book) write(ctx context.Context, c *wire.OnceClaim) error {
	if b.off.log || b.append == nil {
		return ErrMemoryMissing{Why: "there is no log"}
	}
	r := b.record("claim", c.GetOrganisation(), c.GetKey(), claimName(c))
	r.Body = &wire.Record_Claim{Claim: c}
	return b.appendAndRead(ctx, r)
}

// giveBack frees the key of a claim that failed; the claim may be known to peers and the log, but it was never started.
func (b *Book) giveBack(ctx context.Context, t fleet.Term, c *wire.OnceClaim) {
	_ = b.end(context.WithoutCancel(ctx), t, c, notRun(c, b.clock.Now()))
}

func termOf(t fleet.Term) *wire.Term {
	return &wire.Term{Counter: t.Counter, Host: t.Host}
}

func fleetTerm(t *wire.Term) fleet.Term {
	return fleet.Term{Counter: t.GetCounter(), Host: t.GetHost()}
}
