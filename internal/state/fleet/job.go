package fleet

import "time"

// Job is one request of a caller, as scheduled by a failure domain.
type Job struct {
	ID           string
	Organisation string
	Profile      string
	// Key is the idempotency key; a job with a key starts at most once. Empty means that the job may be started again.
	Key   string
	Shape Shape
	// RunTime is the declared run time, which may differ widely from the actual one.
	RunTime   time.Duration
	Submitted time.Time
	// Submission names what the job was submitted in together with others; empty means by itself.
	Submission string
	// Deadline is when the caller stops waiting; zero means that there is none.
	Deadline time.Time
	// Work is passed to the workers without being interpreted.
	Work []byte
	// Domain is the failure domain that runs the job.
	Domain string
	// Progress is the run time saved by the last checkpoint.
	Progress time.Duration
	// Attempt counts the starts of the job from 1.
	Attempt int
	// PerWorker is the maximum number of tasks on one worker, of this job and of all jobs with the same non-empty Group;
	// zero means no maximum.
	Group     string
	PerWorker int
	// Label is required of each worker of the job; empty means any.
	Label string
	// The job should end within Objective plus Stretch times its run time after submission; a Stretch of zero means that
	// it has no objective.
	Objective time.Duration
	Stretch   float64
	// LosesProgress is set if the tasks do not checkpoint, so that stopping them loses their progress.
	LosesProgress bool
	// Rack is the one close to the job's data; empty means any.
	Rack string
	// Lasts is set for a job that runs until it is cancelled, and IsFirm for a job that is never preempted.
	Lasts  bool
	IsFirm bool
}

// IsOnce reports whether the job must not run twice.
func (j Job) IsOnce() bool {
	return j.Key != ""
}

// Assignment is the placement of one task of a gang on a worker.
type Assignment struct {
	Task   int
	Worker string
}

// OutcomeKind is what is known of a job that ended.
type OutcomeKind string

// Kinds of outcome.
const (
	// Done means that the job ran and its answer is complete.
	Done OutcomeKind = "Done"
	// Refused means that no task of the job ran or will run.
	Refused OutcomeKind = "Refused"
	// Unknown means that the job may have run.
	Unknown OutcomeKind = "Unknown"
	// Cancelled means that the caller cancelled the job before it ended.
	Cancelled OutcomeKind = "Cancelled"
)
