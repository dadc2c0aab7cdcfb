package exec

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// failPolls makes the next polls of workers fail at once, in an engine for the next term; it returns how many are still to fail.
func (r *rig) failPolls() *atomic.Int32 {
	left := &atomic.Int32{}
	r.stop()
	r.change = func(d *Deps) {
		renew := d.Runners.Renew
		d.Runners.Renew = func(ctx context.Context, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
			if left.Load() > 0 {
				left.Add(-1)
				return port.RunReport{}, port.ErrUnsent
			}
			return renew(ctx, to, h)
		}
	}
	r.start(r.engine.term + 1)
	r.advance(time.Second)
	return left
}

// TestWorkStartsSoonAfterFailedPoll guards against work that is not started for as long as a poll may last, and then not at all,
// on a worker of which one poll failed.
func TestWorkStartsSoonAfterFailedPoll(t *testing.T) {
	runInRig(t, 1, runsTaking(time.Hour), func(r *rig) {
		left := r.failPolls()
		r.submit("00000000000000bb", taskStep(1))
		r.requireRunning("00000000000000bb", 1, time.Second)
		left.Store(1)
		for left.Load() > 0 {
			r.advance(10 * time.Millisecond)
		}
		r.submit(testID, taskStep(1))
		r.requireRunning(testID, 1, 500*time.Millisecond)
	})
}

// TestIdleWorkerIsAskedAfterFailedPoll guards against room that is not used for seconds on a worker that answers: its last poll
// failed, and nothing runs there, so that it is not asked.
func TestIdleWorkerIsAskedAfterFailedPoll(t *testing.T) {
	runInRig(t, 1, runsTaking(100*time.Millisecond), func(r *rig) {
		left := r.failPolls()
		r.submit("00000000000000bb", taskStep(1))
		r.waitForState("00000000000000bb", jobs.Completed, time.Second)
		r.advance(2 * time.Second)
		r.store.SetDelay(100 * time.Millisecond)
		left.Store(1)
		r.submit("00000000000000cc", taskStep(1))
		for r.phases("00000000000000cc")[phaseStoring] == 0 {
			r.advance(10 * time.Millisecond)
		}
		r.engine.mu.Lock()
		r.engine.endJob("00000000000000cc", jobs.Cancelled, "cancelled by the caller", nil)
		r.engine.mu.Unlock()
		r.waitForState("00000000000000cc", jobs.Cancelled, time.Second)
		r.store.SetDelay(2 * time.Millisecond)
		require.Zero(t, left.Load())
		r.advance(pollWait + responseTimeout)
		r.submit(testID, taskStep(1))
		r.waitForState(testID, jobs.Completed, time.Second)
	})
}
