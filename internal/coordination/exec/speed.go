package exec

import (
	"fmt"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/auburncleat/auburncleat/internal/state/speed"
)

const (
	// speedInterval is the time between two updates of the speeds of the workers.
	speedInterval = 500 * time.Millisecond
	// maxLoggedChanges is the largest number of changed workers that one update logs.
	maxLoggedChanges = 20
)

// newSpeeds returns the tracker of the speeds of the workers, or nil if the planner does not take them into account.
func newSpeeds(enabled, disabled []plan.Mechanism) *speed.Tracker {
	if !slices.Contains(enabled, plan.Speeds) || slices.Contains(disabled, plan.Speeds) {
		return nil
	}
	return speed.New()
}

// recordSpeed records the progress of a task as evidence on the speed of its worker. Tasks that are slower away from their data
// and tasks that last tell nothing of it.
func (e *Engine) recordSpeed(w *worker, t task, x port.RunState, workerClock time.Duration) {
	u := t.unit
	if e.speeds == nil || u.phase != phaseRunning || u.step.Lasts || u.step.Rack != "" {
		return
	}
	e.speeds.Observe(speedGroup(u), speed.Reading{
		Worker: w.name, Task: t.member.task, Run: u.run, Percent: x.Percent, Clock: workerClock,
	})
}

// speedGroup returns the tasks with which those of a unit are compared: its run if it is a gang, else its step.
func speedGroup(u *unit) speed.Group {
	if u.key.Index == jobs.WholeGang {
		return speed.Group{Name: fmt.Sprintf("%s/%d", u.name, u.run), IsGang: true}
	}
	k := u.key
	k.Index = jobs.WholeGang
	return speed.Group{Name: k.String()}
}

// forgetSpeed drops what is known of the speed of a worker.
func (e *Engine) forgetSpeed(name string) {
	if e.speeds == nil {
		return
	}
	e.speeds.Forget(name)
	e.planner.SetSlowness(name, 0)
}

// updateSpeeds passes changed speeds of workers to the planner.
func (e *Engine) updateSpeeds(now time.Time) {
	if e.speeds == nil || now.Sub(e.lastSpeeds) < speedInterval {
		return
	}
	e.lastSpeeds = now
	logged := 0
	for _, c := range e.speeds.Update() {
		e.planner.SetSlowness(c.Worker, c.Slowness)
		if c.Before == c.Now {
			continue
		}
		e.scope.Tagged(map[string]string{"Speed": c.Now}).Counter("worker_speed_changes").Inc(1)
		if logged++; logged > maxLoggedChanges {
			continue
		}
		e.log.Info("worker speed changed", "Worker", c.Worker, "Before", c.Before, "Now", c.Now, "Slowness", c.Slowness,
			"Deviation", c.Deviation, "Groups", c.Groups, "Changes", logged)
	}
	if logged > 0 {
		e.requestPass()
	}
}
