package client

import (
	"fmt"
	"time"
)

// ErrRefused means that a job did not run and never will; RetryAfter is the time after which a new request may succeed.
type ErrRefused struct {
	Job        string
	Reason     string
	RetryAfter time.Duration
}

// Error returns the job, the reason and RetryAfter if it is set.
func (e *ErrRefused) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("job %s was refused and did not run: %s; try again after %s", e.Job, e.Reason, e.RetryAfter)
	}
	return fmt.Sprintf("job %s was refused and did not run: %s", e.Job, e.Reason)
}

// ErrUnknown means that a job may have run.
type ErrUnknown struct {
	Job    string
	Reason string
	err    error
}

// Error returns the job and the reason.
func (e *ErrUnknown) Error() string {
	return fmt.Sprintf("job %s may have run: %s", e.Job, e.Reason)
}

// Unwrap returns the error of the last attempt, if any.
func (e *ErrUnknown) Unwrap() error {
	return e.err
}

// ErrCancelled means that a job was cancelled before it ended.
type ErrCancelled struct {
	Job string
}

// Error returns the job.
func (e *ErrCancelled) Error() string {
	return fmt.Sprintf("job %s was cancelled", e.Job)
}

// ErrAnswerMismatch means that no received copy of an answer matches the length and digest in the job's outcome.
type ErrAnswerMismatch struct {
	Job  string
	Want int64
	Got  int64
}

// Error returns the job and both lengths.
func (e *ErrAnswerMismatch) Error() string {
	return fmt.Sprintf("answer of job %s does not match its outcome: got %d of %d bytes, or a different digest", e.Job, e.Got, e.Want)
}

// ErrHost is an error status that a host returned.
type ErrHost struct {
	Status int
	Reason string
}

// Error returns the status and the reason.
func (e *ErrHost) Error() string {
	return fmt.Sprintf("host returned status %d: %s", e.Status, e.Reason)
}
