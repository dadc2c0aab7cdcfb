package dedup

import (
	"slices"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/cespare/xxhash/v2"
)

type entryKey struct {
	organisation string
	key          string
}

// entry is the state of one key.
type entry struct {
	claim *wire.OnceClaim
	// outcome is nil until the claimed attempt has ended; the kind Refused frees the key.
	outcome *wire.OnceOutcome
	// claimLogged and outcomeLogged are the log's times of the newest records of claim and outcome; zero if there is none.
	claimLogged   time.Time
	outcomeLogged time.Time
	// queued is when records of the entry were last queued for the log.
	queued time.Time
}

// entryOverhead is the memory of an entry without its strings and answer, in bytes.
const entryOverhead = 480

func (e *entry) size() int64 {
	n := entryOverhead + 2*len(e.claim.GetKey()) + 2*len(e.claim.GetOrganisation()) + len(e.claim.GetJob())
	for _, w := range e.claim.GetWorkers() {
		n += len(w) + 16
	}
	return int64(n + len(e.outcome.GetOutcome().GetAnswer()))
}

// isFree reports whether the claimed attempt never ran and never will, so that the key can be claimed again.
func (e *entry) isFree() bool {
	return e.outcome.GetOutcome().GetKind() == string(fleet.Refused)
}

// expires returns when the entry may be deleted; zero while its attempt has not ended.
func (e *entry) expires(lifetime time.Duration) time.Time {
	if e.outcome == nil {
		return time.Time{}
	}
	at := max(e.outcome.GetOutcome().GetFinishedUnixMillis(), e.claim.GetClaimedUnixMillis())
	return time.UnixMilli(at).Add(lifetime)
}

func keyOf(organisation, key string) entryKey {
	return entryKey{organisation: organisation, key: key}
}

// attemptName returns the unique name of an attempt; attempt numbers of a job are never reused.
func attemptName(job string, attempt int32) string {
	return job + "#" + strconv.Itoa(int(attempt))
}

func claimName(c *wire.OnceClaim) string {
	return attemptName(c.GetJob(), c.GetAttempt())
}

func isSameAttempt(a, c *wire.OnceClaim) bool {
	return a.GetJob() == c.GetJob() && a.GetAttempt() == c.GetAttempt()
}

// hasFreed reports whether the claim lists the attempt among the earlier claims of the key that never ran.
func hasFreed(c *wire.OnceClaim, name string) bool {
	return slices.Contains(c.GetFreed(), name)
}

// acceptClaim stores a peer's claim, or returns the entry that conflicts with it; the caller holds the lock.
func (l *Ledger) acceptClaim(c *wire.OnceClaim) *entry {
	k := keyOf(c.GetOrganisation(), c.GetKey())
	e, ok := l.entries[k]
	switch {
	case ok && isSameAttempt(e.claim, c):
	case ok && hasFreed(e.claim, claimName(c)):
		return e
	case !ok, hasFreed(c, claimName(e.claim)), e.isFree():
		l.put(k, &entry{claim: c})
	default:
		return e
	}
	return nil
}

// acceptOutcome stores the outcome of a claim, and the claim that it implies if that is not known; the caller holds the lock.
func (l *Ledger) acceptOutcome(o *wire.OnceOutcome) *entry {
	k := keyOf(o.GetOrganisation(), o.GetKey())
	e, ok := l.entries[k]
	c := impliedClaim(o)
	switch {
	case !ok:
		e = &entry{claim: c}
	case isSameAttempt(e.claim, c):
	case hasFreed(e.claim, claimName(c)), o.GetOutcome().GetKind() == string(fleet.Refused), e.outcome != nil && !e.isFree():
		// The outcome of an attempt that never ran has no bearing on another attempt's claim of the key.
		return e
	default:
		e = &entry{claim: c}
	}
	if !isMoreCertain(e.outcome, o) {
		return e
	}
	n := *e
	n.outcome = o
	n.outcomeLogged = time.Time{}
	n.queued = time.Time{}
	l.put(k, &n)
	return l.entries[k]
}

// isMoreCertain reports whether o replaces the known outcome: any outcome replaces a missing one, and
// a definite outcome replaces Unknown.
func isMoreCertain(known, o *wire.OnceOutcome) bool {
	unknown := string(fleet.Unknown)
	return known == nil || (known.GetOutcome().GetKind() == unknown && o.GetOutcome().GetKind() != unknown)
}

// impliedClaim returns the claim that an outcome implies when the claim itself is not known.
func impliedClaim(o *wire.OnceOutcome) *wire.OnceClaim {
	return &wire.OnceClaim{
		Key:               o.GetKey(),
		Organisation:      o.GetOrganisation(),
		Domain:            o.GetDomain(),
		Job:               o.GetOutcome().GetJob(),
		Attempt:           o.GetOutcome().GetAttempt(),
		ClaimedUnixMillis: o.GetOutcome().GetFinishedUnixMillis(),
	}
}

// put replaces an entry and updates the memory in use; the caller holds the lock.
func (l *Ledger) put(k entryKey, e *entry) {
	if old, ok := l.entries[k]; ok {
		l.bytes -= old.size()
	}
	l.entries[k] = e
	l.bytes += e.size()
}

// drop deletes an entry and updates the memory in use; the caller holds the lock.
func (l *Ledger) drop(k entryKey) {
	l.bytes -= l.entries[k].size()
	delete(l.entries, k)
}

// Digest returns the digest of a job's request, which detects a key that is reused for another request.
func Digest(j fleet.Job) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(j.Profile + "\x00" + j.Shape.String() + "\x00")
	_, _ = h.Write(j.Work)
	return h.Sum64()
}
