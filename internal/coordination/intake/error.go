package intake

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors of the intake.
var (
	// ErrNoQueue says that no queue takes the host name and path.
	ErrNoQueue = errors.New("queue does not exist")
	// ErrNoKey says that the key is none of the configuration in force.
	ErrNoKey = errors.New("key is not known")
	// ErrNoJob says that no such job is kept.
	ErrNoJob = errors.New("job does not exist")
	// ErrOutcomeUnknown says that the record may or may not be stored.
	ErrOutcomeUnknown = errors.New("record may be stored or not")
	// ErrInvalid says that a job can never be scheduled.
	ErrInvalid = errors.New("job is invalid")
)

// ErrBusy says that nothing was stored, why, and when to come back.
type ErrBusy struct {
	Why        string
	RetryAfter time.Duration
	// IsFull is set when no other host would take the request either.
	IsFull bool
}

// Error renders the reason and when to come back.
func (e ErrBusy) Error() string {
	return fmt.Sprintf("%s; come back in %s", e.Why, e.RetryAfter)
}
