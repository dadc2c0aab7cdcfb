package exec

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// holdPasses keeps the planner from looking at any unit.
func (r *rig) holdPasses() {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	r.engine.nextFullPass = time.Now().Add(time.Hour)
}

// idleJob returns the phase, the cause and the times of an idle job.
func (r *rig) idleJob(id string) (p phase, cause string, idle, room time.Duration) {
	r.t.Helper()
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	x := r.engine.idle[id]
	require.NotNil(r.t, x)
	return x.unit.phase, r.engine.idleCause(x.unit), time.Since(x.since), x.roomFor(time.Now())
}

// TestStalledJobIsReportedInEveryPhase guards against jobs that wait beside room in a phase in which the owner does not look for
// room, so that its log does not tell where they stand.
func TestStalledJobIsReportedInEveryPhase(t *testing.T) {
	cases := map[string]struct {
		begin func(r *rig)
		phase phase
		cause string
	}{
		"queued": {func(r *rig) {
			r.holdPasses()
			r.submit(testID, taskStep(1))
		}, phaseQueued, "Pass"},
		"its start is being stored": {func(r *rig) {
			r.store.SetDelay(20 * time.Second)
			r.submit(testID, taskStep(1))
		}, phaseStoring, "Store"},
		"being stopped on a worker that does not answer": {func(r *rig) {
			isSilent := r.impairWorker("w0", 3*time.Second)
			r.advance(time.Second)
			r.submit(testID, taskStep(1))
			r.requireRunning(testID, 1, time.Second)
			isSilent.Store(true)
			r.engine.mu.Lock()
			defer r.engine.mu.Unlock()
			r.engine.stopRun(r.engine.units[jobs.UnitKey{Job: testID}.String()], "a test stops it")
		}, phaseStopping, "SilentWorker"},
		"on a worker that does not answer": {func(r *rig) {
			isSilent := r.impairWorker("w0", 3*time.Second)
			r.advance(time.Second)
			r.submit(testID, taskStep(1))
			r.requireRunning(testID, 1, time.Second)
			isSilent.Store(true)
			r.advance(pollWait + maxReportAge)
		}, phaseRunning, "SilentWorker"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runInBoundedRig(t, longBounds, 2, runsTaking(time.Hour), func(r *rig) {
				s := tally.NewTestScope("", nil)
				r.hearFormerOwner(true)
				r.options = append(r.options, WithScope(s))
				r.restart()
				r.advance(time.Second)
				c.begin(r)
				r.advance(stallTime + 2*idleCheckInterval)
				p, cause, idle, room := r.idleJob(testID)
				require.Equal(t, c.phase, p)
				require.Equal(t, c.cause, cause)
				require.GreaterOrEqual(t, idle, stallTime)
				require.GreaterOrEqual(t, room, stallTime)
				require.InDelta(t, 1, r.readGauges()["jobs_stalled"], 0)
				require.EqualValues(t, 1, s.Snapshot().Counters()["job_stalls+"].Value())
				r.store.SetDelay(2 * time.Millisecond)
			})
		})
	}
}

// TestRoomForCountsFromRoom checks that a job that has been idle for long counts as stalled only once there has been room for long.
func TestRoomForCountsFromRoom(t *testing.T) {
	runInRig(t, 1, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		all := taskStep(1)
		all.Accelerators, all.Estimate = 8, time.Hour
		r.submit("00000000000000bb", all)
		r.requireRunning("00000000000000bb", 1, time.Second)
		r.submit(testID, taskStep(1))
		r.advance(2 * stallTime)
		_, _, idle, room := r.idleJob(testID)
		require.GreaterOrEqual(t, idle, 2*stallTime-idleCheckInterval)
		require.Zero(t, room)
		r.holdPasses()
		r.list(testWorker(1))
		r.advance(stallTime - idleCheckInterval)
		require.InDelta(t, 0, r.readGauges()["jobs_stalled"], 0)
		r.advance(3 * idleCheckInterval)
		require.InDelta(t, 1, r.readGauges()["jobs_stalled"], 0)
	})
}

// TestIdleChecksAreBounded checks that room is looked for once for all jobs of one kind, and for a bounded number of kinds.
func TestIdleChecksAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		kinds           int
		room, unchecked float64
	}{"one kind": {1, 2 * maxIdleChecks, 0}, "more kinds than are looked at": {2 * maxIdleChecks, maxIdleChecks, maxIdleChecks}} {
		t.Run(name, func(t *testing.T) {
			runInRig(t, 2, runsTaking(time.Hour), func(r *rig) {
				r.advance(time.Second)
				r.holdPasses()
				for i := range 2 * maxIdleChecks {
					s := taskStep(1)
					s.Memory += fleet.Bytes(i % c.kinds)
					r.submit(fmt.Sprintf("%016x", i), s)
				}
				r.advance(minIdleTime + 400*time.Millisecond)
				require.Equal(t, idleGauges(2*maxIdleChecks, c.room, c.unchecked, 0, 0), r.readGauges())
			})
		})
	}
}

// TestLastingUnitIsIdleByItself checks that a unit that lasts counts as idle whatever else of its job runs.
func TestLastingUnitIsIdleByItself(t *testing.T) {
	runInRig(t, 1, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		s := taskStep(3)
		s.Lasts, s.Accelerators = true, 4
		r.submit(testID, s)
		r.requireRunning(testID, 2, time.Second)
		r.advance(minIdleTime)
		require.Equal(t, idleGauges(1, 0, 0, 0, 0), r.readGauges())
	})
}
