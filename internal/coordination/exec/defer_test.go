package exec

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
)

// TestJobDoesNotIdleBehindFullQueue guards against jobs that idle beside free workers, because the tasks of another job, for which
// there is no worker, fill the queue of the planner.
func TestJobDoesNotIdleBehindFullQueue(t *testing.T) {
	runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
		r.options = []Option{func(e *Engine) { e.plannerOptions = []plan.Option{plan.WithQueueLimits(10, 20)} }}
		r.restart()
		r.advance(time.Second)
		blocked := taskStep(50)
		blocked.Label = "none"
		r.submit(testID, blocked)
		r.advance(200 * time.Millisecond)
		var ids []string
		for i := range 4 {
			ids = append(ids, fmt.Sprintf("%016x", i))
			r.submit(ids[i], taskStep(3))
		}
		r.advance(time.Second)
		for _, id := range ids {
			require.Positive(t, r.phases(id)[phaseRunning])
		}
		for _, id := range ids {
			r.requireRunning(id, 3, 5*time.Second)
		}
		require.Equal(t, 50, r.phases(testID)[phaseQueued])
	})
}

// TestDeferredUnitStartsWithItsWorker guards against a unit that the planner has refused as impossible and that stays deferred
// when a worker comes that holds it.
func TestDeferredUnitStartsWithItsWorker(t *testing.T) {
	runInRig(t, 2, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		large := jobs.Step{Tasks: 1, Accelerators: 16, Estimate: time.Second}
		r.submit(testID, large)
		r.advance(2 * time.Second)
		require.Len(t, r.engine.deferred, 1)
		w := testWorker(2)
		w.Accelerators = 16
		r.list(w)
		r.requireRunning(testID, 1, 500*time.Millisecond)
	})
}
