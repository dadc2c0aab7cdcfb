package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// volatile is a job that loses what it did when it is stopped.
func volatile(id, profile string, s fleet.Shape) fleet.Job {
	j := job(id, "Gear", profile, s)
	j.LosesProgress = true
	return j
}

// TestBurstsOfUrgentGangsFindRoom plays the pattern of urgent gangs that come and go while small work waits: after a peak
// of urgent work, small work that would lose its progress leaves that much free, and work that saves it does not.
func TestBurstsOfUrgentGangsFindRoom(t *testing.T) {
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
	require.Len(t, more.Starts, 32-len(d.Starts), "work that saves its progress takes the rest")
}

// TestOverloadServesWhatCanStillBeOnTime plays the pattern of a queue that is longer than what can be done: work that
// can be of no use any more goes last, and work that is late goes behind work that can be on time.
func TestOverloadServesWhatCanStillBeOnTime(t *testing.T) {
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

// TestUrgentWorkDoesNotThrowAwayMoreThanItIsWorth plays the pattern of a small urgent job that meets large work which has
// run long and saves nothing.
func TestUrgentWorkDoesNotThrowAwayMoreThanItIsWorth(t *testing.T) {
	for _, ran := range []time.Duration{time.Second, 40 * time.Second} {
		t.Run(ran.String(), func(t *testing.T) {
			p := planner(t, workers(1, 2), profiles(audit, urgent), WithWasteBounds(1.5, 0.3))
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

// TestSmallWorkLeavesRacksWholeForUrgentGangs plays the pattern of small work that comes between two urgent gangs, when
// the tightest rack is one that the next gang could use.
func TestSmallWorkLeavesRacksWholeForUrgentGangs(t *testing.T) {
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

// TestSmallWorkDoesNotComeBetweenUrgentGangs plays the pattern of urgent gangs that wait for each other's room: small work
// that would be stopped again at once does not take what becomes free, unless most of the room is.
func TestSmallWorkDoesNotComeBetweenUrgentGangs(t *testing.T) {
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
