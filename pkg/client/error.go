package client

import (
	"fmt"
	"time"
)

// ErrRefused says that a job provably did not run and never will; RetryAfter says when a new request is worth a try.
type ErrRefused struct {
	Job        string
	Reason     string
	RetryAfter time.Duration
}

// Error renders the job and the reason.
func (e *ErrRefused) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("job %s was refused and did not run: %s; try again after %s", e.Job, e.Reason, e.RetryAfter)
	}
	return fmt.Sprintf("job %s was refused and did not run: %s", e.Job, e.Reason)
}

// ErrUnknown says that a job may have run.
type ErrUnknown struct {
	Job    string
	Reason string
	err    error
}

// Error renders the job and the reason.
func (e *ErrUnknown) Error() string {
	return fmt.Sprintf("job %s may have run: %s", e.Job, e.Reason)
}

// Unwrap returns the last error of the connection, if any.
func (e *ErrUnknown) Unwrap() error {
	return e.err
}

// ErrCancelled says that a job was withdrawn before it ended.
type ErrCancelled struct {
	Job string
}

// Error names the job.
func (e *ErrCancelled) Error() string {
	return fmt.Sprintf("job %s was cancelled", e.Job)
}

// ErrNotWhole says that every copy of an answer that was received differs in length or digest from the job's outcome.
type ErrNotWhole struct {
	Job  string
	Want int64
	Got  int64
}

// Error renders both lengths.
func (e *ErrNotWhole) Error() string {
	return fmt.Sprintf("answer of job %s is not whole: %d bytes instead of %d, or another digest", e.Job, e.Got, e.Want)
}

// ErrHost is a failure that a host reported of a question.
type ErrHost struct {
	Status int
	Reason string
}

// Error renders status and reason.
func (e *ErrHost) Error() string {
	return fmt.Sprintf("the host answered with status %d: %s", e.Status, e.Reason)
}
