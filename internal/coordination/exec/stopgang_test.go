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

const otherID = "00000000000000bb"

// wholeWorkers returns a step of tasks that take a worker each.
func wholeWorkers(tasks int, isGang bool) jobs.Step {
	return jobs.Step{Tasks: tasks, Gang: isGang, Accelerators: 8, Estimate: time.Hour}
}

// TestRoomOfRefusedTasksIsUsed guards against jobs that wait beside free workers for a gang of which one start was not answered and
// all others were refused.
func TestRoomOfRefusedTasksIsUsed(t *testing.T) {
	runInRig(t, 3, runsTaking(time.Hour), func(r *rig) {
		r.stop()
		r.change = func(d *Deps) {
			start, stop := d.Runners.Start, d.Runners.Stop
			d.Runners.Start = func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
				if s.Ref.Job != testID {
					return start(ctx, to, s)
				}
				if s.Worker != "w0" {
					time.Sleep(10 * time.Millisecond)
					return 0, port.ErrNoRoom
				}
				<-ctx.Done()
				return 0, ctx.Err()
			}
			d.Runners.Stop = func(ctx context.Context, to netip.AddrPort, ref port.RunRef, token int64, worker string) error {
				if ref.Job == testID {
					return context.DeadlineExceeded
				}
				return stop(ctx, to, ref, token, worker)
			}
		}
		r.start(2)
		r.advance(time.Second)
		r.submit(testID, wholeWorkers(3, true))
		r.advance(100 * time.Millisecond)
		r.waitForPhase(r.unit(testID, jobs.WholeGang), phaseStopping)
		r.submit(otherID, wholeWorkers(2, false))
		r.requireRunning(otherID, 2, 500*time.Millisecond)
	})
}

// runBesideBrokenGang runs f in a rig of two workers, one of which is lost. A gang of two is being stopped, and another job has started in
// the room of its task on the other worker.
func runBesideBrokenGang(t *testing.T, f func(r *rig)) {
	runInRig(t, 2, runsTaking(time.Hour), func(r *rig) {
		r.stop()
		r.change = func(d *Deps) {
			start := d.Runners.Start
			d.Runners.Start = func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
				require.Empty(t, r.runners.FindAssigned()[s.Worker], "%s is not free", s.Worker)
				return start(ctx, to, s)
			}
		}
		r.start(2)
		r.advance(time.Second)
		r.submit(testID, wholeWorkers(2, true))
		r.advance(500 * time.Millisecond)
		u := r.unit(testID, jobs.WholeGang)
		r.waitForPhase(u, phaseRunning)
		r.submit(otherID, wholeWorkers(1, false))
		r.advance(100 * time.Millisecond)
		require.Equal(t, map[phase]int{phaseQueued: 1}, r.phases(otherID))
		r.kill(r.workers[1])
		r.engine.mu.Lock()
		r.engine.stopRun(u, "test")
		r.engine.mu.Unlock()
		r.requireRunning(otherID, 1, testBounds.StopTimeout)
		require.Equal(t, map[phase]int{phaseStopping: 1}, r.phases(testID))
		f(r)
	})
}

// TestRoomOfTaskThatIsStoppedIsKept verifies that work starts in the room of a broken gang as soon as the end of its task there is
// listed, and not before.
func TestRoomOfTaskThatIsStoppedIsKept(t *testing.T) {
	runBesideBrokenGang(t, func(*rig) {})
}

// TestNextOwnerKeepsWorkInVacatedRoom guards against work that the next owner stops or counts as lost because the record of a gang, of
// which a task had ended, has the same room.
func TestNextOwnerKeepsWorkInVacatedRoom(t *testing.T) {
	runBesideBrokenGang(t, func(r *rig) {
		r.submit("00000000000000cc", wholeWorkers(1, false))
		r.restart()
		r.advance(2 * time.Second)
		require.Equal(t, map[phase]int{phaseStopping: 1}, r.phases(testID))
		r.advance(2 * (testBounds.MaxHold + formerLeaseGrace))
		require.Equal(t, map[phase]int{phaseQueued: 1}, r.phases(testID))
		require.Equal(t, map[phase]int{phaseQueued: 1}, r.phases("00000000000000cc"))
		require.Equal(t, map[phase]int{phaseRunning: 1}, r.phases(otherID))
		run, worker := r.newestRun(otherID)
		require.Equal(t, 1, run)
		require.Equal(t, "w0", worker)
		require.Empty(t, r.runners.Faults())
	})
}
