package gang

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
)

// memberLost runs a gang of which one member fails after a while; it returns the end, when it came, and what still runs.
func memberLost(t *testing.T, seed uint64, hurt func(*Gangs, *fakeWorker), off mechanismsOff) (Ended, time.Duration, int) {
	var e Ended
	var took time.Duration
	running := 0
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		r := f.jitter(seed)
		for _, w := range f.workers {
			w.run = func(fleet.TaskRef) time.Duration { return time.Hour }
		}
		g := gangs(f)
		g.off = off
		a, err := g.Start(t.Context(), term, job(8), f.place(8, 2), nil)
		require.NoError(t, err)
		w := f.workers[r.IntN(4)]
		var at time.Time
		go func() {
			time.Sleep(time.Duration(1+r.IntN(1000)) * time.Second)
			at = time.Now()
			hurt(g, w)
		}()
		e, err = g.Watch(t.Context(), a)
		require.NoError(t, err)
		took = time.Since(at)
		for _, w := range f.workers {
			w.mu.Lock()
			if w.cut {
				w.tasks = nil
			}
			w.mu.Unlock()
		}
		running = len(f.running())
	})
	return e, took, running
}

func TestLostMemberStopsTheRestWithinTheBound(t *testing.T) {
	cut := func(_ *Gangs, w *fakeWorker) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cut = true
	}
	restart := func(_ *Gangs, w *fakeWorker) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.tasks = map[fleet.TaskRef]*fakeTask{}
	}
	lapse := func(_ *Gangs, w *fakeWorker) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, k := range w.tasks {
			k.report.State = fleet.TaskStopped
		}
	}
	fail := func(_ *Gangs, w *fakeWorker) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.run = func(fleet.TaskRef) time.Duration { return -time.Second }
	}
	told := func(g *Gangs, w *fakeWorker) {
		cut(g, w)
		g.Lost(w.name)
	}
	for _, c := range []struct {
		name   string
		hurt   func(*Gangs, *fakeWorker)
		result plan.Result
		bound  time.Duration
	}{
		{"cut", cut, plan.ResultLost, DefaultBounds().StopWithin()},
		{"restarted", restart, plan.ResultLost, DefaultBounds().StopWithin()},
		{"lease lapsed", lapse, plan.ResultLost, DefaultBounds().StopWithin()},
		{"task failed", fail, plan.ResultFailed, DefaultBounds().StopWithin()},
		{"told of the loss", told, plan.ResultLost, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			for s := range uint64(seeds) {
				e, took, running := memberLost(t, s, c.hurt, mechanismsOff{})
				require.Equal(t, c.result, e.Result)
				require.Len(t, e.Workers, 1)
				require.LessOrEqual(t, took, c.bound, "seed %d", s)
				require.Zero(t, running, "seed %d: a part of the gang runs", s)
				_, _, running = memberLost(t, s, c.hurt, mechanismsOff{stop: true})
				require.NotZero(t, running, "seed %d: the proof does not see a part of a gang", s)
			}
		})
	}
}

func TestEndIsNoticedInShareOfTheRunTime(t *testing.T) {
	for _, d := range []time.Duration{time.Second, time.Minute, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(2)
			for _, w := range f.workers {
				w.run = func(fleet.TaskRef) time.Duration { return d }
			}
			g := gangs(f)
			a, err := g.Start(t.Context(), term, job(4), f.place(4, 2), nil)
			require.NoError(t, err)
			began := time.Now()
			_, err = g.Watch(t.Context(), a)
			require.NoError(t, err)
			late := time.Since(began) - d
			require.LessOrEqual(t, late, min(d/pollShare+g.bounds.MinPoll, g.bounds.MaxPoll)+g.bounds.Call)
		})
	}
}

func TestReportsOfRenewalsSparePolls(t *testing.T) {
	polls := func(renew bool) int {
		n := 0
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(1)
			f.workers[0].run = func(fleet.TaskRef) time.Duration { return time.Hour }
			g := gangs(f)
			a, err := g.Start(t.Context(), term, job(2), f.place(2, 2), nil)
			require.NoError(t, err)
			stop := make(chan struct{})
			go func() {
				for renew {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Second):
						w := f.workers[0]
						w.mu.Lock()
						r := w.report()
						w.mu.Unlock()
						g.Observe(w.name, r, time.Now())
					}
				}
			}()
			_, err = g.Watch(t.Context(), a)
			require.NoError(t, err)
			close(stop)
			n = f.calls("Inspect")
		})
		return n
	}
	require.Less(t, 4*polls(true), polls(false))
}

