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
}

// Error renders the reason and when to come back.
func (e ErrBusy) Error() string {
	return fmt.Sprintf("%s; come back in %s", e.Why, e.RetryAfter)
}

// ErrUnsupported says that a job asks for what this version does not offer; it matches ErrInvalid.
type ErrUnsupported struct {
	Job  string
	What string
}

// Error names what is not offered.
func (e ErrUnsupported) Error() string {
	return fmt.Sprintf("job %s asks for %s, which is not offered", e.Job, e.What)
}

// Is matches ErrInvalid.
func (e ErrUnsupported) Is(target error) bool {
	return target == ErrInvalid
}
