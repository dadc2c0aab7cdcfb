package exec

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
)

// TestRunToBeStoppedIsNoWorkOfItsJob guards against a job that waits: as long as a run of it is being stopped, the planner, which is
// not told, counts it as running and holds its other tasks back.
func TestRunToBeStoppedIsNoWorkOfItsJob(t *testing.T) {
	runInRig(t, 1, runsTaking(time.Hour), func(r *rig) {
		isSilent := r.impairWorker("w0", 3*time.Second)
		r.advance(time.Second)
		step := taskStep(2)
		step.Accelerators = 8
		r.submit(testID, step)
		r.requireRunning(testID, 1, time.Second)
		isSilent.Store(true)
		u, other := r.unit(testID, 0), r.unit(testID, 1)
		if u.phase != phaseRunning {
			u, other = other, u
		}
		r.engine.mu.Lock()
		r.engine.stopRun(u, "a test stops it")
		stopped := time.Now()
		r.engine.mu.Unlock()
		r.advance(2 * time.Second)
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		require.Equal(t, phaseStopping, u.phase)
		require.Equal(t, phaseQueued, other.phase)
		require.WithinDuration(t, stopped, r.engine.planner.IdleSince(other.name), checkInterval)
	})
}

// TestDeferredUnitsStartOldestFirst guards against jobs that wait for as long as younger ones come: of the units for which the queue
// of the planner had no place, the newest takes each place that becomes free.
func TestDeferredUnitsStartOldestFirst(t *testing.T) {
	var mu sync.Mutex
	var started []string
	outcome := func(x port.RunRef, _ string) standin.RunOutcome {
		mu.Lock()
		defer mu.Unlock()
		started = append(started, x.Job)
		return standin.RunOutcome{Work: 500 * time.Millisecond, Result: jobs.Done}
	}
	runInRig(t, 1, outcome, func(r *rig) {
		r.options = []Option{func(e *Engine) { e.plannerOptions = []plan.Option{plan.WithQueueLimits(1, 2)} }}
		r.restart()
		r.advance(time.Second)
		step := taskStep(1)
		step.Accelerators = 8
		var ids []string
		for i := range 6 {
			ids = append(ids, fmt.Sprintf("%016x", i))
			r.submit(ids[i], step)
			r.advance(20 * time.Millisecond)
		}
		r.waitForState(ids[5], jobs.Completed, 10*time.Second)
		mu.Lock()
		defer mu.Unlock()
		require.Equal(t, ids, started)
	})
}
