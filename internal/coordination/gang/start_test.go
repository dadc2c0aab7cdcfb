package gang

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// seeds is the number of orders and delays that each failure is tried in.
const seeds = 30

// jitter gives every call of every worker a random delay below a tenth of a second.
func (f *fakeFleet) jitter(seed uint64) *rand.Rand {
	r := rand.New(rand.NewPCG(seed, 1))
	for _, w := range f.workers {
		d := time.Duration(r.IntN(100)) * time.Millisecond
		w.delay = func(string) time.Duration { return d }
	}
	return r
}

// once returns a fault for the first call of one operation only.
func once(op string, x fault) func(string) fault {
	used := false
	return func(o string) fault {
		if o != op || used {
			return none
		}
		used = true
		return x
	}
}

// always returns a fault for every call of one operation.
func always(op string, x fault) func(string) fault {
	return func(o string) fault {
		if o == op {
			return x
		}
		return none
	}
}

// prepareFails runs a start in which one worker cannot prepare and returns how many tasks ever ran.
func prepareFails(t *testing.T, seed uint64, x fault, off mechanismsOff) int {
	ran := 0
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		r := f.jitter(seed)
		f.workers[r.IntN(4)].fail = always("Prepare", x)
		g := gangs(f)
		g.off = off
		a, err := g.Start(t.Context(), term, job(8), f.place(8, 2), nil)
		require.Equal(t, NotStarted, a.State)
		var no ErrNoStart
		require.ErrorAs(t, err, &no)
		time.Sleep(time.Minute)
		ran = f.started()
		if off.barrier {
			return
		}
		if x == noRoom {
			require.ErrorIs(t, err, port.ErrNoRoom)
			require.Zero(t, f.held(), "tasks left behind")
		}
		for _, w := range f.workers {
			w.fail = func(string) fault { return none }
			_, err := g.Sweep(t.Context(), term, w.name, w.report())
			require.NoError(t, err)
		}
		require.Zero(t, f.held(), "tasks left after a sweep")
	})
	return ran
}

func TestNothingRunsUnlessAllArePrepared(t *testing.T) {
	for _, x := range []fault{noRoom, loseRequest, loseAnswer, late} {
		caught := 0
		for s := range uint64(seeds) {
			require.Zero(t, prepareFails(t, s, x, mechanismsOff{}), "fault %d seed %d", x, s)
			caught += prepareFails(t, s, x, mechanismsOff{barrier: true})
		}
		require.NotZero(t, caught, "fault %d: the proof does not see a start before all are prepared", x)
	}
}

func TestNothingRunsUnlessCommitted(t *testing.T) {
	run := func(off mechanismsOff) (started int) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(2)
			g := gangs(f)
			g.off = off
			no := errors.New("key is claimed")
			a, err := g.Start(t.Context(), term, job(4), f.place(4, 2), func(context.Context) error { return no })
			require.ErrorIs(t, err, no)
			require.Equal(t, NotStarted, a.State)
			require.Zero(t, f.held())
			started = f.started()
		})
		return started
	}
	require.Zero(t, run(mechanismsOff{}))
	require.NotZero(t, run(mechanismsOff{barrier: true}), "the proof does not see a start before the commit")
}

// startAnswerLost starts a gang of which one worker's answers to a start are lost.
func startAnswerLost(t *testing.T, seed uint64, off mechanismsOff) (Attempt, int) {
	var a Attempt
	running := 0
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		r := f.jitter(seed)
		f.workers[r.IntN(4)].fail = once("Start", loseAnswer)
		g := gangs(f)
		g.off = off
		a, _ = g.Start(t.Context(), term, job(8), f.place(8, 2), nil)
		running = len(f.running())
	})
	return a, running
}

func TestLostStartAnswerIsResolvedByAsking(t *testing.T) {
	for s := range uint64(seeds) {
		a, running := startAnswerLost(t, s, mechanismsOff{})
		require.Equal(t, Started, a.State, "seed %d", s)
		require.Equal(t, 8, running, "seed %d", s)
		a, _ = startAnswerLost(t, s, mechanismsOff{resolve: true})
		require.NotEqual(t, Started, a.State, "seed %d: the proof does not see a guess", s)
	}
}

// startFails starts a gang of which one worker never receives its start, and returns the tasks that run a bound later.
func startFails(t *testing.T, seed uint64, x fault, off mechanismsOff) (a Attempt, running int, err error) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		r := f.jitter(seed)
		f.workers[r.IntN(4)].fail = always("Start", x)
		g := gangs(f)
		g.off = off
		began := time.Now()
		a, err = g.Start(t.Context(), term, job(8), f.place(8, 2), nil)
		require.LessOrEqual(t, time.Since(began), g.bounds.StopWithin())
		running = len(f.running())
		time.Sleep(2 * lateBy)
		running += len(f.running())
	})
	return a, running, err
}

