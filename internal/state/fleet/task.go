package fleet

import "time"

// TaskRef identifies one task of one attempt of a job.
type TaskRef struct {
	Job     string
	Attempt int
	Task    int
}

// TaskState is the state of a task on its worker.
type TaskState string

// States of a task.
const (
	// TaskPrepared means that the task holds its resources and does not run yet.
	TaskPrepared TaskState = "Prepared"
	// TaskRunning means that the task runs.
	TaskRunning TaskState = "Running"
	// TaskDone means that the task succeeded and its answer is ready.
	TaskDone TaskState = "Done"
	// TaskFailed means that the task itself ended with an error.
	TaskFailed TaskState = "Failed"
	// TaskStopped means that a command or an expired lease stopped the task.
	TaskStopped TaskState = "Stopped"
)

// Task is what a worker is asked to run.
type Task struct {
	Ref   TaskRef
	Shape Shape
	// Progress is the run time saved by the checkpoint from which a restarted task resumes.
	Progress time.Duration
	Work     []byte
	// Organisation and Profile let a new owner rebuild its state from the reports of the workers.
	Organisation string
	Profile      string
}

// TaskReport is the state of one task as reported by its worker.
type TaskReport struct {
	Task  Task
	State TaskState
	// Started is set if the task has ever run.
	Started  bool
	Progress time.Duration
	Error    string
	// Memory is the usage that the worker measured last, which lags behind the actual usage.
	Memory       Bytes
	AnswerBytes  int64
	AnswerDigest uint64
}

// Lease grants the owner of a term the right to command a worker until it expires.
type Lease struct {
	Term     Term
	Duration time.Duration
}

// Report is the state of a worker and its tasks as reported by the worker.
type Report struct {
	Worker Worker
	Term   Term
	Tasks  []TaskReport
	// Since is the time from which the worker remembers its tasks; zero if it does not report one.
	Since time.Time
	// Asked is when the report was requested; it may lack what happened later.
	Asked time.Time
}
