package once

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// ErrClaimed says that a job holds the key already; the caller gets that job's answer.
type ErrClaimed struct {
	Job     string
	Attempt int
	// Outcome is nil until the job has ended.
	Outcome *wire.Outcome
}

// Error names the job that holds the key.
func (e ErrClaimed) Error() string {
	return fmt.Sprintf("key is claimed by job %s", e.Job)
}

// ErrKeyConflict says that the key was used with another request.
type ErrKeyConflict struct {
	Organisation string
	Key          string
	Job          string
}

// Error names the key and the job of the first request.
func (e ErrKeyConflict) Error() string {
	return fmt.Sprintf("key %q of %s was used by job %s for another request", e.Key, e.Organisation, e.Job)
}

// ErrMemoryMissing says that claims may be missing here, so that the work was refused and did not run.
type ErrMemoryMissing struct {
	// Until is when claims are possible again at the latest; zero when that depends on hosts or the log.
	Until time.Time
	Why   string
}

// Error says what is missing and until when.
func (e ErrMemoryMissing) Error() string {
	if e.Until.IsZero() {
		return "claims may be missing: " + e.Why
	}
	return fmt.Sprintf("claims may be missing until %s: %s", e.Until.UTC().Format(time.RFC3339), e.Why)
}

// ErrNotHome says that another failure domain keeps the claims of the key.
type ErrNotHome struct {
	Key  string
	Home string
}

// Error names the key and its home.
func (e ErrNotHome) Error() string {
	return fmt.Sprintf("claims of key %q are kept in %s", e.Key, e.Home)
}

// ErrTermPassed says that another host owns the failure domain.
type ErrTermPassed struct {
	Term fleet.Term
}

// Error names the newer term.
func (e ErrTermPassed) Error() string {
	return fmt.Sprintf("a peer has seen the owner's term %s", e.Term)
}

// Is reports that the owner has been fenced off.
func (e ErrTermPassed) Is(target error) bool {
	return target == port.ErrFenced
}

// ErrBookFull says that no more claims or answers can be kept.
type ErrBookFull struct {
	Keys  int
	Bytes int64
}

// Error names what is held.
func (e ErrBookFull) Error() string {
	return fmt.Sprintf("%d keys with %d bytes are held, and no more can be", e.Keys, e.Bytes)
}
