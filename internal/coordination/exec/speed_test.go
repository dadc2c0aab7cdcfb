package exec

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
)

// withSpeeds makes the workers of a rig report progress at speeds that take turns.
func withSpeeds(d *Deps, speeds ...float64) {
	var mu sync.Mutex
	began := map[port.RunRef]time.Duration{}
	renew := d.Runners.Renew
	d.Runners.Renew = func(ctx context.Context, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
		x, err := renew(ctx, to, h)
		mu.Lock()
		defer mu.Unlock()
		i, _ := strconv.Atoi(h.Worker[1:])
		for k := range x.Running {
			ref := x.Running[k].Ref
			if _, ok := began[ref]; !ok {
				began[ref] = x.Clock
			}
			x.Running[k].Percent = min(int(10*speeds[i%len(speeds)]*(x.Clock-began[ref]).Seconds()), completePercent)
		}
		return x, err
	}
}

// TestOwnerLearnsSpeedsFromReports guards the way from the reports of the workers to the planner, by one gang with a task on each
// worker, of which every third is slow; a new lifetime of a worker is not known any more.
func TestOwnerLearnsSpeedsFromReports(t *testing.T) {
	const workers = 24
	speeds := []float64{1.6, 1, 0.6}
	runInRig(t, workers, runsTaking(time.Hour), func(r *rig) {
		r.stop()
		r.change = func(d *Deps) { withSpeeds(d, speeds...) }
		r.options = []Option{WithEnabled(plan.Speeds)}
		r.start(2)
		r.advance(time.Second)
		s := taskStep(workers)
		s.Gang, s.PerWorker = true, 1
		r.submit(testID, s)
		r.advance(5 * time.Second)
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		for i := range workers {
			got := r.engine.planner.Slowness(testWorker(i).Name)
			if speeds[i%len(speeds)] < 1 {
				require.InDelta(t, 1.6, got, 0.3, "worker %d", i)
				continue
			}
			require.LessOrEqual(t, got, 1.0, "worker %d", i)
		}
		slow := r.engine.workers[testWorker(2).Name]
		r.engine.beginInstance(slow, "another lifetime")
		require.Zero(t, r.engine.planner.Slowness(slow.name))
	})
}
