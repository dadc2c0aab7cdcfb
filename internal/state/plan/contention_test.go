package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// volatile returns a job that loses its progress when it is stopped.
func volatile(id, profile string, s fleet.Shape) fleet.Job {
	j := job(id, "Gear", profile, s)
	j.LosesProgress = true
	return j
}

// TestHeadroomForUrgentBursts verifies the headroom after a peak of urgent work: small jobs that would lose their
// progress leave that many accelerators free, while jobs that checkpoint may take them.
func TestHeadroomForUrgentBursts(t *testing.T) {
	p := planner(t, workers(2, 2), profiles(audit, urgent), WithHeadroom(10*time.Second, 1))
	require.NoError(t, p.Submit(job("burst", "CW", "Urgent", shape(2, 8, fleet.LevelRack))))
	d := p.Pass(start)
	require.Len(t, d.Starts, 1)
	run(p, d, start)
	at := start.Add(time.Second)
	p.Ended(Ended{Job: "burst", Result: ResultDone, At: at})
	for i := range 32 {
		require.NoError(t, p.Submit(volatile(fmt.Sprintf("v%02d", i), "Audit", shape(1, 1, fleet.LevelDomain))))
	}
	d = p.Pass(at)
	require.InDelta(t, 32-16, len(d.Starts), 3, "about the room of the burst stays free")
	for i := range 32 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("s%02d", i), "Gear", "Audit", shape(1, 1, fleet.LevelDomain))))
	}
	more := p.Pass(at.Add(time.Millisecond))
	require.Len(t, more.Starts, 32-len(d.Starts), "jobs that checkpoint take the rest")
}

// TestOverloadServesOnTimeJobsFirst verifies the order of a queue that is too long to serve: jobs that can end on
// time come first, then late jobs, then expired ones.
func TestOverloadServesOnTimeJobsFirst(t *testing.T) {
	p := planner(t, workers(1, 1), profiles(audit, urgent))
	promised := func(id, profile string, waited time.Duration) fleet.Job {
		j := volatile(id, profile, shape(1, 8, fleet.LevelWorker))
		j.Submitted = start.Add(-waited)
		j.RunTime = 10 * time.Second
		j.Stretch = 2
		return j
	}
	require.NoError(t, p.Submit(promised("useless", "Urgent", 65*time.Second)))
	require.NoError(t, p.Submit(promised("late", "Audit", 30*time.Second)))
	require.NoError(t, p.Submit(promised("fresh", "Audit", time.Second)))
	var order []string
	at := start
	for range 3 {
		d := p.Pass(at)
		require.Len(t, d.Starts, 1, "%v", p.FindStatus())
		run(p, d, at)
		order = append(order, d.Starts[0].Job.ID)
		at = at.Add(10 * time.Second)
		p.Ended(Ended{Job: d.Starts[0].Job.ID, Result: ResultDone, At: at})
	}
	require.Equal(t, []string{"fresh", "late", "useless"}, order)
}

// TestPreemptionRespectsLossBound verifies the loss bound: a small urgent job must not preempt a large
// job that has run for long and does not checkpoint.
func TestPreemptionRespectsLossBound(t *testing.T) {
	for _, ran := range []time.Duration{time.Second, 40 * time.Second} {
		t.Run(ran.String(), func(t *testing.T) {
			p := planner(t, workers(1, 2), profiles(audit, urgent), WithLossBounds(1.5, 0.3))
			require.NoError(t, p.Submit(volatile("large", "Audit", shape(2, 8, fleet.LevelRack))))
			d := p.Pass(start)
			run(p, d, start)
			x := job("small", "CW", "Urgent", shape(1, 8, fleet.LevelWorker))
			x.RunTime = 5 * time.Second
			require.NoError(t, p.Submit(x))
			d = p.Pass(start.Add(ran))
			require.Equal(t, ran == time.Second, len(d.Stops) == 1)
		})
	}
}

// TestSmallJobsLeaveRacksFreeForUrgentGangs guards against best fit splitting a whole rack: a small job placed
// between two urgent gangs must not take the tightest rack if the next gang could use that rack.
func TestSmallJobsLeaveRacksFreeForUrgentGangs(t *testing.T) {
	p := planner(t, workers(2, 3), profiles(audit, urgent))
	for i, used := range []int{0, 0, 5, 1, 1, 1} {
		if used == 0 {
			continue
		}
		w := fmt.Sprintf("w%03d", i)
		p.Adopt(job("on-"+w, "Gear", "Audit", shape(1, used, fleet.LevelWorker)), []fleet.Assignment{{Worker: w}}, start)
	}
	require.NoError(t, p.Submit(job("gang1", "CW", "Urgent", shape(2, 8, fleet.LevelRack))))
	d := p.Pass(start)
	require.Len(t, d.Starts, 1)
	run(p, d, start)
	p.Ended(Ended{Job: "gang1", Result: ResultDone, At: start.Add(time.Second)})
	require.NoError(t, p.Submit(volatile("small", "Audit", shape(4, 1, fleet.LevelRack))))
	at := start.Add(2 * time.Second)
	d = p.Pass(at)
	require.Len(t, d.Starts, 1)
	run(p, d, at)
	require.NoError(t, p.Submit(job("gang2", "CW", "Urgent", shape(2, 8, fleet.LevelRack))))
	d = p.Pass(at.Add(time.Second))
	require.Len(t, d.Starts, 1)
	require.Empty(t, d.Stops)
}

// TestSmallJobsDoNotDelayWaitingUrgentGang guards against repeated preemption: while an urgent gang waits for room,
// small jobs must not take accelerators that become free, unless most accelerators are free.
func TestSmallJobsDoNotDelayWaitingUrgentGang(t *testing.T) {
	for _, firm := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d of 4 workers taken", firm), func(t *testing.T) {
			p := planner(t, workers(1, 4), profiles(audit, urgent), WithHeadroom(10*time.Second, 1))
			for i := range firm {
				x := job(fmt.Sprintf("firm%d", i), "CW", "Urgent", shape(1, 8, fleet.LevelWorker))
				p.Adopt(x, []fleet.Assignment{{Worker: fmt.Sprintf("w%03d", i)}}, start)
			}
			require.NoError(t, p.Submit(job("gang", "CW", "Urgent", shape(4, 8, fleet.LevelRack))))
			for i := range 4 {
				require.NoError(t, p.Submit(volatile(fmt.Sprintf("v%d", i), "Audit", shape(1, 1, fleet.LevelDomain))))
			}
			d := p.Pass(start)
			want := 4
			if firm == 3 {
				want = 0
			}
			require.Len(t, d.Starts, want)
		})
	}
}
