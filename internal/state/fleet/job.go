package fleet

import "time"

// Job is one request of a caller as a failure domain schedules it.
type Job struct {
	ID           string
	Organisation string
	Profile      string
	// Key is the idempotency key; a job with a key starts at most once.
	Key   string
	Shape Shape
	// RunTime is the declared run time, which may be far from the truth.
	RunTime   time.Duration
	Submitted time.Time
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Work is passed to the workers unread.
	Work []byte
	// Domain is the failure domain that runs the job.
	Domain string
	// Progress is the run time that the last checkpoint saved.
	Progress time.Duration
	// Attempt counts the starts of the job from 1.
	Attempt int
	// Group names jobs of which at most PerWorker may be on one worker; for a job of many tasks that bounds its own.
	Group     string
	PerWorker int
	// Label is one that each worker of the job must have; empty means any.
	Label string
	// Objective, and Stretch times the run time, is how long after its submission the job should end; zero means never.
	Objective time.Duration
	Stretch   float64
	// LosesProgress tells that the tasks do not checkpoint, so that a stop loses what they did.
	LosesProgress bool
	// Rack is the one near the job's data; empty means any.
	Rack string
	// Lasts is set for work that runs until it is cancelled, and IsFirm for work that is never stopped for other work.
	Lasts  bool
	IsFirm bool
}

// IsOnce reports whether the job must not run twice.
func (j Job) IsOnce() bool {
	return j.Key != ""
}

// Assignment places one task of a gang on a worker.
type Assignment struct {
	Task   int
	Worker string
}

// OutcomeKind says what is known of a job that ended.
type OutcomeKind string

// Kinds of outcome.
const (
	// Done means that the job ran and its answer is whole.
	Done OutcomeKind = "Done"
	// Refused means that no task of the job ran or ever will.
	Refused OutcomeKind = "Refused"
	// Unknown means that the job may have run.
	Unknown OutcomeKind = "Unknown"
	// Cancelled means that the caller withdrew the job before it ended.
	Cancelled OutcomeKind = "Cancelled"
)
