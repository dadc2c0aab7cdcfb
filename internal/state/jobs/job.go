package jobs

import (
	"fmt"
	"regexp"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// State says whether a job is open, and how it ended.
type State int

// States of a job.
const (
	Open State = iota
	Completed
	Failed
	Cancelled
)

// Step is a number of equal tasks.
type Step struct {
	Tasks        int
	Accelerators int
	// Processors are counted in the unit of the workers.
	Processors int
	Memory     fleet.Bytes
	// Estimate is the caller's guess of the run time of a task.
	Estimate time.Duration
	// Gang tasks work only together; the others are independent.
	Gang bool
	// Adjacent tasks run much slower on more than one rack.
	Adjacent bool
	// Checkpoints tells that the tasks save their progress.
	Checkpoints bool
	// Label is one that a worker must have, and Rack the one near the data; empty means any.
	Label string
	Rack  string
	// PerWorker bounds the tasks of the step on one worker; zero means no bound.
	PerWorker int
	// After lists the steps that must have ended before.
	After []int
	// Lasts is set for tasks that run until their job is cancelled and are started again however they end; MayMiss of them
	// may be away at a time.
	Lasts   bool
	MayMiss int
}

// Times says how often the steps of a job run, and when each occurrence is due.
type Times struct {
	Count int
	First time.Time
	Every time.Duration
}

// Units returns how many units the step has.
func (s *Step) Units() int {
	if s.Gang {
		return 1
	}
	return s.Tasks
}

var id = regexp.MustCompile(`^[0-9a-f]{16}$`)

// IsID reports whether a text can name a job.
func IsID(s string) bool {
	return id.MatchString(s)
}

// Job is one accepted job.
type Job struct {
	ID           string
	Organisation string
	Queue        string
	// Spec is handed to the workers unread.
	Spec  string
	Steps []Step
	// Times is nil for a job that runs once, at once.
	Times    *Times
	Accepted time.Time
	State    State
	Ended    time.Time
	// Reason tells why the job failed.
	Reason string
	// IsCancelling is set once the caller's cancel is stored.
	IsCancelling bool

	offset int64
	units  map[UnitKey]*Unit
}

// IsOpen reports whether the job still has to run.
func (j *Job) IsOpen() bool {
	return j.State == Open && !j.IsCancelling
}

// HasStarted reports whether a task of the job has ever started.
func (j *Job) HasStarted() bool {
	return len(j.units) > 0
}

// GetUnit returns the newest run of a unit, or nil when it never ran.
func (j *Job) GetUnit(k UnitKey) *Unit {
	return j.units[k]
}

// FindUnits returns the units that have ever run.
func (j *Job) FindUnits() []*Unit {
	out := make([]*Unit, 0, len(j.units))
	for _, u := range j.units {
		out = append(out, u)
	}
	return out
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	if j.Times == nil {
		return 1
	}
	return j.Times.Count
}

// DueAt returns when an occurrence is due.
func (j *Job) DueAt(occurrence int) time.Time {
	if j.Times == nil {
		return j.Accepted
	}
	return j.Times.First.Add(time.Duration(occurrence) * j.Times.Every)
}

// UnitKeys lists the keys of all units of a step in one occurrence.
func (j *Job) UnitKeys(occurrence, step int) []UnitKey {
	if j.Steps[step].Gang {
		return []UnitKey{{Job: j.ID, Occurrence: occurrence, Step: step, Index: WholeGang}}
	}
	out := make([]UnitKey, j.Steps[step].Tasks)
	for i := range out {
		out[i] = UnitKey{Job: j.ID, Occurrence: occurrence, Step: step, Index: i}
	}
	return out
}

// hasUnit reports whether the job has a unit of that key.
func (j *Job) hasUnit(k UnitKey) bool {
	if k.Occurrence < 0 || k.Occurrence >= j.Occurrences() || k.Step < 0 || k.Step >= len(j.Steps) {
		return false
	}
	s := &j.Steps[k.Step]
	if s.Gang {
		return k.Index == WholeGang
	}
	return k.Index >= 0 && k.Index < s.Tasks
}

// IsStepDone reports whether all units of a step have ended well in one occurrence.
func (j *Job) IsStepDone(occurrence, step int) bool {
	for _, k := range j.UnitKeys(occurrence, step) {
		u := j.units[k]
		if u == nil || u.Result != Done {
			return false
		}
	}
	return true
}

// IsStepReady reports whether all steps before have ended well in the same occurrence.
func (j *Job) IsStepReady(occurrence, step int) bool {
	for _, s := range j.Steps[step].After {
		if !j.IsStepDone(occurrence, s) {
			return false
		}
	}
	return true
}

// IsDone reports whether all steps have ended well in all occurrences.
func (j *Job) IsDone() bool {
	for o := range j.Occurrences() {
		for s := range j.Steps {
			if !j.IsStepDone(o, s) {
				return false
			}
		}
	}
	return true
}

// HasOpenUnitBeside reports whether a unit other than the given one has not ended well yet.
func (j *Job) HasOpenUnitBeside(but UnitKey) bool {
	for o := range j.Occurrences() {
		for s := range j.Steps {
			for _, k := range j.UnitKeys(o, s) {
				if k == but {
					continue
				}
				if x := j.units[k]; x == nil || x.Result != Done {
					return true
				}
			}
		}
	}
	return false
}

const (
	// maxOccurrences and maxTasks bound a job, so that one request cannot exhaust the memory of the hosts.
	maxOccurrences = 10_000
	maxTasks       = 100_000
)

// Check returns why the job cannot be scheduled, or an empty text.
func (j *Job) Check() string {
	if len(j.Steps) == 0 {
		return "a job needs a step"
	}
	if t := j.Times; t != nil && (t.Count < 1 || t.Count > maxOccurrences || t.Every < 0) {
		return fmt.Sprintf("a job has 1 to %d occurrences, one after the other", maxOccurrences)
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Tasks < 1 {
			return "a step needs a task"
		}
		if s.Accelerators < 0 || s.Processors < 0 || s.Memory < 0 || s.Estimate < 0 || s.PerWorker < 0 || s.MayMiss < 0 {
			return "what a step asks for cannot be below zero"
		}
		tasks += s.Tasks * j.Occurrences()
		if s.Tasks > maxTasks || tasks > maxTasks {
			return fmt.Sprintf("a job has at most %d tasks", maxTasks)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return "a step can only start after earlier steps"
			}
		}
	}
	return ""
}
