package gang

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
)

var nextTerm = fleet.Term{Counter: 8, Host: "h2"}

// adoptGangs leaves gangs of an owner that died, some in part, and adopts them; it returns how many are in part after it.
func adoptGangs(t *testing.T, seed uint64, off mechanismsOff) int {
	inPart := 0
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		r := rand.New(rand.NewPCG(seed, 2))
		whole := map[string]bool{}
		for i := range 6 {
			j := job(8)
			j.ID = fmt.Sprintf("j%d", i)
			whole[j.ID] = r.IntN(2) == 0
			startInPart(t, f, j, whole[j.ID], r.IntN(4))
		}
		g := gangs(f)
		g.off = off
		reports := f.reports()
		out, err := g.Adopt(t.Context(), nextTerm, reports, false, map[string]fleet.Job{"j0": {ID: "j0", Key: "k"}})
		require.NoError(t, err)
		inPart = partial(f)
		if off.stop {
			return
		}
		for _, a := range out.Whole {
			require.True(t, whole[a.Job.ID])
			e, err := g.Watch(t.Context(), a)
			require.NoError(t, err)
			require.Equal(t, plan.ResultDone, e.Result)
		}
		for _, x := range out.Stopped {
			require.False(t, whole[x.Attempt.Job.ID])
			require.Equal(t, x.Ran, x.Attempt.State == Partly)
		}
		require.Len(t, out.Whole, count(whole))
		require.Len(t, out.Stopped, 6-count(whole))
	})
	return inPart
}

func count(m map[string]bool) int {
	n := 0
	for _, v := range m {
		if v {
			n++
		}
	}
	return n
}

// startInPart prepares a gang and starts it on all workers, or only on the first few.
func startInPart(t *testing.T, f *fakeFleet, j fleet.Job, whole bool, few int) {
	g := gangs(f)
	a := Attempt{Term: term, Job: j, Placement: f.place(8, 2)}
	ps, err := g.parts(a)
	require.NoError(t, err)
	for i, p := range ps {
		require.NoError(t, f.workers[i].prepare(term, p.tasks))
		if whole || i < few {
			require.NoError(t, f.workers[i].start(term, p.refs))
		}
	}
}

// partial returns the number of jobs that run in part.
func partial(f *fakeFleet) int {
	by := map[string]int{}
	for _, r := range f.running() {
		by[r.Job]++
	}
	n := 0
	for _, k := range by {
		if k != 8 {
			n++
		}
	}
	return n
}

func TestNewOwnerAdoptsWholeGangsAndStopsTheOthers(t *testing.T) {
	caught := 0
	for s := range uint64(seeds) {
		require.Zero(t, adoptGangs(t, s, mechanismsOff{}), "seed %d", s)
		caught += adoptGangs(t, s, mechanismsOff{stop: true})
	}
	require.NotZero(t, caught, "the proof does not see gangs in part")
}

func TestAdoptWaitsForSilentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		startInPart(t, f, job(8), true, 0)
		f.workers[2].cut = true
		g := gangs(f)
		out, err := g.Adopt(t.Context(), nextTerm, f.reports(), true, nil)
		require.NoError(t, err)
		require.Len(t, out.Open, 1)
		require.Len(t, f.running(), 8)
		n, err := g.Sweep(t.Context(), nextTerm, "w000", f.reports()[0])
		require.NoError(t, err)
		require.Zero(t, n, "a sweep of an open gang")
		f.workers[2].cut = false
		out, err = g.Adopt(t.Context(), nextTerm, f.reports(), false, nil)
		require.NoError(t, err)
		require.Len(t, out.Whole, 1)
		require.Equal(t, job(8).Shape, out.Whole[0].Job.Shape)
		require.Len(t, f.running(), 8)
	})
}
