package plan

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
)

// Start asks for one gang to be prepared and started.
type Start struct {
	Job       fleet.Job
	Placement []fleet.Assignment
	Reason    string
}

// Stop asks for a running gang to be checkpointed and stopped, after which it is queued again.
type Stop struct {
	Job    string
	Grace  time.Duration
	Reason string
}

// Refusal ends a queued job that cannot run.
type Refusal struct {
	Job        string
	Reason     string
	RetryAfter time.Duration
	// Ran is set when an attempt of the job may have run, so that the caller must not hear that it did not.
	Ran bool
}

// Decisions are the result of one pass.
type Decisions struct {
	Starts   []Start
	Stops    []Stop
	Refusals []Refusal
	// Throttles limit running tasks that outgrow their memory.
	Throttles []Throttle
}

// Status explains where a job stands.
type Status struct {
	Job      fleet.Job
	State    string
	Reason   string
	WaitsFor string
	Workers  []string
	Expected time.Time
}

// ErrJobNotExist says that the planner does not hold a job.
var ErrJobNotExist = errors.New("job does not exist")

// States of a job in the planner.
const (
	StateQueued   = "Queued"
	StateStarting = "Starting"
	StateRunning  = "Running"
	StateStopping = "Stopping"
)

// Result says how an attempt of a gang ended.
type Result string

// Results of an attempt.
const (
	// ResultDone ended well.
	ResultDone Result = "Done"
	// ResultFailed ended with an error of a task.
	ResultFailed Result = "Failed"
	// ResultStopped was checkpointed and stopped on request.
	ResultStopped Result = "Stopped"
	// ResultLost ended because a worker was lost or not reached.
	ResultLost Result = "Lost"
	// ResultNoStart never started, because not all tasks could be prepared.
	ResultNoStart Result = "NoStart"
)

// Ended describes the end of an attempt.
type Ended struct {
	Job    string
	Result Result
	// Workers that failed or were lost; empty when none is to blame.
	Workers  []string
	Progress time.Duration
	At       time.Time
	// Requeue keeps the job in the queue for another attempt.
	Requeue bool
}

// Summary describes the load of the failure domain for other domains.
type Summary struct {
	FreeAccelerators int
	Accelerators     int
	Fragmentation    float64
	// Wait is the expected wait per urgency before new work would start.
	Wait map[config.Urgency]time.Duration
}

// WorkerView is one row of the planner's books.
type WorkerView struct {
	Worker           fleet.Worker
	State            string
	Reason           string
	SlotsUsed        int
	AcceleratorsUsed int
}
