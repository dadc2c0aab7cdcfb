package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// TestUrgentPassIgnoresOtherJobs verifies that an urgent pass starts urgent jobs only, with other jobs queued.
func TestUrgentPassIgnoresOtherJobs(t *testing.T) {
	p := planner(t, workers(1, 2), profiles(audit, urgent))
	for i := range 4 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("q%d", i), "Gear", "Audit", shape(1, 1, fleet.LevelWorker))))
	}
	require.False(t, p.HasUrgentWaiting())
	require.NoError(t, p.Submit(job("now", "CW", "Urgent", shape(1, 1, fleet.LevelWorker))))
	require.True(t, p.HasUrgentWaiting())
	d := p.PassUrgent(start)
	require.Len(t, d.Starts, 1)
	require.Equal(t, "now", d.Starts[0].Job.ID)
	run(p, d, start)
	require.False(t, p.HasUrgentWaiting())
	require.Len(t, p.Pass(start.Add(time.Millisecond)).Starts, 4)
}

// TestStartRateLimitsSingleTasks verifies the start rate for single tasks that all find room at once; gangs and urgent
// jobs are not limited.
func TestStartRateLimitsSingleTasks(t *testing.T) {
	p := planner(t, workers(2, 4), profiles(audit, urgent), WithStartRate(2, 3))
	for i := range 20 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("bulk%02d", i), "Gear", "Audit", shape(1, 1, fleet.LevelDomain))))
	}
	require.NoError(t, p.Submit(job("gang", "Gear", "Audit", shape(4, 8, fleet.LevelRack))))
	require.NoError(t, p.Submit(job("now", "CW", "Urgent", shape(1, 1, fleet.LevelWorker))))
	require.Len(t, p.Pass(start).Starts, 5)
	require.Empty(t, p.Pass(start.Add(time.Millisecond)).Starts)
	require.Len(t, p.Pass(start.Add(time.Second)).Starts, 2)
	require.Len(t, p.Pass(start.Add(time.Minute)).Starts, 3)
}

// TestIdleFleetIgnoresStartRate verifies that each pass starts a full burst of queued tasks while less than half of
// the accelerators are in use.
func TestIdleFleetIgnoresStartRate(t *testing.T) {
	p := planner(t, workers(2, 4), profiles(audit, urgent), WithStartRate(1, 8))
	for i := range 64 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("bulk%02d", i), "Gear", "Audit", shape(1, 1, fleet.LevelDomain))))
	}
	for i := range 4 {
		require.Len(t, p.Pass(start.Add(time.Duration(i)*time.Millisecond)).Starts, 8)
	}
	require.Empty(t, p.Pass(start.Add(5*time.Millisecond)).Starts)
}

// TestPreemptionSearchesPerPassAreBounded verifies the limit of preemption searches per pass with many overdue gangs of all
// shapes.
func TestPreemptionSearchesPerPassAreBounded(t *testing.T) {
	o := newOverload(120)
	o.fill(1000)
	for range 100 {
		o.step(100 * time.Millisecond)
		require.LessOrEqual(t, o.pass.preemptionSearches, maxPreemptionSearches)
	}
}

// TestNoShapeIsRefusedWhileWorkersAreUnknown covers a new owner that takes over jobs before it has read the list of
// workers: no shape may be rejected yet.
func TestNoShapeIsRefusedWhileWorkersAreUnknown(t *testing.T) {
	p := New("", WithPartialFleet())
	p.Configure(profiles(audit))
	p.Adopt(job("on", "Gear", "Audit", shape(1, 1, fleet.LevelWorker)), []fleet.Assignment{{Worker: "w000"}}, start)
	require.NoError(t, p.Submit(job("waits", "Gear", "Audit", shape(1, 8, fleet.LevelWorker))))
	for _, w := range workers(1, 1) {
		p.PutWorker(w)
	}
	p.SetFleetComplete()
	require.ErrorIs(t, p.Submit(job("never", "Gear", "Audit", shape(1, 16, fleet.LevelWorker))), ErrNeverFits)
	p.Ended(Ended{Job: "on", Result: ResultDone, At: start})
	require.Len(t, p.Pass(start).Starts, 1)
}
