package client

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// Shape is a gang of equal tasks with the resources of each task; Adjacent is Worker, Rack or Domain.
type Shape struct {
	Tasks        int
	Accelerators int
	Processors   int
	MemoryBytes  int64
	Adjacent     string
}

// Job is a request to run a gang.
type Job struct {
	Organisation string
	Profile      string
	// Key makes the job run at most once, however often and wherever it is submitted.
	Key     string
	Shape   Shape
	RunTime time.Duration
	// Work is the payload, which is passed to the workers as it is.
	Work []byte
	// Request is the id of this request: a retry with the same id gets the same reply. If empty, a random id is used.
	Request string
}

// Status is the state of a job and the reason for it.
type Status struct {
	Job           string
	State         string
	Reason        string
	WaitsFor      string
	Workers       []string
	ExpectedStart time.Time
	Attempt       int
	Organisation  string
	Profile       string
}

// Kinds of outcome.
const (
	Done      = "Done"
	Refused   = "Refused"
	Unknown   = "Unknown"
	Cancelled = "Cancelled"
)

// Outcome is the final result of a job.
type Outcome struct {
	Job          string
	Attempt      int
	Kind         string
	Reason       string
	AnswerBytes  int64
	AnswerDigest uint64
	RetryAfter   time.Duration
	Started      time.Time
	Finished     time.Time
}

// Result is the outcome of a job and, if that is Done, its verified answer.
type Result struct {
	Outcome Outcome
	Answer  []byte
}

func newStatus(s *wire.JobStatus) Status {
	return Status{
		Job:           s.GetJob(),
		State:         s.GetState(),
		Reason:        s.GetReason(),
		WaitsFor:      s.GetWaitsFor(),
		Workers:       s.GetWorkers(),
		ExpectedStart: unixMillis(s.GetExpectedStartUnixMillis()),
		Attempt:       int(s.GetAttempt()),
		Organisation:  s.GetOrganisation(),
		Profile:       s.GetProfile(),
	}
}

func newOutcome(job string, o *wire.Outcome) Outcome {
	if o.GetJob() != "" {
		job = o.GetJob()
	}
	return Outcome{
		Job:          job,
		Attempt:      int(o.GetAttempt()),
		Kind:         o.GetKind(),
		Reason:       o.GetReason(),
		AnswerBytes:  o.GetAnswerBytes(),
		AnswerDigest: o.GetAnswerDigest(),
		RetryAfter:   time.Duration(o.GetRetryAfterMillis()) * time.Millisecond,
		Started:      unixMillis(o.GetStartedUnixMillis()),
		Finished:     unixMillis(o.GetFinishedUnixMillis()),
	}
}

func unixMillis(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

// Err returns nil if the kind is Done, else the typed error of the kind; kinds that are not known give *ErrUnknown.
func (o Outcome) Err() error {
	switch o.Kind {
	case Done:
		return nil
	case Refused:
		return &ErrRefused{Job: o.Job, Reason: o.Reason, RetryAfter: o.RetryAfter}
	case Cancelled:
		return &ErrCancelled{Job: o.Job}
	default:
		return &ErrUnknown{Job: o.Job, Reason: o.Reason}
	}
}
