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

// seedsPerFault is the number of random delays and orders that each fault is tested with.
const seedsPerFault = 30

// setRandomDelays gives each worker a random reply delay below 100 ms.
func (f *fakeFleet) setRandomDelays(seed uint64) *rand.Rand {
	r := rand.New(rand.NewPCG(seed, 1))
	for _, w := range f.workers {
		d := time.Duration(r.IntN(100)) * time.Millisecond
		w.delay = func(string) time.Duration { return d }
	}
	return r
}

// faultOnce injects a fault into the first call of an operation.
func faultOnce(op string, x fault) func(string) fault {
	used := false
	return func(called string) fault {
		if called != op || used {
			return noFault
		}
		used = true
		return x
	}
}

// faultAlways injects a fault into every call of an operation.
func faultAlways(op string, x fault) func(string) fault {
	return func(called string) fault {
		if called == op {
			return x
		}
		return noFault
	}
}

// startWithPrepareFault starts a gang of which one worker fails to prepare, and returns the number of tasks that ran.
func startWithPrepareFault(t *testing.T, seed uint64, x fault, off disabledMechanisms) int {
	ran := 0
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		r := f.setRandomDelays(seed)
		f.workers[r.IntN(4)].faultFor = faultAlways("Prepare", x)
		g := newGangs(f)
		g.disabled = off
		a, err := g.Start(t.Context(), term, job(8), f.place(8, 2), nil)
		require.Equal(t, NotStarted, a.State)
		var notStarted ErrNotStarted
		require.ErrorAs(t, err, &notStarted)
		time.Sleep(time.Minute)
		ran = f.started()
		if off.barrier {
			return
		}
		if x == noRoom {
			require.ErrorIs(t, err, port.ErrNoRoom)
			require.Zero(t, f.heldTasks(), "tasks left after the abort")
		}
		for _, w := range f.workers {
			w.faultFor = func(string) fault { return noFault }
			_, err := g.Sweep(t.Context(), term, w.name, w.report())
			require.NoError(t, err)
		}
		require.Zero(t, f.heldTasks(), "tasks left after the sweep")
	})
	return ran
}

func TestNoTaskStartsBeforeAllArePrepared(t *testing.T) {
	for _, x := range []fault{noRoom, loseRequest, loseReply, late} {
		detected := 0
		for s := range uint64(seedsPerFault) {
			require.Zero(t, startWithPrepareFault(t, s, x, disabledMechanisms{}), "fault %d seed %d", x, s)
			detected += startWithPrepareFault(t, s, x, disabledMechanisms{barrier: true})
		}
		require.NotZero(t, detected, "fault %d: the test does not detect a start before all tasks are prepared", x)
	}
}

func TestNoTaskStartsWithoutCommit(t *testing.T) {
	run := func(off disabledMechanisms) (started int) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(2)
			g := newGangs(f)
			g.disabled = off
			commitErr := errors.New("key is claimed")
			a, err := g.Start(t.Context(), term, job(4), f.place(4, 2), func(context.Context) error { return commitErr })
			require.ErrorIs(t, err, commitErr)
			require.Equal(t, NotStarted, a.State)
			require.Zero(t, f.heldTasks())
			started = f.started()
		})
		return started
	}
	require.Zero(t, run(disabledMechanisms{}))
	require.NotZero(t, run(disabledMechanisms{barrier: true}), "the test does not detect a start before the commit")
}

// startWithLostReply starts a gang of which one worker's reply to the first start is lost.
func startWithLostReply(t *testing.T, seed uint64, off disabledMechanisms) (Attempt, int) {
	var a Attempt
	running := 0
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		r := f.setRandomDelays(seed)
		f.workers[r.IntN(4)].faultFor = faultOnce("Start", loseReply)
		g := newGangs(f)
		g.disabled = off
		a, _ = g.Start(t.Context(), term, job(8), f.place(8, 2), nil)
		running = len(f.running())
	})
	return a, running
}

func TestLostStartReplyIsResolvedByInspect(t *testing.T) {
	for s := range uint64(seedsPerFault) {
		a, running := startWithLostReply(t, s, disabledMechanisms{})
		require.Equal(t, Started, a.State, "seed %d", s)
		require.Equal(t, 8, running, "seed %d", s)
		a, _ = startWithLostReply(t, s, disabledMechanisms{resolve: true})
		require.NotEqual(t, Started, a.State, "seed %d: the test does not detect an unresolved start", s)
	}
}

