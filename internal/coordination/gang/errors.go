package gang

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Sentinels of the package.
var (
	// ErrPlacementInvalid says that a placement does not name each task of the gang once on a known worker.
	ErrPlacementInvalid = errors.New("placement is invalid")
	// ErrLeaseLapsed says that the owner may not command workers now; nothing was sent.
	ErrLeaseLapsed = errors.New("owner's lease does not hold")
	// ErrAnswerWrong says that an answer does not have the length or digest that its worker reported.
	ErrAnswerWrong = errors.New("answer is not whole")
	// ErrNotRunning says that an attempt is not known to this host.
	ErrNotRunning = errors.New("attempt is not known")
)

// ErrNoStart says that no task of an attempt ran or ever will.
type ErrNoStart struct {
	Job    string
	Worker string
	Err    error
}

// Error names the job, the worker and the cause.
func (e ErrNoStart) Error() string {
	if e.Worker == "" {
		return fmt.Sprintf("job %s did not start: %v", e.Job, e.Err)
	}
	return fmt.Sprintf("job %s did not start: worker %s: %v", e.Job, e.Worker, e.Err)
}

// Unwrap returns the cause.
func (e ErrNoStart) Unwrap() error {
	return e.Err
}

// ErrPartlyStarted says that some tasks of an attempt ran and that all of them were stopped.
type ErrPartlyStarted struct {
	Job     string
	Workers []string
	Err     error
}

// Error names the job, the workers whose tasks ran and the cause.
func (e ErrPartlyStarted) Error() string {
	return fmt.Sprintf("job %s ran in part on %s and was stopped: %v", e.Job, strings.Join(e.Workers, ", "), e.Err)
}

// Unwrap returns the cause.
func (e ErrPartlyStarted) Unwrap() error {
	return e.Err
}

// ErrStartUnknown says that an attempt may have run on workers that do not answer.
type ErrStartUnknown struct {
	Job     string
	Workers []string
	Err     error
}

// Error names the job, the silent workers and the cause.
func (e ErrStartUnknown) Error() string {
	return fmt.Sprintf("job %s may run on %s: %v", e.Job, strings.Join(e.Workers, ", "), e.Err)
}

// Unwrap returns the cause.
func (e ErrStartUnknown) Unwrap() error {
	return e.Err
}

// ErrNotStopped says that workers did not confirm a stop; their tasks end when their leases lapse.
type ErrNotStopped struct {
	Job     string
	Workers []string
}

// Error names the job and the silent workers.
func (e ErrNotStopped) Error() string {
	return fmt.Sprintf("job %s is not known to be stopped on %s", e.Job, strings.Join(e.Workers, ", "))
}

// ErrAnswerTooLarge says that an answer is larger than what is kept.
type ErrAnswerTooLarge struct {
	Job   string
	Bytes int64
	Max   int64
}

// Error names the job and both sizes in bytes.
func (e ErrAnswerTooLarge) Error() string {
	return fmt.Sprintf("answer of job %s has %d bytes, more than the %d that are kept", e.Job, e.Bytes, e.Max)
}
