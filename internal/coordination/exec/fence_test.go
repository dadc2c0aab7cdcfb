package exec

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// changeNext changes the dependencies of the next engine once more, and starts it.
func (r *rig) changeNext(change func(*Deps)) {
	before := r.change
	r.change = func(d *Deps) {
		before(d)
		change(d)
	}
	r.restart()
	r.advance(time.Second)
}

// failRenewals makes the renewals of the next engine return at once, and fail while the flag is set; the token of a worker rises then.
func (r *rig) failRenewals() *atomic.Bool {
	isFailing := &atomic.Bool{}
	r.changeNext(func(d *Deps) {
		renew := d.Runners.Renew
		d.Runners.Renew = func(ctx context.Context, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
			if isFailing.Load() {
				return port.RunReport{}, standin.ErrNoAnswer
			}
			h.Wait = 0
			return renew(ctx, to, h)
		}
	})
	return isFailing
}

// raiseToken lets the renewals fail for a moment, so that the first worker sees a higher token in the next one.
func (r *rig) raiseToken(isFailing *atomic.Bool) {
	r.t.Helper()
	before := r.tokenOfFirst()
	isFailing.Store(true)
	r.advance(250 * time.Millisecond)
	isFailing.Store(false)
	r.advance(250 * time.Millisecond)
	require.Greater(r.t, r.tokenOfFirst(), before)
}

// tokenOfFirst returns the token of the orders to the first worker.
func (r *rig) tokenOfFirst() int64 {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	return r.engine.workers[r.workers[0].Name].fence.token
}

// requireSoundTerm requires that the engine has not ended its term, and that no two runs were at work at a time.
func (r *rig) requireSoundTerm() {
	r.t.Helper()
	require.NoError(r.t, r.engine.ctx.Err())
	require.Empty(r.t, r.runners.Faults())
}

// TestStartGoesOnUnderRaisedToken guards against a run or a term that ends because a start is refused under a token of the same owner that
// was raised while the start was under way.
func TestStartGoesOnUnderRaisedToken(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		isFailing := r.failRenewals()
		l.startDelay.Store(int64(600 * time.Millisecond))
		r.submit(testID, taskStep(1))
		for l.start.Load().Ref.Job != testID {
			r.advance(time.Millisecond)
		}
		r.raiseToken(isFailing)
		l.startDelay.Store(0)
		r.waitForRun(1, time.Second)
		r.advance(time.Second)
		run, _ := r.newestRun(testID)
		require.Equal(t, 1, run)
		r.requireSoundTerm()
	})
}

// TestStopIsRepeatedUnderRaisedToken guards against a stop that is given up because it is refused under a token of the same owner.
func TestStopIsRepeatedUnderRaisedToken(t *testing.T) {
	runInLateRig(t, func(r *rig, _ *orderLog) {
		var isHeld atomic.Bool
		isFailing := r.failRenewals()
		r.changeNext(func(d *Deps) {
			stop := d.Runners.Stop
			d.Runners.Stop = func(ctx context.Context, to netip.AddrPort, x port.RunRef, token int64, worker string) error {
				for isHeld.Load() {
					time.Sleep(time.Millisecond)
				}
				return stop(ctx, to, x, token, worker)
			}
		})
		r.submit(testID, taskStep(1))
		r.waitForRun(1, time.Second)
		isHeld.Store(true)
		r.append(jobs.CancelRecord(testID))
		r.waitForPhase(r.unit(testID, 0), phaseStopping)
		r.raiseToken(isFailing)
		isHeld.Store(false)
		r.advance(2 * time.Second)
		require.Empty(t, r.phases(testID))
		r.requireSoundTerm()
	})
}

// TestReturnedWorkerWorksOnceTokenRises guards against a worker that is used while the token of the owner can't rise, and against one that is
// not used after it.
func TestReturnedWorkerWorksOnceTokenRises(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		var held atomic.Int64
		r.changeNext(func(d *Deps) {
			newest := d.NewestToken
			d.NewestToken = func() int64 {
				if x := held.Load(); x != 0 {
					return x
				}
				return newest()
			}
		})
		r.submit(formerID, taskStep(1))
		r.requireRunning(formerID, 1, time.Second)
		r.advance(2 * time.Second)
		held.Store(l.renewal.Load().Token)
		r.comeBack(true)
		r.submit(testID, taskStep(1))
		r.advance(orderDelay)
		require.Zero(t, r.phases(testID)[phaseRunning])
		held.Store(0)
		r.waitForRun(1, time.Second)
		r.requireSoundTerm()
	})
}

// TestTwoReturnsInOneRenewalInterval guards against orders to former lifetimes of a worker that the last of several takes, as the token could
// not rise between them.
func TestTwoReturnsInOneRenewalInterval(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		r.submit(testID, taskStep(1))
		r.waitForRun(1, time.Second)
		h, s := l.renewal.Load(), l.start.Load()
		w := r.workers[0]
		for range 2 {
			r.runners.Add(w)
			r.put(r.runners.List(w.Addr))
			r.advance(100 * time.Millisecond)
		}
		r.waitForRun(2, r.rerunLimit())
		r.deliverStart(s)
		r.deliverRenewal(h)
		r.requireSoundTerm()
		r.requireOneRunAtATime(2)
	})
}

// TestWorkerWithoutLifetimesRunsAgain guards against a worker that names no lifetimes and is not used again after it has come back, or ends
// the term.
func TestWorkerWithoutLifetimesRunsAgain(t *testing.T) {
	runInLateRig(t, func(r *rig, _ *orderLog) {
		r.entry = func(w fleet.Worker) port.Runner { return port.Runner{Worker: w} }
		r.changeNext(func(d *Deps) {
			renew := d.Runners.Renew
			d.Runners.Renew = func(ctx context.Context, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
				x, err := renew(ctx, to, h)
				x.Instance = ""
				return x, err
			}
		})
		r.submit(testID, taskStep(1))
		r.waitForRun(1, time.Second)
		r.advance(time.Second)
		r.runners.Add(r.workers[0])
		r.waitForRun(2, r.rerunLimit())
		r.requireSoundTerm()
	})
}
