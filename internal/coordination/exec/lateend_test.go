package exec

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// firstRunTakes is the plan of runs of which the first of each unit of the first step takes a time, the others there an hour, and all
// of later steps a second.
func firstRunTakes(d time.Duration, gang int) standin.RunPlan {
	return func(r port.RunRef, _ string) standin.RunOutcome {
		o := standin.RunOutcome{Work: time.Second, Result: jobs.Done}
		if r.Step == 0 {
			o.Work, o.Gang = time.Hour, gang
			if r.Run == 1 {
				o.Work = d
			}
		}
		return o
	}
}

// TestNextStepStartsAfterLateEndOfLostRun guards against a job whose next step waits for the second run of a task, though the first
// one, which was counted as lost with a worker that was cut off, has reported that it is done.
func TestNextStepStartsAfterLateEndOfLostRun(t *testing.T) {
	for name, gang := range map[string]int{"task": 0, "gang": 2} {
		t.Run(name, func(t *testing.T) {
			runInRig(t, 6, firstRunTakes(2*time.Second, gang), func(r *rig) {
				r.advance(time.Second)
				first, next := taskStep(max(gang, 1)), taskStep(1)
				first.Gang = gang > 0
				next.After = []int{0}
				r.submit(testID, first, next)
				r.advance(time.Second)
				_, name := r.newestRunOf(testID, first.Gang)
				w := r.findWorker(name)
				r.gone.Store(&w.Addr)
				for until := time.Now().Add(7 * time.Second); ; r.advance(10 * time.Millisecond) {
					run, on := r.newestRunOf(testID, first.Gang)
					if run == 2 && on != name && len(r.runners.FindRunning()) > 0 {
						break
					}
					require.True(t, time.Now().Before(until), "run %d on %s", run, on)
				}
				r.gone.Store(nil)
				r.waitForState(testID, jobs.Completed, 5*time.Second)
				r.advance(time.Second)
				require.Empty(t, r.runners.FindRunning())
				require.Empty(t, r.engine.units)
			})
		})
	}
}

// TestLateEndOfLostRunEndsUnitInAnyPhase guards against a result that is thrown away because it is reported while the next run of its
// unit is being started, stopped or ended.
func TestLateEndOfLostRunEndsUnitInAnyPhase(t *testing.T) {
	for _, p := range []phase{phaseQueued, phaseStoring, phaseStarting, phaseRunning, phaseStopping, phaseEnding} {
		t.Run(p.String(), func(t *testing.T) {
			runInRig(t, 2, runsTaking(time.Hour), func(r *rig) {
				r.advance(time.Second)
				r.submit(testID, taskStep(1))
				r.requireRunning(testID, 1, time.Second)
				r.store.SetDelay(100 * time.Millisecond)
				u, w, x := r.loseRun(testID)
				r.reachPhase(u, p)
				r.engine.mu.Lock()
				require.Equal(t, p, u.phase)
				r.engine.handleLateEnd(w, x)
				r.engine.mu.Unlock()
				r.waitForState(testID, jobs.Completed, 5*time.Second)
				r.advance(time.Second)
				for _, x := range r.runners.FindRunning() {
					require.Equal(t, 1, x.Run, "%v", x)
				}
				require.Empty(t, r.engine.units)
				require.LessOrEqual(t, u.run, 2)
			})
		})
	}
}

// reachPhase lets the unit of a lost run come to a phase of its next run.
func (r *rig) reachPhase(u *unit, p phase) {
	r.t.Helper()
	switch p {
	case phaseStopping, phaseEnding:
		r.waitForPhase(u, phaseRunning)
		r.engine.mu.Lock()
		r.engine.stopRun(u, "a test")
		r.engine.mu.Unlock()
	case phaseQueued, phaseStoring, phaseStarting, phaseRunning:
	}
	r.waitForPhase(u, p)
}

func (r *rig) findWorker(name string) fleet.Worker {
	for _, w := range r.workers {
		if w.Name == name {
			return w
		}
	}
	return fleet.Worker{}
}

// newestRunOf returns the number and the first worker of the newest run of the first task, or of the gang, of a job.
func (r *rig) newestRunOf(id string, isGang bool) (run int, worker string) {
	if !isGang {
		return r.newestRun(id)
	}
	u := r.unit(id, jobs.WholeGang)
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	if u == nil || len(u.members) == 0 {
		return 0, ""
	}
	return u.run, u.members[0].worker
}
