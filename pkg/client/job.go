package client

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

// Shape is a gang of equal tasks; Adjacent is Worker, Rack or Domain.
type Shape struct {
	Tasks        int
	Accelerators int
	Processors   int
	MemoryBytes  int64
	Adjacent     string
}

// Job is what a caller asks for.
type Job struct {
	Organisation string
	Profile      string
	// Key makes the job run at most once, however often and wherever it is submitted.
	Key     string
	Shape   Shape
	RunTime time.Duration
	// Work is passed to the workers unread.
	Work []byte
	// Request names this request; a repeat with the same name is answered as the first. Empty picks a new name.
	Request string
}

// Status tells where a job stands and why.
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

// Outcome is what became of a job.
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

// Result is the whole answer of a job that is done.
type Result struct {
	Outcome Outcome
	Answer  []byte
}

func statusOf(s *wire.JobStatus) Status {
	return Status{
		Job:           s.GetJob(),
		State:         s.GetState(),
		Reason:        s.GetReason(),
		WaitsFor:      s.GetWaitsFor(),
		Workers:       s.GetWorkers(),
		ExpectedStart: timeOf(s.GetExpectedStartUnixMillis()),
		Attempt:       int(s.GetAttempt()),
		Organisation:  s.GetOrganisation(),
		Profile:       s.GetProfile(),
	}
}

func outcomeOf(job string, o *wire.Outcome) Outcome {
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
		Started:      timeOf(o.GetStartedUnixMillis()),
		Finished:     timeOf(o.GetFinishedUnixMillis()),
	}
}

func timeOf(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

// Err returns nil for Done and the typed error of any other kind.
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
