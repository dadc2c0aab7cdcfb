package jobs

import (
	"regexp"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// State says whether a job is open or how it ended.
type State int

// States of a job.
const (
	Open State = iota
	Completed
	Failed
	Cancelled
)

// isEnd reports whether a job in this state has ended.
func (s State) isEnd() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// Step is a number of equal tasks.
type Step struct {
	Tasks        int
	Accelerators int
	// Processors is in the unit in which workers report theirs.
	Processors int
	Memory     fleet.Bytes
	// Estimate is the run time of a task as estimated by the caller.
	Estimate time.Duration
	// Gang is set if the tasks run only together; otherwise they are independent.
	Gang bool
	// Adjacent is set if the tasks run much slower when spread over more than one rack.
	Adjacent bool
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool
	// Label is required of a worker, and Rack is the one close to the data; empty means any.
	Label string
	Rack  string
	// PerWorker is the maximum number of tasks of the step on one worker; zero means no maximum.
	PerWorker int
	// After lists the indices of the steps that must be done before this one starts.
	After []int
	// Lasts is set for tasks that run until their job is cancelled and are restarted whenever they end. MayMiss is how
	// many of them may be down at the same time.
	Lasts   bool
	MayMiss int
}

// Times is the schedule of a job that runs more than once.
type Times struct {
	// Count is the number of occurrences, First when the first is due, and Every the interval between them.
	Count int
	First time.Time
	Every time.Duration
}

// Terms are the terms of a queue for its jobs.
type Terms struct {
	// Service names the workers that run the tasks.
	Service string
	Urgency config.Urgency
	// MaxAttempts is the maximum number of failed runs of a task; zero means no maximum.
	MaxAttempts int
	// A job should end within Stretch times the run time of its longest chain of steps, plus Objective.
	Stretch   float64
	Objective time.Duration
}

// Units returns how many units the step has.
func (s *Step) Units() int {
	if s.Gang {
		return 1
	}
	return s.Tasks
}

var idPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// IsID reports whether a string is a well-formed job id.
func IsID(s string) bool {
	return idPattern.MatchString(s)
}

// Job is one accepted job.
type Job struct {
	ID           string
	Organisation string
	Queue        string
	// Spec is passed to the workers without being interpreted.
	Spec  string
	Steps []Step
	// Times is nil for a job that runs once, as soon as possible.
	Times *Times
	// Terms are those of the queue when it accepted the job; they hold once the queue has been removed. They are nil for a
	// job that was accepted by an earlier version.
	Terms    *Terms
	Accepted time.Time
	State    State
	Ended    time.Time
	// Reason is why the job failed.
	Reason string
	// IsCancelling is set once the caller's cancellation is stored.
	IsCancelling bool

	// offset is that of the job record, or of the end record once the job has ended.
	offset int64
	units  map[UnitKey]*Unit
	// hasStarted is set once a record of a unit has told that a task started.
	hasStarted bool
	// footprint is that of the job when it was read.
	footprint fleet.Bytes
}

// IsOpen reports whether the job still has to run.
func (j *Job) IsOpen() bool {
	return j.State == Open && !j.IsCancelling
}

const (
	// jobBytes, stepBytes and unitBytes are the memory that an open job, one of its steps and one of its units take on the
	// owner, at most. A unit of an occurrence that is not due, or that has ended, takes recordBytes.
	jobBytes    fleet.Bytes = 4 << 10
	stepBytes   fleet.Bytes = 4 << 10
	unitBytes   fleet.Bytes = 2 << 10
	recordBytes fleet.Bytes = 512
)

// Footprint returns an estimate of the memory that the job takes on the owner while it is open.
func (j *Job) Footprint() fleet.Bytes {
	n := jobBytes + fleet.Bytes(len(j.Spec))
	for k := range j.Steps {
		s := &j.Steps[k]
		n += stepBytes + fleet.Bytes(8*len(s.After))
		n += fleet.Bytes(s.Units()) * (unitBytes + recordBytes*fleet.Bytes(j.Occurrences()-1))
	}
	return n
}

// HasStarted reports whether a task of the job is known to have started.
func (j *Job) HasStarted() bool {
	return j.hasStarted
}

// setUnit replaces the newest run of a unit.
func (j *Job) setUnit(u *Unit) {
	j.units[u.Key] = u
	j.hasStarted = j.hasStarted || !u.IsUnbegun
}

// GetUnit returns the newest run of a unit, or nil if the unit never ran.
func (j *Job) GetUnit(k UnitKey) *Unit {
	return j.units[k]
}

// FindUnits returns the newest runs of all units that ever ran.
func (j *Job) FindUnits() []*Unit {
	out := make([]*Unit, 0, len(j.units))
	for _, u := range j.units {
		out = append(out, u)
	}
	return out
}

// Occurrences returns how many times the steps run.
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

// UnitKeys returns the keys of all units of a step in one occurrence.
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

// hasUnit reports whether the job has a unit with the key.
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

// IsStepDone reports whether all units of a step have succeeded in an occurrence.
func (j *Job) IsStepDone(occurrence, step int) bool {
	for _, k := range j.UnitKeys(occurrence, step) {
		u := j.units[k]
		if u == nil || u.Result != Done {
			return false
		}
	}
	return true
}

// IsStepReady reports whether all steps that a step depends on have succeeded in the same occurrence.
func (j *Job) IsStepReady(occurrence, step int) bool {
	for _, s := range j.Steps[step].After {
		if !j.IsStepDone(occurrence, s) {
			return false
		}
	}
	return true
}

// IsDone reports whether all steps have succeeded in all occurrences.
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

// HasOtherOpenUnit reports whether a unit other than the given one has not succeeded yet.
func (j *Job) HasOtherOpenUnit(except UnitKey) bool {
	for o := range j.Occurrences() {
		for s := range j.Steps {
			for _, k := range j.UnitKeys(o, s) {
				if k == except {
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
