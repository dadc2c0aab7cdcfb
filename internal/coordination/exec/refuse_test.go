package exec

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// TestRefusedStartIsTriedElsewhere guards against work that goes to the same worker again and again, which refuses its start
// and answers everything else.
func TestRefusedStartIsTriedElsewhere(t *testing.T) {
	steps := map[string]jobs.Step{"task": taskStep(1), "gang": {Tasks: 2, Gang: true, Accelerators: 8, Estimate: time.Second}}
	causes := map[string]error{"room": port.ErrNoRoom, "late": port.ErrLeaseExpired, "unhealthy": port.ErrUnhealthy}
	for name, step := range steps {
		for why, cause := range causes {
			t.Run(name+" "+why, func(t *testing.T) {
				runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
					r.stop()
					r.change = func(d *Deps) {
						start := d.Runners.Start
						d.Runners.Start = func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
							if s.Worker == "w0" {
								return 0, cause
							}
							return start(ctx, to, s)
						}
					}
					r.start(2)
					r.advance(time.Second)
					r.submit(testID, step)
					r.requireRunning(testID, 1, 2*startTimeout)
					_, worker := r.newestRun(testID)
					require.NotEqual(t, "w0", worker)
				})
			})
		}
	}
}

// TestWorkerThatRefusesConnectionsGetsNoWork guards against work that is placed on a worker whose process has ended: each poll fails
// at once, and none is ever unanswered for long.
func TestWorkerThatRefusesConnectionsGetsNoWork(t *testing.T) {
	runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		r.submit(testID, taskStep(1))
		r.requireRunning(testID, 1, time.Second)
		_, worker := r.newestRun(testID)
		require.Equal(t, "w0", worker)
		r.kill(r.workers[0])
		r.advance(pollWait + responseTimeout + checkInterval)
		const other = "00000000000000bb"
		r.submit(other, taskStep(1))
		r.requireRunning(other, 1, 500*time.Millisecond)
		run, worker := r.newestRun(other)
		require.Equal(t, 1, run)
		require.NotEqual(t, "w0", worker)
	})
}
