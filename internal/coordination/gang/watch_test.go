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

// runWithMemberFault runs a gang and injects a fault into one member at a random time. It returns how the gang ended, the
// time from the fault to the end, and the number of tasks that still run.
func runWithMemberFault(t *testing.T, seed uint64, inject func(*Gangs, *fakeWorker), off disabledMechanisms) (Ended, time.Duration, int) {
	var e Ended
	var took time.Duration
	running := 0
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		r := f.setRandomDelays(seed)
		for _, w := range f.workers {
			w.run = func(fleet.TaskRef) time.Duration { return time.Hour }
		}
		g := newGangs(f)
		g.disabled = off
		a, err := g.Start(t.Context(), term, job(8), f.place(8, 2), nil)
		require.NoError(t, err)
		w := f.workers[r.IntN(4)]
		var at time.Time
		go func() {
			time.Sleep(time.Duration(1+r.IntN(1000)) * time.Second)
			at = time.Now()
			inject(g, w)
		}()
		e, err = g.Watch(t.Context(), a)
		require.NoError(t, err)
		took = time.Since(at)
		for _, w := range f.workers {
			w.mu.Lock()
			if w.isUnreachable {
				w.tasks = nil
			}
			w.mu.Unlock()
		}
		running = len(f.running())
	})
	return e, took, running
}

func TestMemberFailureStopsOthersWithinBound(t *testing.T) {
	cut := func(_ *Gangs, w *fakeWorker) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.isUnreachable = true
	}
	restart := func(_ *Gangs, w *fakeWorker) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.tasks = map[fleet.TaskRef]*fakeTask{}
	}
	expire := func(_ *Gangs, w *fakeWorker) {
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
	reportLost := func(g *Gangs, w *fakeWorker) {
		cut(g, w)
		g.Lost(w.name)
	}
	for _, c := range []struct {
		name   string
		inject func(*Gangs, *fakeWorker)
		result plan.Result
		bound  time.Duration
	}{
		{"cut", cut, plan.ResultLost, DefaultBounds().MaxStopDelay()},
		{"restarted", restart, plan.ResultLost, DefaultBounds().MaxStopDelay()},
		{"lease expired", expire, plan.ResultLost, DefaultBounds().MaxStopDelay()},
		{"task failed", fail, plan.ResultFailed, DefaultBounds().MaxStopDelay()},
		{"reported lost", reportLost, plan.ResultLost, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			for s := range uint64(seedsPerFault) {
				e, took, running := runWithMemberFault(t, s, c.inject, disabledMechanisms{})
				require.Equal(t, c.result, e.Result)
				require.Len(t, e.Workers, 1)
				require.LessOrEqual(t, took, c.bound, "seed %d", s)
				require.Zero(t, running, "seed %d: some tasks of the gang still run", s)
				_, _, running = runWithMemberFault(t, s, c.inject, disabledMechanisms{stop: true})
				require.NotZero(t, running, "seed %d: the test does not detect a partly running gang", s)
			}
		})
	}
}

func TestEndIsDetectedWithinShareOfRunTime(t *testing.T) {
	for _, d := range []time.Duration{time.Second, time.Minute, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(2)
			for _, w := range f.workers {
				w.run = func(fleet.TaskRef) time.Duration { return d }
			}
			g := newGangs(f)
			a, err := g.Start(t.Context(), term, job(4), f.place(4, 2), nil)
			require.NoError(t, err)
			began := time.Now()
			_, err = g.Watch(t.Context(), a)
			require.NoError(t, err)
			late := time.Since(began) - d
			require.LessOrEqual(t, late, min(d/pollAgeDivisor+g.bounds.MinPollInterval, g.bounds.MaxPollInterval)+g.bounds.CallTimeout)
		})
	}
}

func TestRenewalReportsReplacePolls(t *testing.T) {
	polls := func(renew bool) int {
		n := 0
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(1)
			f.workers[0].run = func(fleet.TaskRef) time.Duration { return time.Hour }
			g := newGangs(f)
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

func TestStopCheckpointsAllMembers(t *testing.T) {
	for s := range uint64(seedsPerFault) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(4)
			f.setRandomDelays(s)
			g := newGangs(f)
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
			require.Zero(t, f.heldTasks())
		})
	}
}

func TestSweepKeepsStartedTasksUntilOutcomeIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.workers[1].faultFor = faultAlways("Start", loseRequest)
		kept := false
		g := newGangs(f, WithOutcomeStored(func(fleet.TaskRef) bool { return kept }))
		a, err := g.Start(t.Context(), term, job(4), f.place(4, 2), nil)
		require.Error(t, err)
		require.Equal(t, Partly, a.State)
		for _, kept = range []bool{false, true} {
			n, err := g.Sweep(t.Context(), term, "w000", f.workers[0].report())
			require.NoError(t, err)
			require.Equal(t, kept, n == 2)
		}
		require.Zero(t, f.heldTasks())
	})
}

func TestStopReportsUnconfirmedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		g := newGangs(f)
		a, err := g.Start(t.Context(), term, job(4), f.place(4, 2), nil)
		require.NoError(t, err)
		f.workers[1].isUnreachable = true
		_, err = g.Stop(t.Context(), a, time.Second)
		var notStopped ErrNotStopped
		require.ErrorAs(t, err, &notStopped)
		require.Equal(t, []string{"w001"}, notStopped.Workers)
	})
}

func TestStopOfFinishedGangReturnsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		g := newGangs(f)
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

// collectTruncated collects an answer whose first transfer from one worker is truncated.
func collectTruncated(t *testing.T, off disabledMechanisms) (string, error) {
	var b []byte
	var err error
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		g := newGangs(f)
		g.disabled = off
		a, e := g.Start(t.Context(), term, job(2), f.place(2, 1), nil)
		require.NoError(t, e)
		_, e = g.Watch(t.Context(), a)
		require.NoError(t, e)
		original := f.workers[1].answer
		n := 0
		f.workers[1].answer = func(r fleet.TaskRef) []byte {
			n++
			if n == 1 {
				return original(r)[:3]
			}
			return original(r)
		}
		b, err = g.Collect(t.Context(), a, nil)
	})
	return string(b), err
}

func TestCollectRejectsTruncatedAnswer(t *testing.T) {
	b, err := collectTruncated(t, disabledMechanisms{})
	require.NoError(t, err)
	require.Equal(t, "j1-0;j1-1;", b)
	b, _ = collectTruncated(t, disabledMechanisms{digest: true})
	require.NotEqual(t, "j1-0;j1-1;", b, "the test does not detect a truncated answer")
}

func TestCollectRejectsOversizedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.workers[0].answer = func(fleet.TaskRef) []byte { return make([]byte, 3<<20) }
		g := newGangs(f)
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

// TestObserveIgnoresReportsFromBeforePrepare guards against ending a gang because of a report that was requested after the
// attempt was added to the runs, but generated before the worker prepared the tasks.
func TestObserveIgnoresReportsFromBeforePrepare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		g := newGangs(f)
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
