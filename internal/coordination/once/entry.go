package once

import (
	"slices"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/cespare/xxhash/v2"
)

type id struct {
	organisation string
	key          string
}

// entry is what is known of one key.
type entry struct {
	claim *wire.OnceClaim
	// outcome is nil until the claimed work has ended; the kind Refused frees the key.
	outcome *wire.OnceOutcome
	// claimLogged and outcomeLogged are when the log last took them; zero means that it does not have them.
	claimLogged   time.Time
	outcomeLogged time.Time
	// queued is when a record of the entry was last handed to the log's queue.
	queued time.Time
}

// entryOverhead is the memory of an entry besides its strings and answer, in bytes.
const entryOverhead = 480

func (e *entry) size() int64 {
	n := entryOverhead + 2*len(e.claim.GetKey()) + 2*len(e.claim.GetOrganisation()) + len(e.claim.GetJob())
	for _, w := range e.claim.GetWorkers() {
		n += len(w) + 16
	}
	return int64(n + len(e.outcome.GetOutcome().GetAnswer()))
}

// isFree reports whether the claimed work is known not to have run and never to run.
func (e *entry) isFree() bool {
	return e.outcome.GetOutcome().GetKind() == string(fleet.Refused)
}

// expires returns when the entry may be forgotten; zero means not before its work has ended.
func (e *entry) expires(lifetime time.Duration) time.Time {
	if e.outcome == nil {
		return time.Time{}
	}
	at := max(e.outcome.GetOutcome().GetFinishedUnixMillis(), e.claim.GetClaimedUnixMillis())
	return time.UnixMilli(at).Add(lifetime)
}

func idOf(organisation, key string) id {
	return id{organisation: organisation, key: key}
}

// nameOf returns the name of a claimed attempt; attempts of a job are never reused.
func nameOf(job string, attempt int32) string {
	return job + "#" + strconv.Itoa(int(attempt))
}

func claimName(c *wire.OnceClaim) string {
	return nameOf(c.GetJob(), c.GetAttempt())
}

func isSame(a, c *wire.OnceClaim) bool {
	return a.GetJob() == c.GetJob() && a.GetAttempt() == c.GetAttempt()
}

// hasFreed reports whether the claim was made in the knowledge that the attempt of that name never ran.
func hasFreed(c *wire.OnceClaim, name string) bool {
	return slices.Contains(c.GetFreed(), name)
}

// acceptClaim takes a claim of a peer unless one stands against it, which is returned; the caller holds the lock.
func (b *Book) acceptClaim(c *wire.OnceClaim) *entry {
	k := idOf(c.GetOrganisation(), c.GetKey())
	e, ok := b.entries[k]
	switch {
	case ok && isSame(e.claim, c):
	case ok && hasFreed(e.claim, claimName(c)):
		return e
	case !ok, hasFreed(c, claimName(e.claim)), e.isFree():
		b.put(k, &entry{claim: c})
	default:
		return e
	}
	return nil
}

// acceptOutcome takes the outcome of a claim that is known, or stands for one that is not; the caller holds the lock.
func (b *Book) acceptOutcome(o *wire.OnceOutcome) *entry {
	k := idOf(o.GetOrganisation(), o.GetKey())
	e, ok := b.entries[k]
	c := claimOf(o)
	switch {
	case !ok:
		e = &entry{claim: c}
	case isSame(e.claim, c):
	case hasFreed(e.claim, claimName(c)), o.GetOutcome().GetKind() == string(fleet.Refused), e.outcome != nil && !e.isFree():
		// An attempt that is known not to have run says nothing of another that claimed the key.
		return e
	default:
		e = &entry{claim: c}
	}
	if !isNewer(e.outcome, o) {
		return e
	}
	n := *e
	n.outcome = o
	n.outcomeLogged = time.Time{}
	n.queued = time.Time{}
	b.put(k, &n)
	return b.entries[k]
}

// isNewer reports whether o says more than what is known: anything over nothing, and certainty over Unknown.
func isNewer(known, o *wire.OnceOutcome) bool {
	unknown := string(fleet.Unknown)
	return known == nil || (known.GetOutcome().GetKind() == unknown && o.GetOutcome().GetKind() != unknown)
}

// claimOf returns the claim that an outcome without one implies.
func claimOf(o *wire.OnceOutcome) *wire.OnceClaim {
	return &wire.OnceClaim{
		Key:               o.GetKey(),
		Organisation:      o.GetOrganisation(),
		Domain:            o.GetDomain(),
		Job:               o.GetOutcome().GetJob(),
		Attempt:           o.GetOutcome().GetAttempt(),
		ClaimedUnixMillis: o.GetOutcome().GetFinishedUnixMillis(),
	}
}

// put replaces an entry and keeps count of the memory; the caller holds the lock.
func (b *Book) put(k id, e *entry) {
	if old, ok := b.entries[k]; ok {
		b.bytes -= old.size()
	}
	b.entries[k] = e
	b.bytes += e.size()
}

// drop forgets an entry; the caller holds the lock.
func (b *Book) drop(k id) {
	b.bytes -= b.entries[k].size()
	delete(b.entries, k)
}

// Digest returns the digest of a job's request, by which a key that is used for another request is told.
func Digest(j fleet.Job) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(j.Profile + "\x00" + j.Shape.String() + "\x00")
	_, _ = h.Write(j.Work)
	return h.Sum64()
}
