package worker

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/store"
)

// Codes of the failures that a worker reports.
const (
	CodeFenced = "Fenced"
	CodeNoRoom = "NoRoom"
	CodeNoTask = "NoTask"
)

// Paths of the requests that a worker serves.
const (
	PathRenew    = "/renew"
	PathInspect  = "/inspect"
	PathPrepare  = "/prepare"
	PathStart    = "/start"
	PathStop     = "/stop"
	PathThrottle = "/throttle"
	PathForget   = "/forget"
	PathAnswer   = "/answer"
)

// Shape holds the resources of one task and the size of its gang.
type Shape struct {
	Tasks        int
	Accelerators int
	Processors   int
	MemoryBytes  int64
	Adjacent     string
}

// Task is a task that a worker is to run.
type Task struct {
	Ref            fleet.TaskRef
	Shape          Shape
	ProgressMillis int64  `json:",omitempty"`
	Work           []byte `json:",omitempty"`
	Organisation   string
	Profile        string
}

// TaskReport is the state of one task on a worker; only the reply to an InspectRequest includes Task.Work.
type TaskReport struct {
	Task           Task
	State          string
	Started        bool   `json:",omitempty"`
	ProgressMillis int64  `json:",omitempty"`
	Error          string `json:",omitempty"`
	MemoryBytes    int64  `json:",omitempty"`
	AnswerBytes    int64  `json:",omitempty"`
	AnswerDigest   uint64 `json:",omitempty"`
}

// RenewRequest extends the lease of the worker; Since is the change counter of the last report that the sender has.
type RenewRequest struct {
	Term        fleet.Term
	LeaseMillis int64
	Since       uint64 `json:",omitempty"`
}

// Report is the state of a worker; with Partial it holds only the tasks that changed after the requested counter.
type Report struct {
	Worker  *store.Worker `json:",omitempty"`
	Term    fleet.Term
	Change  uint64
	Partial bool            `json:",omitempty"`
	Tasks   []TaskReport    `json:",omitempty"`
	Gone    []fleet.TaskRef `json:",omitempty"`
	// SinceUnixMillis is the time from which on the worker knows its tasks.
	SinceUnixMillis int64 `json:",omitempty"`
}

// InspectRequest asks for a full report and raises the worker to a term.
type InspectRequest struct {
	Term fleet.Term
}

// PrepareRequest reserves capacity for tasks.
type PrepareRequest struct {
	Term  fleet.Term
	Tasks []Task
}

// RefsRequest lists tasks to start or to forget.
type RefsRequest struct {
	Term fleet.Term
	Refs []fleet.TaskRef
}

// StopRequest stops tasks; with a grace period they write a checkpoint first.
type StopRequest struct {
	Term        fleet.Term
	Refs        []fleet.TaskRef
	GraceMillis int64
}

// ThrottleRequest limits a task to a share of its processors.
type ThrottleRequest struct {
	Term  fleet.Term
	Ref   fleet.TaskRef
	Share float64
}

// TaskFromFleet converts a task to its message.
func TaskFromFleet(t fleet.Task) Task {
	return Task{
		Ref: t.Ref,
		Shape: Shape{
			Tasks:        t.Shape.Tasks,
			Accelerators: t.Shape.Accelerators,
			Processors:   t.Shape.Processors,
			MemoryBytes:  int64(t.Shape.Memory),
			Adjacent:     string(t.Shape.Adjacent),
		},
		ProgressMillis: t.Progress.Milliseconds(),
		Work:           t.Work,
		Organisation:   t.Organisation,
		Profile:        t.Profile,
	}
}

// ToFleet converts the message to a fleet.Task.
func (t Task) ToFleet() fleet.Task {
	return fleet.Task{
		Ref: t.Ref,
		Shape: fleet.Shape{
			Tasks:        t.Shape.Tasks,
			Accelerators: t.Shape.Accelerators,
			Processors:   t.Shape.Processors,
			Memory:       fleet.Bytes(t.Shape.MemoryBytes),
			Adjacent:     fleet.Level(t.Shape.Adjacent),
		},
		Progress:     millis(t.ProgressMillis),
		Work:         t.Work,
		Organisation: t.Organisation,
		Profile:      t.Profile,
	}
}

// ToFleet converts the message to a fleet.TaskReport.
func (r TaskReport) ToFleet() fleet.TaskReport {
	return fleet.TaskReport{
		Task:         r.Task.ToFleet(),
		State:        fleet.TaskState(r.State),
		Started:      r.Started,
		Progress:     millis(r.ProgressMillis),
		Error:        r.Error,
		Memory:       fleet.Bytes(r.MemoryBytes),
		AnswerBytes:  r.AnswerBytes,
		AnswerDigest: r.AnswerDigest,
	}
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
