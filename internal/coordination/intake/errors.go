package intake

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors that requests are refused with.
var (
	// ErrNoQueue says that no queue matches the host name and path.
	ErrNoQueue = errors.New("queue does not exist")
	// ErrNoKey says that the configuration in force does not contain the key.
	ErrNoKey = errors.New("key is not known")
	// ErrNoJob says that there is no such job.
	ErrNoJob = errors.New("job does not exist")
	// ErrOutcomeUnknown says that the record may or may not have been stored.
	ErrOutcomeUnknown = errors.New("record may be stored or not")
	// ErrInvalid says that a job can never be scheduled.
	ErrInvalid = errors.New("job is invalid")
)

// ErrBusy says that nothing was stored, with the reason and the delay after which the caller should retry.
type ErrBusy struct {
	Why        string
	RetryAfter time.Duration
	// IsFull is set when every other host would refuse the request as well.
	IsFull bool
}

// Error returns the reason and the delay before a retry.
func (e ErrBusy) Error() string {
	return fmt.Sprintf("%s; retry after %s", e.Why, e.RetryAfter)
}
