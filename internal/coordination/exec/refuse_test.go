package exec

import (
	"cmp"
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
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

// TestGangOnTwoEndedWorkersIsPlacedAnewAtOnce guards against a gang that waits for the end of a lease that no worker holds: two of its
// workers have ended, and the stop of its run comes while their starts are being repeated.
func TestGangOnTwoEndedWorkersIsPlacedAnewAtOnce(t *testing.T) {
	runInRig(t, 6, runsTaking(time.Hour), func(r *rig) {
		hasEnded := map[string]bool{}
		r.stop()
		r.change = func(d *Deps) {
			start, renew, stop := d.Runners.Start, d.Runners.Renew, d.Runners.Stop
			d.Runners.Start = func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
				if hasEnded[s.Worker] {
					return 0, cmp.Or(clock.System().Sleep(ctx, 20*time.Millisecond), port.ErrUnsent)
				}
				return start(ctx, to, s)
			}
			d.Runners.Renew = func(ctx context.Context, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
				if hasEnded[h.Worker] {
					return port.RunReport{}, cmp.Or(clock.System().Sleep(ctx, 200*time.Millisecond), port.ErrUnsent)
				}
				return renew(ctx, to, h)
			}
			d.Runners.Stop = func(ctx context.Context, to netip.AddrPort, x port.RunRef, token int64, worker string) error {
				if hasEnded[worker] {
					return port.ErrUnsent
				}
				return stop(ctx, to, x, token, worker)
			}
		}
		r.start(2)
		r.advance(time.Second)
		hasEnded["w0"], hasEnded["w1"] = true, true
		r.submit(testID, jobs.Step{Tasks: 2, Gang: true, Accelerators: 8, Estimate: time.Second})
		r.requireRunning(testID, 1, 2*startTimeout)
	})
}
