package exec

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
)

const testID = "00000000000000aa"

func TestJobRunsToItsEnd(t *testing.T) {
	runInRig(t, 2, runsTaking(time.Second), func(r *rig) {
		r.advance(time.Second)
		r.submit(testID, taskStep(3))
		r.waitForState(testID, jobs.Completed, 3*time.Second)
		require.Empty(t, r.engine.units)
	})
}

// loseRun counts the run of the first task of a job as lost, and returns its unit, its worker and the end that the worker
// may still report.
func (r *rig) loseRun(id string) (*unit, *worker, port.RunEnd) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.units[jobs.UnitKey{Job: id}.String()]
	m := u.members[0]
	w := e.workers[m.worker]
	x := port.RunEnd{Number: w.lastHandledEnd + 1, Ref: u.ref(m), Result: jobs.Done}
	e.handleTaskEnd(u, m, jobs.Lost, "", false)
	return u, w, x
}

// newestRun returns the number and the worker of the newest run of the first task of a job.
func (r *rig) newestRun(id string) (run int, worker string) {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	u := r.engine.units[jobs.UnitKey{Job: id}.String()]
	if u == nil || len(u.members) == 0 {
		return 0, ""
	}
	return u.run, u.members[0].worker
}

// waitForPhase waits until a unit is in a phase.
func (r *rig) waitForPhase(u *unit, p phase) {
	r.t.Helper()
	for range 1000 {
		r.engine.mu.Lock()
		isIn := u.phase == p
		r.engine.mu.Unlock()
		if isIn {
			return
		}
		r.advance(time.Millisecond)
	}
	require.Equal(r.t, p, u.phase)
}

// TestLastingTaskRunsAgainAfterLateEnd guards against a unit that the engine counts as queued and the planner does not have: the
// run of a lasting task was counted as lost and reported as done afterwards.
func TestLastingTaskRunsAgainAfterLateEnd(t *testing.T) {
	runInRig(t, 2, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		s := taskStep(1)
		s.Lasts = true
		r.submit(testID, s)
		r.requireRunning(testID, 1, time.Second)
		u, w, x := r.loseRun(testID)
		r.waitForPhase(u, phaseQueued)
		r.engine.mu.Lock()
		r.engine.handleLateEnd(w, x)
		r.engine.mu.Unlock()
		r.requireRunning(testID, 1, 3*time.Second)
	})
}

// TestRefusedUnitThatHasEndedStaysEnded guards against a unit that is submitted again while its end is being stored: a refusal
// of the planner reached it after a late end.
func TestRefusedUnitThatHasEndedStaysEnded(t *testing.T) {
	runInRig(t, 2, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		after := taskStep(1)
		after.After = []int{0}
		r.submit(testID, taskStep(1), after)
		r.requireRunning(testID, 1, time.Second)
		u, w, x := r.loseRun(testID)
		r.waitForPhase(u, phaseQueued)
		r.store.SetDelay(500 * time.Millisecond)
		r.engine.mu.Lock()
		r.engine.handleLateEnd(w, x)
		r.engine.applyDecisions(plan.Decisions{Refusals: []plan.Refusal{{Job: u.name}}})
		r.engine.mu.Unlock()
		r.advance(2 * time.Second)
		r.store.SetDelay(2 * time.Millisecond)
		r.advance(2 * time.Second)
		require.Equal(t, 1, u.run)
		require.Equal(t, map[phase]int{phaseRunning: 1}, r.phases(testID))
	})
}

// TestSilentWorkerGetsNoSecondStart guards against work that waits for one lease after the other: each run of a unit goes to
// the worker that did not answer its start, as the planner is not told.
func TestSilentWorkerGetsNoSecondStart(t *testing.T) {
	runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		r.runners.SetCut(func(_, worker string) bool { return worker == "w0" })
		r.submit(testID, taskStep(1))
		run, worker := 0, ""
		for run < 2 {
			r.advance(10 * time.Millisecond)
			run, worker = r.newestRun(testID)
		}
		require.NotEqual(t, "w0", worker)
	})
}
