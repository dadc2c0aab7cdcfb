package dedup

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// ErrClaimed is returned when another job has claimed the key; the caller gets that job's outcome.
type ErrClaimed struct {
	Job     string
	Attempt int
	// Outcome is nil until the job has ended.
	Outcome *wire.Outcome
}

// Error returns the message with the claiming job.
func (e ErrClaimed) Error() string {
	return fmt.Sprintf("key is claimed by job %s", e.Job)
}

// ErrKeyConflict is returned when the key was used with another request.
type ErrKeyConflict struct {
	Organisation string
	Key          string
	Job          string
}

// Error returns the message with the key and the job of the first request.
func (e ErrKeyConflict) Error() string {
	return fmt.Sprintf("key %q of organisation %s was used by job %s for another request", e.Key, e.Organisation, e.Job)
}

// ErrClaimsMissing is returned when claims may be missing on this host; the work was refused and did not run.
type ErrClaimsMissing struct {
	// Until is the latest time at which claims are accepted again; zero if that depends on other hosts or the log.
	Until time.Time
	Why   string
}

// Error returns the message with the reason and, if known, the time at which claims are accepted again.
func (e ErrClaimsMissing) Error() string {
	if e.Until.IsZero() {
		return "claims may be missing: " + e.Why
	}
	return fmt.Sprintf("claims may be missing until %s: %s", e.Until.UTC().Format(time.RFC3339), e.Why)
}

// ErrNotHome is returned when another failure domain is the home of the key.
type ErrNotHome struct {
	Key  string
	Home string
}

// Error returns the message with the key and its home.
func (e ErrNotHome) Error() string {
	return fmt.Sprintf("the home of key %q is failure domain %s", e.Key, e.Home)
}

// ErrStaleTerm is returned to an owner whose term is older than one that a host of the failure domain has seen.
type ErrStaleTerm struct {
	Term fleet.Term
}

// Error returns the message with the newer term.
func (e ErrStaleTerm) Error() string {
	return fmt.Sprintf("owner is fenced: a host has seen the newer term %s", e.Term)
}

// Is makes the error match port.ErrFenced.
func (e ErrStaleTerm) Is(target error) bool {
	return target == port.ErrFenced
}

// ErrLedgerFull is returned when the limit of keys or bytes is reached.
type ErrLedgerFull struct {
	Keys  int
	Bytes int64
}

// Error returns the message with the number of keys and bytes in use.
func (e ErrLedgerFull) Error() string {
	return fmt.Sprintf("limit of idempotency keys reached: %d keys with %d bytes in use", e.Keys, e.Bytes)
}
