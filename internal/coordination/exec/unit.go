package exec

import (
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

// phase is the state of the newest run of a unit.
type phase int

const (
	// phaseQueued: waiting in the planner.
	phaseQueued phase = iota
	// phaseStoring: the record of the start is being stored.
	phaseStoring
	// phaseStarting: not all workers have accepted their tasks.
	phaseStarting
	// phaseRunning: all workers have accepted their tasks.
	phaseRunning
	// phaseStopping: the tasks have been told to stop and not all have ended.
	phaseStopping
	// phaseEnding: the record of the end is being stored.
	phaseEnding
)

// presence tells whether a task is on its worker, as far as the engine knows.
type presence int

const (
	// taskUnknown: the task may be on the worker, or its start may still arrive there.
	taskUnknown presence = iota
	// taskPresent: the worker has accepted or reported the task.
	taskPresent
	// taskEnded: the task has ended or will never start.
	taskEnded
)

// member is one task of a unit on one instance of a worker.
type member struct {
	worker   string
	instance string
	task     int
	presence presence
	// firstSeen is when the task was first known to be on the worker.
	firstSeen time.Time
	result    jobs.Result
	// evidence tells why the task was counted as lost; empty if it was not.
	evidence    lossEvidence
	isSecondary bool
	// stopConfirmedAt is when the worker confirmed that the run will not start any more; zero before.
	stopConfirmedAt time.Time
	isStopping      bool
	// percent is the last reported progress and progressedAt when it last changed, by the clock of the worker; both are
	// valid once hasProgress is set.
	percent      int
	progressedAt time.Duration
	hasProgress  bool
	// isStalled is set when the task is stopped because it makes no progress.
	isStalled bool
	// isWorkerFault is set when the loss of the task is evidence against its worker, and not just a loss of contact.
	isWorkerFault bool
	// isSent is set once a start of the task may have been sent to the worker, and sentAt is when this owner sent the last attempt.
	isSent bool
	sentAt time.Time
	// isRefused is set when the worker has not accepted the task.
	isRefused bool
	// isUndecided is set while a start of the task is in transit or was not answered, so that it may still be executed.
	isUndecided bool
	// isAdopted is set when a former owner started the task.
	isAdopted bool
	// isSettled is set if, when the run was placed there, the instance of the worker held no lease by an order for a former one.
	isSettled bool
	// isLate is set for the end of an earlier run that completed after it had been counted as lost.
	isLate bool
	// endNumber is the number of the end in the report of the worker; zero when the worker has not reported it.
	endNumber int64
}

// unit is the state of a unit that is not done.
type unit struct {
	key      jobs.UnitKey
	name     string
	job      string
	org      string
	queue    string
	spec     string
	step     jobs.Step
	phase    phase
	run      int
	failures int
	// maxAttempts is the limit of failed runs that the newest record of the unit holds; zero if none.
	maxAttempts int
	checkpoint  string
	progress    time.Duration
	members     []*member
	since       time.Time
	// phaseSince is when the unit entered its phase.
	phaseSince time.Time
	// hasBegun is set once a worker has shown that it began a task of the unit in any run.
	hasBegun bool
	// unbegun is the newest record of the unit if that says that the unit has not begun.
	unbegun *jobs.Unit
	// isOver is set when the job has ended or is being cancelled; the unit is not run again.
	isOver bool
}

// setPhase moves a unit to a phase; a unit that is queued again while it is queued keeps the time of the first.
func (e *Engine) setPhase(u *unit, p phase) {
	if u.phase != p || u.phaseSince.IsZero() {
		u.phaseSince = e.clock.Now()
	}
	u.phase = p
}

// String returns the name of the phase in logs.
func (p phase) String() string {
	return [...]string{"Queued", "Storing", "Starting", "Running", "Stopping", "Ending"}[p]
}

func (u *unit) ref(m *member) port.RunRef {
	return port.RunRef{Job: u.job, Occurrence: u.key.Occurrence, Step: u.key.Step, Task: m.task, Run: u.run}
}

// record returns the record of a unit, which the caller stores.
func (e *Engine) record(u *unit, r jobs.Result) *jobs.Unit {
	u.maxAttempts = e.maxAttempts(u)
	x := &jobs.Unit{
		Key: u.key, Run: u.run, Failures: u.failures, Result: r, Checkpoint: u.checkpoint, Progress: u.progress, MaxAttempts: u.maxAttempts,
	}
	x.IsUnbegun = !u.hasBegun
	for _, m := range u.members {
		x.Members = append(x.Members, jobs.Member{Worker: m.worker, Instance: m.instance, IsSettled: m.isSettled})
	}
	u.unbegun = nil
	if x.IsUnbegun {
		u.unbegun = x
	}
	return x
}

// hasEnded reports whether all tasks of the run have ended or will never start.
func (u *unit) hasEnded() bool {
	for _, m := range u.members {
		if m.presence != taskEnded {
			return false
		}
	}
	return true
}

// isUnconfirmed reports whether a start of the unit is stored and no worker has shown that it has begun.
func (u *unit) isUnconfirmed() bool {
	return !u.hasBegun && u.phase != phaseQueued
}

// hasLateEnd reports whether an earlier run has completed, so that the unit is done whatever becomes of the newest.
func (u *unit) hasLateEnd() bool {
	return slices.ContainsFunc(u.members, func(m *member) bool { return m.isLate })
}

// result returns the result of the run from the results of its tasks.
func (u *unit) result() jobs.Result {
	out := jobs.Stopped
	for _, m := range u.members {
		switch {
		case m.result == jobs.Done:
			return jobs.Done
		case m.result == jobs.FailedRun:
			out = jobs.FailedRun
		case m.result == jobs.Lost && out == jobs.Stopped:
			out = jobs.Lost
		}
	}
	return out
}

// failedWorkers returns the workers whose tasks ended with result r, except for tasks that ended only because another
// task of their gang ended, and for tasks that were lost without a fault of the worker.
func (u *unit) failedWorkers(r jobs.Result) []string {
	var out []string
	for _, m := range u.members {
		isFault := r != jobs.Lost || m.isWorkerFault
		if m.result == r && !m.isSecondary && isFault {
			out = append(out, m.worker)
		}
	}
	return out
}

// refusingWorkers returns the workers that have not accepted a task.
func (u *unit) refusingWorkers() []string {
	var out []string
	for _, m := range u.members {
		if m.isRefused {
			out = append(out, m.worker)
		}
	}
	return out
}

// isFenced reports whether the store rejected an append because it has seen a newer owner.
func isFenced(err error) bool {
	return errors.Is(err, port.ErrStaleEpoch)
}

// shape returns the resources and the adjacency that the planner has to provide for a unit.
func (e *Engine) shape(u *unit) fleet.Shape {
	s := fleet.Shape{
		Tasks: 1, Accelerators: u.step.Accelerators, Processors: u.step.Processors, Memory: u.step.Memory,
		Adjacent: fleet.LevelDomain,
	}
	if u.key.Index == jobs.WholeGang {
		s.Tasks = u.step.Tasks
	}
	if u.step.Adjacent && s.Tasks > 1 && e.planner.FitsEmptyRack(s, e.serviceOf(u.queue)) {
		s.Adjacent = fleet.LevelRack
	}
	return s
}
