package daemon

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/stretchr/testify/require"
)

// leaveBound is how soon after the platform's list names it a leaving worker gets no new work.
const leaveBound = 7 * time.Second

func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	inCluster(t, func(c *cluster) {
		const leaving = "east-w1"
		info := store.Worker{
			Name: leaving, Domain: "east", Rack: "east-r1", Addr: c.workerAddr(0, 0), Leaving: true,
			Slots: slotsEach, Connections: 64, Accelerators: slotsEach, Processors: 128, MemoryBytes: 512 << 30,
		}
		c.platform.Register(standin.Registration{Workers: []store.Worker{info}})
		time.Sleep(leaveBound)
		before := len(c.workers[leaving].Starts())
		for range 30 {
			_, v := c.submit("east-2", entry.JobRequest{
				Organisation: "quay", Profile: "audit", Work: work(2*time.Second, 10), Shape: shapeOf(20), RunTimeMillis: 2000,
			})
			require.Equal(t, string(fleet.Done), c.await("east-2", v.Job, time.Minute).GetKind())
			// Renewals of leases go on meanwhile, whose reports do not know that the worker leaves.
			time.Sleep(time.Second)
		}
		require.Equal(t, before, len(c.workers[leaving].Starts()))
	})
}
