package exec

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// TestRefusedStartLeavesJobPending guards against jobs that count as begun because their starts were refused, and against jobs that count
// as pending after their work was stopped.
func TestRefusedStartLeavesJobPending(t *testing.T) {
	for name, step := range map[string]jobs.Step{"task": taskStep(1), "gang": {Tasks: 2, Gang: true, Accelerators: 8, Estimate: time.Second}} {
		t.Run(name, func(t *testing.T) {
			runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
				var isFull atomic.Bool
				var refused atomic.Int64
				isFull.Store(true)
				r.stop()
				r.change = func(d *Deps) {
					start := d.Runners.Start
					d.Runners.Start = func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
						if isFull.Load() {
							refused.Add(1)
							return 0, port.ErrNoRoom
						}
						return start(ctx, to, s)
					}
				}
				r.start(2)
				r.advance(time.Second)
				r.submit(testID, step)
				r.advance(3 * time.Second)
				require.Positive(t, refused.Load())
				r.requirePending(1)
				r.restart()
				r.advance(2 * time.Second)
				r.requirePending(1)
				isFull.Store(false)
				r.requireRunning(testID, 1, 20*time.Second)
				r.requirePending(0)
				isFull.Store(true)
				for _, w := range r.workers {
					r.put(port.Runner{Worker: w, IsDraining: true})
					r.runners.Add(w)
				}
				r.advance(5 * time.Second)
				require.Equal(t, 1, r.phases(testID)[phaseQueued])
				r.requirePending(0)
				r.restart()
				r.advance(3 * time.Second)
				r.requirePending(0)
			})
		})
	}
}

// requirePending checks the number of pending jobs, except while a start is under way.
func (r *rig) requirePending(want int) {
	r.t.Helper()
	for until := time.Now().Add(2 * time.Second); r.table.CountPending("quiet") != want; r.advance(5 * time.Millisecond) {
		require.True(r.t, time.Now().Before(until), "%d jobs are pending, not %d", r.table.CountPending("quiet"), want)
	}
}