// startWithStartFault starts a gang with a fault in every start call of one worker. It returns the number of tasks that run
// after Start has returned and again after all late requests have arrived.
func startWithStartFault(t *testing.T, seed uint64, x fault, off disabledMechanisms) (a Attempt, running int, err error) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		r := f.setRandomDelays(seed)
		f.workers[r.IntN(4)].faultFor = faultAlways("Start", x)
		g := newGangs(f)
		g.disabled = off
		begin := time.Now()
		a, err = g.Start(t.Context(), term, job(8), f.place(8, 2), nil)
		require.LessOrEqual(t, time.Since(begin), g.bounds.MaxStopDelay())
		running = len(f.running())
		time.Sleep(2 * lateDelay)
		running += len(f.running())
	})
	return a, running, err
}

func TestFailedStartStopsOtherMembers(t *testing.T) {
	for _, x := range []fault{loseRequest, late} {
		for s := range uint64(seedsPerFault) {
			a, running, err := startWithStartFault(t, s, x, disabledMechanisms{})
			var partly ErrPartlyStarted
			require.ErrorAs(t, err, &partly, "seed %d", s)
			require.Equal(t, Partly, a.State)
			require.Len(t, partly.Workers, 3)
			require.Zero(t, running, "seed %d", s)
			_, running, _ = startWithStartFault(t, s, x, disabledMechanisms{stop: true})
			require.NotZero(t, running, "seed %d: the test does not detect a partly running gang", s)
		}
	}
}

func TestStartOnUnresponsiveWorkerIsUnknown(t *testing.T) {
	for s := range uint64(seedsPerFault) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(4)
			f.setRandomDelays(s)
			w := f.workers[int(s)%4]
			w.faultFor = func(op string) fault {
				if op == "Prepare" {
					return noFault
				}
				return loseReply
			}
			g := newGangs(f)
			a, err := g.Start(t.Context(), term, job(8), f.place(8, 2), nil)
			var unknown ErrStartUnknown
			require.ErrorAs(t, err, &unknown)
			require.Equal(t, Unknown, a.State)
			require.Equal(t, []string{w.name}, a.Unconfirmed)
		})
	}
}

// startByPausedOwner pauses an owner after its last lease check and before its start reaches the workers. If fence is set,
// a new owner inspects the workers in the meantime.
func startByPausedOwner(t *testing.T, seed uint64, fence bool) (a Attempt, ran int, err error) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.setRandomDelays(seed)
		pause := time.Duration(1+seed) * time.Second
		p := f.workersPort()
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
			nextOwnerTerm := fleet.Term{Counter: term.Counter + 1, Host: "h2"}
			newOwner := newGangs(f)
			for _, w := range f.workers {
				_, err := newOwner.inspect(t.Context(), nextOwnerTerm, part{worker: w.name, addr: w.addr})
				require.NoError(t, err)
			}
		}
		<-done
		ran = f.started()
	})
	return a, ran, err
}

func TestInspectFencesPausedOwner(t *testing.T) {
	for s := range uint64(seedsPerFault) {
		a, ran, err := startByPausedOwner(t, s, true)
		require.ErrorIs(t, err, port.ErrFenced)
		require.Equal(t, NotStarted, a.State)
		require.Zero(t, ran, "seed %d", s)
		_, ran, _ = startByPausedOwner(t, s, false)
		require.Equal(t, 8, ran, "seed %d: the test does not detect the late start", s)
	}
}

func TestExpiredLeaseSendsNoCommands(t *testing.T) {
	run := func(off disabledMechanisms) (started int, err error) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(2)
			var expired bool
			g := newGangs(f, WithCheck(func() error {
				if expired {
					return errors.New("expired")
				}
				return nil
			}))
			g.disabled = off
			_, err = g.Start(t.Context(), term, job(4), f.place(4, 2), func(context.Context) error {
				expired = true
				return nil
			})
			started = f.started()
		})
		return started, err
	}
	n, err := run(disabledMechanisms{})
	require.ErrorIs(t, err, ErrLeaseNotHeld)
	require.Zero(t, n)
	n, _ = run(disabledMechanisms{check: true})
	require.Equal(t, 4, n, "the test does not detect commands of an owner whose lease has expired")
}

func TestStartRejectsInvalidPlacement(t *testing.T) {
	f := newFleet(2)
	g := newGangs(f)
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