func TestFailedStartStopsTheRest(t *testing.T) {
	for _, x := range []fault{loseRequest, late} {
		for s := range uint64(seeds) {
			a, running, err := startFails(t, s, x, mechanismsOff{})
			var partly ErrPartlyStarted
			require.ErrorAs(t, err, &partly, "seed %d", s)
			require.Equal(t, Partly, a.State)
			require.Len(t, partly.Workers, 3)
			require.Zero(t, running, "seed %d", s)
			_, running, _ = startFails(t, s, x, mechanismsOff{stop: true})
			require.NotZero(t, running, "seed %d: the proof does not see a part of a gang", s)
		}
	}
}

func TestStartOnSilentWorkerIsUnknown(t *testing.T) {
	for s := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(4)
			f.jitter(s)
			w := f.workers[int(s)%4]
			w.fail = func(op string) fault {
				if op == "Prepare" {
					return none
				}
				return loseAnswer
			}
			g := gangs(f)
			a, err := g.Start(t.Context(), term, job(8), f.place(8, 2), nil)
			var unknown ErrStartUnknown
			require.ErrorAs(t, err, &unknown)
			require.Equal(t, Unknown, a.State)
			require.Equal(t, []string{w.name}, a.Unsure)
		})
	}
}

// pausedOwner is frozen after its last lease check and before its start reaches the workers; a new owner inspects them.
func pausedOwner(t *testing.T, seed uint64, fence bool) (a Attempt, ran int, err error) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.jitter(seed)
		pause := time.Duration(1+seed) * time.Second
		p := f.port()
		start := p.Start
		p.Start = func(ctx context.Context, w addr, t fleet.Term, rs []fleet.TaskRef) error {
			time.Sleep(pause)
			return start(context.WithoutCancel(ctx), w, t, rs)
		}
		old := New(WithWorkers(p), WithResolve(f.resolve))
		done := make(chan struct{})
		go func() {
			defer close(done)
			a, err = old.Start(t.Context(), term, job(8), f.place(8, 2), nil)
		}()
		time.Sleep(500 * time.Millisecond)
		if fence {
			next := fleet.Term{Counter: term.Counter + 1, Host: "h2"}
			g := gangs(f)
			for _, w := range f.workers {
				_, err := g.ask(t.Context(), next, part{worker: w.name, addr: w.addr})
				require.NoError(t, err)
			}
		}
		<-done
		ran = f.started()
	})
	return a, ran, err
}

func TestInspectFencesThePausedOwner(t *testing.T) {
	for s := range uint64(seeds) {
		a, ran, err := pausedOwner(t, s, true)
		require.ErrorIs(t, err, port.ErrFenced)
		require.Equal(t, NotStarted, a.State)
		require.Zero(t, ran, "seed %d", s)
		_, ran, _ = pausedOwner(t, s, false)
		require.Equal(t, 8, ran, "seed %d: the proof does not see the late start", s)
	}
}

func TestLapsedLeaseSendsNothing(t *testing.T) {
	run := func(off mechanismsOff) (started int, err error) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(2)
			var lapsed bool
			g := gangs(f, WithCheck(func() error {
				if lapsed {
					return errors.New("lapsed")
				}
				return nil
			}))
			g.off = off
			_, err = g.Start(t.Context(), term, job(4), f.place(4, 2), func(context.Context) error {
				lapsed = true
				return nil
			})
			started = f.started()
		})
		return started, err
	}
	n, err := run(mechanismsOff{})
	require.ErrorIs(t, err, ErrLeaseLapsed)
	require.Zero(t, n)
	n, _ = run(mechanismsOff{check: true})
	require.Equal(t, 4, n, "the proof does not see commands of an owner whose lease lapsed")
}

func TestPlacementIsChecked(t *testing.T) {
	f := newFleet(2)
	g := gangs(f)
	for name, as := range map[string][]fleet.Assignment{
		"too few":  {{Task: 0, Worker: "w000"}},
		"twice":    {{Task: 0, Worker: "w000"}, {Task: 0, Worker: "w001"}},
		"no such":  {{Task: 0, Worker: "w000"}, {Task: 1, Worker: "w009"}},
		"negative": {{Task: -1, Worker: "w000"}, {Task: 1, Worker: "w000"}},
	} {
		a, err := g.Start(t.Context(), term, job(2), as, nil)
		require.ErrorIs(t, err, ErrPlacementInvalid, name)
		require.Equal(t, NotStarted, a.State, name)
	}
	require.Zero(t, f.calls("Prepare"))
}
