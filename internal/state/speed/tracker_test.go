package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// trio are the speeds of the workers of the tests, by turns.
var trio = []float64{0.6, 1, 1.6}

// run reports a gang or a group of single tasks on the workers, with the work of each task varied by the given spread.
func run(t *Tracker, g Group, r *rand.Rand, spread float64, speedOf func(int) float64, workers ...int) {
	work := 1 + 4*r.Float64()
	for i, w := range workers {
		rate := 100 * speedOf(w) / (work * (1 + spread*r.NormFloat64()))
		for _, at := range []time.Duration{200 * time.Millisecond, 900 * time.Millisecond, 1600 * time.Millisecond} {
			t.Observe(g, Reading{Worker: workerName(w), Task: i, Run: 1, Percent: int(rate * at.Seconds()), Clock: at})
		}
	}
}

func workerName(i int) string { return fmt.Sprintf("worker-%03d", i) }

func byTurns(i int) float64 { return trio[i%len(trio)] }

// learn runs groups on random workers and returns the last known slowness of each worker.
func learn(t *Tracker, r *rand.Rand, groups, workers, size int, isGang bool, spread float64, speedOf func(int) float64) map[string]float64 {
	known := map[string]float64{}
	for i := range groups {
		run(t, Group{Name: fmt.Sprint(len(t.oldest), i), IsGang: isGang}, r, spread, speedOf, r.Perm(workers)[:size]...)
		for _, c := range t.Update() {
			known[c.Worker] = c.Slowness
		}
	}
	return known
}

// countRight returns how many workers are known, within a sixth, for as slow as they are, and how many for something else.
func countRight(known map[string]float64, workers int, speedOf func(int) float64) (right, wrong int) {
	for i := range workers {
		got := known[workerName(i)]
		off := math.Abs(math.Log(got * speedOf(i)))
		switch {
		case got == 0:
		case off < 1.0/6:
			right++
		default:
			wrong++
		}
	}
	return right, wrong
}

// TestGangsTellWorkersApart answers a load of gangs whose work is not known and differs widely: the speeds of the workers have to be
// told apart from the work, from four runs on each.
func TestGangsTellWorkersApart(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	known := learn(New(), r, 50, 60, 5, true, 0, byTurns)
	right, wrong := countRight(known, 60, byTurns)
	require.GreaterOrEqual(t, right, 50, "%v", known)
	require.LessOrEqual(t, wrong, 3, "%v", known)
}

// TestSingleTasksTellWorkersApart answers a load of single tasks whose work differs from task to task.
func TestSingleTasksTellWorkersApart(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	known := learn(New(), r, 24, 60, 20, false, 0.15, byTurns)
	right, wrong := countRight(known, 60, byTurns)
	require.GreaterOrEqual(t, right, 45, "%v", known)
	require.LessOrEqual(t, wrong, 6, "%v", known)
}

// TestAlikeWorkersStayTypical guards deployments with alike workers against classes made of the noise of their tasks.
func TestAlikeWorkersStayTypical(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	for n, x := range learn(New(), r, 100, 60, 20, false, 0.2, func(int) float64 { return 1 }) {
		require.Contains(t, []float64{0, 1}, x, n)
	}
}

// TestFollowsAChange states the bound on how soon a change is followed: after maxEvidence runs a worker that turned slow counts as
// slow, and one that recovered no longer does.
func TestFollowsAChange(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 4))
	x := New()
	factor := 1.0
	speedOf := func(i int) float64 {
		if i == 0 {
			return 1 / factor
		}
		return 1
	}
	known := 0.0
	runs := 0
	step := func() {
		runs++
		run(x, Group{Name: fmt.Sprint(runs), IsGang: true}, r, 0, speedOf, 0, 1+r.IntN(9), 10+r.IntN(10), 20+r.IntN(10))
		for _, c := range x.Update() {
			if c.Worker == workerName(0) {
				known = c.Slowness
			}
		}
	}
	for _, factor = range []float64{1, 1.6, 1, 2.5} {
		for range maxEvidence {
			step()
		}
		require.InDelta(t, factor, known, 0.16*factor)
	}
}

// TestStandingStillIsNoSpeed guards against counting a fault as slowness: a task without progress is no evidence.
func TestStandingStillIsNoSpeed(t *testing.T) {
	x := New()
	g := Group{Name: "gang", IsGang: true}
	for _, at := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		x.Observe(g, Reading{Worker: "stalled", Task: 0, Run: 1, Percent: 40, Clock: at})
		x.Observe(g, Reading{Worker: "good", Task: 1, Run: 1, Percent: 10 * int(at.Seconds()), Clock: at})
	}
	require.Empty(t, x.Update())
}

// TestForgetsAFormerLifetime guards against the speed of a machine that was replaced under the same name.
func TestForgetsAFormerLifetime(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	x := New()
	learn(x, r, 50, 60, 5, true, 0, byTurns)
	require.NotEmpty(t, x.workers[workerName(0)].evidence)
	x.Forget(workerName(0))
	x.Update()
	require.Equal(t, unknown, x.workerOf(workerName(0)).class)
}