func TestStopCheckpointsAll(t *testing.T) {
	for s := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(4)
			f.jitter(s)
			g := gangs(f)
			a, err := g.Start(t.Context(), term, job(8), f.place(8, 2), nil)
			require.NoError(t, err)
			watched := make(chan Ended, 1)
			go func() {
				e, _ := g.Watch(t.Context(), a)
				watched <- e
			}()
			time.Sleep(20 * time.Second)
			e, err := g.Stop(t.Context(), a, time.Second)
			require.NoError(t, err)
			require.Equal(t, plan.ResultStopped, e.Result)
			require.Greater(t, e.Progress, 19*time.Second)
			require.Less(t, e.Progress, 21*time.Second)
			require.Equal(t, e, <-watched)
			require.Zero(t, f.held())
		})
	}
}

func TestSweepKeepsTheEvidenceOfTasksThatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.workers[1].fail = always("Start", loseRequest)
		kept := false
		g := gangs(f, WithSettled(func(fleet.TaskRef) bool { return kept }))
		a, err := g.Start(t.Context(), term, job(4), f.place(4, 2), nil)
		require.Error(t, err)
		require.Equal(t, Partly, a.State)
		for _, kept = range []bool{false, true} {
			n, err := g.Sweep(t.Context(), term, "w000", f.workers[0].report())
			require.NoError(t, err)
			require.Equal(t, kept, n == 2)
		}
		require.Zero(t, f.held())
	})
}

func TestStopNamesSilentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		g := gangs(f)
		a, err := g.Start(t.Context(), term, job(4), f.place(4, 2), nil)
		require.NoError(t, err)
		f.workers[1].cut = true
		_, err = g.Stop(t.Context(), a, time.Second)
		var not ErrNotStopped
		require.ErrorAs(t, err, &not)
		require.Equal(t, []string{"w001"}, not.Workers)
	})
}

func TestStopOfDoneGangIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		g := gangs(f)
		a, err := g.Start(t.Context(), term, job(4), f.place(4, 2), nil)
		require.NoError(t, err)
		time.Sleep(2 * time.Minute)
		e, err := g.Stop(t.Context(), a, time.Second)
		require.NoError(t, err)
		require.Equal(t, plan.ResultDone, e.Result)
		b, err := g.Collect(t.Context(), a, nil)
		require.NoError(t, err)
		require.Len(t, b, 20)
	})
}

// wrongAnswer lets the first answer of a worker arrive cut short.
func wrongAnswer(t *testing.T, off mechanismsOff) (string, error) {
	var b []byte
	var err error
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		g := gangs(f)
		g.off = off
		a, e := g.Start(t.Context(), term, job(2), f.place(2, 1), nil)
		require.NoError(t, e)
		_, e = g.Watch(t.Context(), a)
		require.NoError(t, e)
		whole := f.workers[1].answer
		n := 0
		f.workers[1].answer = func(r fleet.TaskRef) []byte {
			n++
			if n == 1 {
				return whole(r)[:3]
			}
			return whole(r)
		}
		b, err = g.Collect(t.Context(), a, nil)
	})
	return string(b), err
}

func TestAnswerIsWhole(t *testing.T) {
	b, err := wrongAnswer(t, mechanismsOff{})
	require.NoError(t, err)
	require.Equal(t, "j1-0;j1-1;", b)
	b, _ = wrongAnswer(t, mechanismsOff{digest: true})
	require.NotEqual(t, "j1-0;j1-1;", b, "the proof does not see an answer cut short")
}

func TestAnswerTooLargeIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.workers[0].answer = func(fleet.TaskRef) []byte { return make([]byte, 3<<20) }
		g := gangs(f)
		a, err := g.Start(t.Context(), term, job(2), f.place(2, 2), nil)
		require.NoError(t, err)
		_, err = g.Watch(t.Context(), a)
		require.NoError(t, err)
		_, err = g.Collect(t.Context(), a, nil)
		var large ErrAnswerTooLarge
		require.ErrorAs(t, err, &large)
		require.EqualValues(t, 6<<20, large.Bytes)
	})
}

// TestReportFromBeforeThePrepareDoesNotEndTheGang hands in a report that was asked for once the attempt was known here,
// and that the worker made before it had the tasks.
func TestReportFromBeforeThePrepareDoesNotEndTheGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		g := gangs(f)
		place := f.place(1, 1)
		stale := func(context.Context) error {
			g.Observe(place[0].Worker, fleet.Report{Term: term}, time.Now())
			return nil
		}
		a, err := g.Start(t.Context(), term, job(1), place, stale)
		require.NoError(t, err)
		e, err := g.Watch(t.Context(), a)
		require.NoError(t, err)
		require.Equal(t, plan.ResultDone, e.Result, e.Reason)
	})
}
