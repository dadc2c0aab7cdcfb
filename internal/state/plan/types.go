package plan

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/health"
	"github.com/pkg/errors"
)

// Start is the decision to prepare and start one gang.
type Start struct {
	Job       fleet.Job
	Placement []fleet.Assignment
	Reason    string
}

// Stop is the decision to checkpoint and stop a running gang, which is then queued again.
type Stop struct {
	Job    string
	Grace  time.Duration
	Reason string
}

// Refusal is the decision to reject a queued job.
type Refusal struct {
	Job        string
	Reason     string
	RetryAfter time.Duration
	// Ran is set if an attempt of the job may have run, so that the caller must not be told that it did not.
	Ran bool
}

// Decisions are the result of one pass.
type Decisions struct {
	Starts   []Start
	Stops    []Stop
	Refusals []Refusal
	// Throttles limit running tasks that exceed their memory.
	Throttles []Throttle
	// Health holds the changes in the health of workers since the last pass.
	Health []health.Transition
}

// Status describes the state of a job and what it waits for.
type Status struct {
	Job      fleet.Job
	State    string
	Reason   string
	WaitsFor string
	Workers  []string
	Expected time.Time
}

// ErrJobNotExist is returned for a job that the planner does not know.
var ErrJobNotExist = errors.New("job does not exist")

// States of a job in the planner.
const (
	StateQueued   = "Queued"
	StateStarting = "Starting"
	StateRunning  = "Running"
	StateStopping = "Stopping"
)

// Result is the outcome of an attempt of a gang.
type Result string

// Results of an attempt.
const (
	// ResultDone is a successful end.
	ResultDone Result = "Done"
	// ResultFailed is an end with an error of a task.
	ResultFailed Result = "Failed"
	// ResultStopped is a checkpoint and stop on request.
	ResultStopped Result = "Stopped"
	// ResultLost is an end because a worker was lost or unreachable.
	ResultLost Result = "Lost"
	// ResultNoStart is an attempt that never started because not all tasks could be prepared.
	ResultNoStart Result = "NoStart"
)

// Ended describes the end of an attempt.
type Ended struct {
	Job    string
	Result Result
	// Workers are those that failed or were lost; empty if the end is not attributed to a worker.
	Workers []string
	// Refused are workers that did not accept a task; the job avoids them, which says nothing of their health.
	Refused  []string
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
	// Wait is the expected wait of new work by urgency.
	Wait map[config.Urgency]time.Duration
}

// WorkerView is the state and use of a worker as the planner sees it.
type WorkerView struct {
	Worker           fleet.Worker
	State            string
	Reason           string
	SlotsUsed        int
	AcceleratorsUsed int
}
