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

// adoptGangs starts gangs of a former owner, some only partly, and adopts them. It returns the number of gangs that are
// partly running afterwards.
func adoptGangs(t *testing.T, seed uint64, off disabledMechanisms) int {
	partialGangs := 0
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		r := rand.New(rand.NewPCG(seed, 2))
		complete := map[string]bool{}
		for i := range 6 {
			j := job(8)
			j.ID = fmt.Sprintf("j%d", i)
			complete[j.ID] = r.IntN(2) == 0
			startPartially(t, f, j, complete[j.ID], r.IntN(4))
		}
		g := newGangs(f)
		g.disabled = off
		reports := f.reports()
		out, err := g.Adopt(t.Context(), nextTerm, reports, false, map[string]fleet.Job{"j0": {ID: "j0", Key: "k"}})
		require.NoError(t, err)
		partialGangs = countPartial(f)
		if off.stop {
			return
		}
		for _, a := range out.Complete {
			require.True(t, complete[a.Job.ID])
			e, err := g.Watch(t.Context(), a)
			require.NoError(t, err)
			require.Equal(t, plan.ResultDone, e.Result)
		}
		for _, x := range out.Stopped {
			require.False(t, complete[x.Attempt.Job.ID])
			require.Equal(t, x.Ran, x.Attempt.State == Partly)
		}
		require.Len(t, out.Complete, count(complete))
		require.Len(t, out.Stopped, 6-count(complete))
	})
	return partialGangs
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

// startPartially prepares a gang and starts it on all workers if complete is set, else on the first startedWorkers.
func startPartially(t *testing.T, f *fakeFleet, j fleet.Job, complete bool, startedWorkers int) {
	g := newGangs(f)
	a := Attempt{Term: term, Job: j, Placement: f.place(8, 2)}
	ps, err := g.validateAndSplit(a)
	require.NoError(t, err)
	for i, p := range ps {
		require.NoError(t, f.workers[i].prepare(term, p.tasks))
		if complete || i < startedWorkers {
			require.NoError(t, f.workers[i].start(term, p.refs))
		}
	}
}

// countPartial returns the number of jobs of which some but not all tasks run.
func countPartial(f *fakeFleet) int {
	byJob := map[string]int{}
	for _, r := range f.running() {
		byJob[r.Job]++
	}
	n := 0
	for _, k := range byJob {
		if k != 8 {
			n++
		}
	}
	return n
}

func TestAdoptKeepsCompleteGangsAndStopsOthers(t *testing.T) {
	detected := 0
	for s := range uint64(seedsPerFault) {
		require.Zero(t, adoptGangs(t, s, disabledMechanisms{}), "seed %d", s)
		detected += adoptGangs(t, s, disabledMechanisms{stop: true})
	}
	require.NotZero(t, detected, "the test does not detect partly running gangs")
}

func TestAdoptWaitsForUnresponsiveWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		startPartially(t, f, job(8), true, 0)
		f.workers[2].isUnreachable = true
		g := newGangs(f)
		out, err := g.Adopt(t.Context(), nextTerm, f.reports(), true, nil)
		require.NoError(t, err)
		require.Len(t, out.Open, 1)
		require.Len(t, f.running(), 8)
		n, err := g.Sweep(t.Context(), nextTerm, "w000", f.reports()[0])
		require.NoError(t, err)
		require.Zero(t, n, "Sweep must not delete tasks of an open gang")
		f.workers[2].isUnreachable = false
		out, err = g.Adopt(t.Context(), nextTerm, f.reports(), false, nil)
		require.NoError(t, err)
		require.Len(t, out.Complete, 1)
		require.Equal(t, job(8).Shape, out.Complete[0].Job.Shape)
		require.Len(t, f.running(), 8)
	})
}
