package exec

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/stretchr/testify/require"
)

// serviceRig is a rig with two workers, of the services s0 and s1, whose configuration can change.
type serviceRig struct {
	*rig
	config atomic.Pointer[queue.Config]
	mu     sync.Mutex
	// called holds the workers that were asked for reports.
	called map[string]bool
}

// serviceQueue returns a queue whose jobs run on the workers of a service.
func serviceQueue(name, service string) queue.Queue {
	return queue.Queue{Name: name, Service: service, Urgency: config.Quiet, MaxAttempts: 3}
}

func runInServiceRig(t *testing.T, f func(r *serviceRig)) {
	t.Helper()
	runInRig(t, 2, runsTaking(100*time.Second), func(r *rig) {
		x := &serviceRig{rig: r, called: map[string]bool{}}
		x.configure(1, serviceQueue("quiet", "s0"))
		r.stop()
		for i := range r.workers {
			r.workers[i].Service = []string{"s0", "s1"}[i]
		}
		r.change = func(d *Deps) {
			d.Config = x.config.Load
			renew := d.Runners.Renew
			d.Runners.Renew = func(ctx context.Context, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
				x.mu.Lock()
				x.called[h.Worker] = true
				x.mu.Unlock()
				return renew(ctx, to, h)
			}
		}
		r.start(2)
		r.advance(time.Second)
		f(x)
	})
}

func (r *serviceRig) configure(version int64, qs ...queue.Queue) {
	r.config.Store(&queue.Config{Version: version, Queues: qs, Organisations: testConfig.Organisations})
}

// submitTo stores a job of n tasks in a queue.
func (r *serviceRig) submitTo(id, name string, n int) {
	r.t.Helper()
	x, err := jobs.JobRecord(&jobs.Job{ID: id, Organisation: "Gear", Queue: name, Accepted: time.Now(), Steps: []jobs.Step{taskStep(n)}})
	require.NoError(r.t, err)
	r.append(x)
}

// countOn returns how many units of a job run on a worker.
func (r *serviceRig) countOn(id, worker string) int {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	n := 0
	for _, u := range r.engine.units {
		if u.job == id && u.phase == phaseRunning && u.members[0].worker == worker {
			n++
		}
	}
	return n
}

func (r *serviceRig) hasCalled(worker string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.called[worker]
}

// TestTasksRunOnWorkersOfTheirService guards against tasks on the workers of other systems, which register beside ours, and of other
// services of ours; a queue whose service is changed by a configuration uses the new one from then on.
func TestTasksRunOnWorkersOfTheirService(t *testing.T) {
	const other = "00000000000000bb"
	runInServiceRig(t, func(r *serviceRig) {
		r.submitTo(testID, "quiet", 12)
		r.advance(3 * time.Second)
		require.Equal(t, map[phase]int{phaseRunning: 8, phaseQueued: 4}, r.phases(testID))
		require.Equal(t, 8, r.countOn(testID, "w0"))
		require.False(t, r.hasCalled("w1"), "a worker of another system was called")

		r.configure(2, serviceQueue("quiet", "s0"), serviceQueue("more", "s1"))
		r.submitTo(other, "more", 4)
		r.advance(3 * time.Second)
		require.Equal(t, 4, r.countOn(other, "w1"))
		require.Equal(t, 8, r.countOn(testID, "w0"))
		require.Equal(t, map[phase]int{phaseRunning: 8, phaseQueued: 4}, r.phases(testID))

		r.configure(3, serviceQueue("quiet", "s1"), serviceQueue("more", "s1"))
		r.advance(3 * time.Second)
		require.Equal(t, 4, r.countOn(testID, "w1"))
		require.Equal(t, 8, r.countOn(testID, "w0"), "a running task was moved")
	})
}

// TestTasksOfDroppedServiceAreFollowed guards against runs that nobody looks after: they are on a worker whose service no queue names
// any more, and the owner changes.
func TestTasksOfDroppedServiceAreFollowed(t *testing.T) {
	runInServiceRig(t, func(r *serviceRig) {
		r.submitTo(testID, "quiet", 4)
		r.advance(time.Second)
		r.configure(2, serviceQueue("quiet", "s1"))
		r.advance(2 * time.Second)
		r.restart()
		r.advance(2 * testBounds.MaxHold)
		require.Equal(t, 4, r.countOn(testID, "w0"))
		require.Equal(t, 4, r.runners.Starts())
	})
}
