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

func TestPlannedStopDrainsAHostAndGivesItBack(t *testing.T) {
	inCluster(t, func(c *cluster) {
		name := c.owner("east")
		d := c.hosts[name].daemon
		q := registration(keyOf("east", 20))
		q.Work = work(10*time.Second, 10)
		_, v := c.submit(name, q)
		c.started(v.Job, urgentBound)
		c.announceStop(config.Stop{
			Name: "works", Kind: config.StopHost, Domain: "east", Target: name,
			From: time.Now().Add(2 * time.Second), Until: time.Now().Add(30 * time.Second), Reason: "new disk",
		})
		c.eventually(leaveBound, "drain of "+name, func() bool {
			return d.notReady() == "draining" && c.owner("east") != "" && c.owner("east") != name
		})
		require.Equal(t, string(fleet.Done), c.await(name, v.Job, time.Minute).GetKind(), "the request in flight is not cut off")
		c.requireOnce(v.Job, 2)
		c.eventually(40*time.Second, name+" back", func() bool { return d.notReady() == "" })
	})
}
