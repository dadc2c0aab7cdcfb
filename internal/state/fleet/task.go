package fleet

import "time"

// TaskRef names one task of one attempt of a job.
type TaskRef struct {
	Job     string
	Attempt int
	Task    int
}

// TaskState says where a task stands on its worker.
type TaskState string

// States of a task.
const (
	// TaskPrepared holds its resources and does not run.
	TaskPrepared TaskState = "Prepared"
	// TaskRunning runs.
	TaskRunning TaskState = "Running"
	// TaskDone ended well and its answer waits.
	TaskDone TaskState = "Done"
	// TaskFailed ended with an error of its own.
	TaskFailed TaskState = "Failed"
	// TaskStopped was stopped by a command or a lapsed lease.
	TaskStopped TaskState = "Stopped"
)

// Task is what a worker is asked to run.
type Task struct {
	Ref   TaskRef
	Shape Shape
	// Progress is where a restarted task resumes.
	Progress time.Duration
	Work     []byte
	// Organisation and Profile let a new owner rebuild its books from the workers.
	Organisation string
	Profile      string
}

// TaskReport is what a worker says of one task.
type TaskReport struct {
	Task  Task
	State TaskState
	// Started is set when the task has ever run.
	Started  bool
	Progress time.Duration
	Error    string
	// Memory is the use that the worker last measured; it lags.
	Memory       Bytes
	AnswerBytes  int64
	AnswerDigest uint64
}

// Lease is the right of one term to command a worker until it lapses.
type Lease struct {
	Term     Term
	Duration time.Duration
}

// Report is what a worker says of itself.
type Report struct {
	Worker Worker
	Term   Term
	Tasks  []TaskReport
	// Since is when the worker's memory of tasks begins; zero when it does not say.
	Since time.Time
	// Asked is when the report was asked for; what happened later is not in it.
	Asked time.Time
}
