package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

// phase says where the newest run of a unit stands.
type phase int

const (
	// phaseQueued waits in the planner.
	phaseQueued phase = iota
	// phaseStoring waits for the record of the start.
	phaseStoring
	// phaseStarting waits for the workers to take their tasks.
	phaseStarting
	// phaseRunning runs on all workers.
	phaseRunning
	// phaseStopping waits for the tasks to end.
	phaseStopping
	// phaseEnding waits for the record of the end.
	phaseEnding
)

// presence says what is known of a task on its worker.
type presence int

const (
	// taskUnknown may be there, or may come there.
	taskUnknown presence = iota
	// taskThere was seen on the worker.
	taskThere
	// taskEnded has ended, or will never start.
	taskEnded
)

// member is one task of a unit on one lifetime of a worker.
type member struct {
	worker   string
	instance string
	task     int
	presence presence
	// seen is when the task was first known to be on the worker.
	seen     time.Time
	result   jobs.Result
	isBroken bool
	// barred is when the worker confirmed that the run will not start any more; zero before.
	barred     time.Time
	isStopping bool
	// percent is how much of the work was done when last seen, and moved when that last grew, on the worker's clock, once
	// isWatched is set.
	percent   int
	moved     time.Duration
	isWatched bool
	// isStalled is set when the task is stopped because it does not go on.
	isStalled bool
	// isUndecided is set while a try to start the task is on its way or was not answered, so that it may be carried out.
	isUndecided bool
	// number is that of the end in the list of the worker; zero when it was not listed.
	number int64
}

// unit is what the engine knows of a unit that is not done.
type unit struct {
	key        jobs.UnitKey
	name       string
	job        string
	org        string
	queue      string
	spec       string
	step       jobs.Step
	phase      phase
	run        int
	failures   int
	checkpoint string
	progress   time.Duration
	members    []*member
	since      time.Time
	// isOver is set when the job has ended or is being cancelled, so that the unit is not run again.
	isOver bool
	// why tells what a stop is for.
	why string
}

func (u *unit) ref(m *member) port.RunRef {
	return port.RunRef{Job: u.job, Occurrence: u.key.Occurrence, Step: u.key.Step, Task: m.task, Run: u.run}
}

// record returns the unit as it is stored.
func (u *unit) record(r jobs.Result) *jobs.Unit {
	x := &jobs.Unit{
		Key: u.key, Run: u.run, Failures: u.failures, Result: r, Checkpoint: u.checkpoint, Progress: u.progress,
	}
	for _, m := range u.members {
		x.Members = append(x.Members, jobs.Member{Worker: m.worker, Instance: m.instance})
	}
	return x
}

// isGone reports whether no task of the run is or will be on a worker.
func (u *unit) isGone() bool {
	for _, m := range u.members {
		if m.presence != taskEnded {
			return false
		}
	}
	return true
}

// result sums up how the tasks of the run ended.
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

// blamed returns the workers whose tasks ended with a result.
func (u *unit) blamed(r jobs.Result) []string {
	var out []string
	for _, m := range u.members {
		if m.result == r && !m.isBroken {
			out = append(out, m.worker)
		}
	}
	return out
}

// isDeposed reports whether a newer owner has been seen by the store.
func isDeposed(err error) bool {
	return errors.Is(err, port.ErrEpoch)
}

// shape returns what the planner places.
func (e *Engine) shape(u *unit) fleet.Shape {
	s := fleet.Shape{
		Tasks: 1, Accelerators: u.step.Accelerators, Processors: u.step.Processors, Memory: u.step.Memory,
		Adjacent: fleet.LevelDomain,
	}
	if u.key.Index == jobs.WholeGang {
		s.Tasks = u.step.Tasks
	}
	if u.step.Adjacent && s.Tasks > 1 && e.planner.FitsEmptyRack(s) {
		s.Adjacent = fleet.LevelRack
	}
	return s
}
