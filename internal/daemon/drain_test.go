package daemon

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/stretchr/testify/require"
)

// maxLeaveDelay is the longest time from the listing of a worker as leaving until the worker gets no new tasks.
const maxLeaveDelay = 7 * time.Second

func TestLeavingWorkerGetsNoNewTasks(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		const leaving = "east-w1"
		info := store.Worker{
			Name: leaving, Domain: "east", Rack: "east-r1", Addr: c.workerAddr(0, 0), Leaving: true,
			Slots: slotsPerWorker, Connections: 64, Accelerators: slotsPerWorker, Processors: 128, MemoryBytes: 512 << 30,
		}
		c.platform.Register(standin.Registration{Workers: []store.Worker{info}})
		time.Sleep(maxLeaveDelay)
		before := len(c.workers[leaving].Starts())
		for range 30 {
			_, v := c.submit("east-2", entry.JobRequest{
				Organisation: "quay", Profile: "audit", Work: encodeWork(2*time.Second, 10), Shape: shapeWith(20), RunTimeMillis: 2000,
			})
			require.Equal(t, string(fleet.Done), c.awaitOutcome("east-2", v.Job, time.Minute).GetKind())
			// During this wait, hosts renew the worker's lease, and the worker's reports do not say that it is leaving.
			time.Sleep(time.Second)
		}
		require.Equal(t, before, len(c.workers[leaving].Starts()))
	})
}

func TestHostDrainsDuringPlannedStop(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		name := c.owner("east")
		d := c.hosts[name].daemon
		q := registration(keyWithHome("east", 20))
		q.Work = encodeWork(10*time.Second, 10)
		_, v := c.submit(name, q)
		c.awaitStart(v.Job, maxUrgentStart)
		c.announceStop(config.Stop{
			Name: "works", Kind: config.StopHost, Domain: "east", Target: name,
			From: time.Now().Add(2 * time.Second), Until: time.Now().Add(30 * time.Second), Reason: "new disk",
		})
		c.eventually(maxLeaveDelay, "drain of "+name, func() bool {
			return d.notReadyReason() == "draining" && c.owner("east") != "" && c.owner("east") != name
		})
		require.Equal(t, string(fleet.Done), c.awaitOutcome(name, v.Job, time.Minute).GetKind(), "the request in flight is not cut off")
		c.requireStartedOnce(v.Job, 2)
		c.eventually(40*time.Second, name+" back", func() bool { return d.notReadyReason() == "" })
	})
}
