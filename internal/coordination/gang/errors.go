package gang

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Sentinel errors of the package.
var (
	// ErrPlacementInvalid means that a placement does not assign each task of the gang exactly once to a known worker.
	ErrPlacementInvalid = errors.New("placement is invalid")
	// ErrLeaseNotHeld means that the owner does not hold its lease; no command was sent.
	ErrLeaseNotHeld = errors.New("owner lease is not held")
	// ErrAnswerCorrupt means that an answer does not have the length or digest that its worker reported.
	ErrAnswerCorrupt = errors.New("answer does not match its reported length and digest")
)

// ErrNotStarted means that no task of an attempt has run and none will.
type ErrNotStarted struct {
	Job    string
	Worker string
	Err    error
}

// Error returns the job, the worker if there is one, and the cause.
func (e ErrNotStarted) Error() string {
	if e.Worker == "" {
		return fmt.Sprintf("job %s did not start: %v", e.Job, e.Err)
	}
	return fmt.Sprintf("job %s did not start: worker %s: %v", e.Job, e.Worker, e.Err)
}

// Unwrap returns the cause.
func (e ErrNotStarted) Unwrap() error {
	return e.Err
}

// ErrPartlyStarted means that some tasks of an attempt ran and that all of them have been stopped.
type ErrPartlyStarted struct {
	Job     string
	Workers []string
	Err     error
}

// Error returns the job, the workers whose tasks ran, and the cause.
func (e ErrPartlyStarted) Error() string {
	return fmt.Sprintf("job %s was partly started on %s and stopped: %v", e.Job, strings.Join(e.Workers, ", "), e.Err)
}

// Unwrap returns the cause.
func (e ErrPartlyStarted) Unwrap() error {
	return e.Err
}

// ErrStartUnknown means that tasks of an attempt may be running on workers that do not respond.
type ErrStartUnknown struct {
	Job     string
	Workers []string
	Err     error
}

// Error returns the job, the unresponsive workers and the cause.
func (e ErrStartUnknown) Error() string {
	return fmt.Sprintf("job %s may be running on %s: %v", e.Job, strings.Join(e.Workers, ", "), e.Err)
}

// Unwrap returns the cause.
func (e ErrStartUnknown) Unwrap() error {
	return e.Err
}

// ErrNotStopped means that workers did not confirm a stop; their tasks end when the workers' leases expire.
type ErrNotStopped struct {
	Job     string
	Workers []string
}

// Error returns the job and the workers that did not confirm the stop.
func (e ErrNotStopped) Error() string {
	return fmt.Sprintf("stop of job %s was not confirmed by %s", e.Job, strings.Join(e.Workers, ", "))
}

// ErrAnswerTooLarge means that an answer exceeds Bounds.Answer.
type ErrAnswerTooLarge struct {
	Job   string
	Bytes int64
	Max   int64
}

// Error returns the job, the size of the answer and the limit.
func (e ErrAnswerTooLarge) Error() string {
	return fmt.Sprintf("answer of job %s has %d bytes, the limit is %d", e.Job, e.Bytes, e.Max)
}
