package daemon

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/stretchr/testify/require"
)

// setPlatformFault sets the fault that the platform simulates; the zero value ends it.
func (c *cluster) setPlatformFault(f standin.Fault) {
	c.t.Helper()
	b, err := json.Marshal(f)
	require.NoError(c.t, err)
	r, err := c.http.Post("http://"+platformAddr.String()+"/fault", "application/json", bytes.NewReader(b))
	require.NoError(c.t, err)
	require.NoError(c.t, r.Body.Close())
	require.Equal(c.t, http.StatusOK, r.StatusCode)
}

// requireJobRuns submits a job without a key to a host and checks that it runs to its end.
func (c *cluster) requireJobRuns(name string) {
	c.t.Helper()
	status, v := c.submit(name, entry.JobRequest{
		Organisation: "quay", Profile: "audit", Work: encodeWork(time.Second, 10), Shape: shapeWith(4),
	})
	require.Equal(c.t, http.StatusAccepted, status, "%v", v.Outcome)
	require.Equal(c.t, string(fleet.Done), c.awaitOutcome(name, v.Job, 30*time.Second).GetKind())
	c.requireStartedOnce(v.Job, 4)
}

func TestJobsWithoutKeyRunWhileLogIsDown(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		c.setPlatformFault(standin.Fault{Down: true})
		for range 3 {
			time.Sleep(2 * time.Minute)
			c.requireJobRuns("east-2")
		}
		c.kill(c.owner("east"))
		time.Sleep(maxUrgentStart)
		c.requireJobRuns("west-1")
		c.setPlatformFault(standin.Fault{})
		time.Sleep(time.Minute)
		c.requireJobRuns("east-2")
		for _, h := range c.hosts {
			require.True(t, h.daemon.stream.IsUp() && h.daemon.stream.IsCaughtUp(), h.name)
		}
	})
}

func TestJobsRunWhileLogIsSlow(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		c.setPlatformFault(standin.Fault{DelayMillis: 1500})
		time.Sleep(time.Minute)
		c.requireJobRuns("east-2")
		c.kill(c.owner("east"))
		time.Sleep(maxUrgentStart)
		require.NotEmpty(t, c.owner("east"))
		c.requireJobRuns("west-2")
		// Requests in flight have to end before the cluster is closed.
		c.setPlatformFault(standin.Fault{})
		time.Sleep(5 * time.Second)
	})
}

func TestStaleHostListDoesNotHideNewHost(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		c.setPlatformFault(standin.Fault{FreezeHosts: true})
		c.kill("east-3")
		time.Sleep(10 * time.Second)
		for _, m := range c.hosts["east-1"].daemon.members.Live("east") {
			require.NotEqual(t, "east-3", m.Name, "still listed, but unresponsive")
		}
		c.start("east-4", "east", 9)
		c.eventually(15*time.Second, "east-4 is seen", func() bool {
			for _, m := range c.hosts["east-1"].daemon.members.Live("east") {
				if m.Name == "east-4" && m.State == member.Ready {
					return true
				}
			}
			return false
		})
		c.requireJobRuns("east-4")
	})
}

func TestOwnerAndPeerKilledTogether(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		first := c.owner("east")
		for _, name := range []string{"east-1", "east-2", "east-3"} {
			if name != first {
				c.kill(name)
				break
			}
		}
		c.kill(first)
		time.Sleep(maxUrgentStart)
		require.NotEmpty(t, c.owner("east"))
		c.requireJobRuns("west-1")
	})
}

func TestHalfOpenPeerConnectionsAreReplaced(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		owner := c.owner("east")
		for name, h := range c.hosts {
			if h.daemon.settings.Host.Domain == "east" && name != owner {
				c.net.setCut(owner, name, true)
				c.net.setCut(owner, name, false)
			}
		}
		begin := time.Now()
		c.eventually(2*time.Second, "all peers answer on new connections", func() bool {
			ps := c.hosts[owner].daemon.members.Peers()
			for _, p := range ps {
				if !p.LastHeard.After(begin) || p.IsSuspect {
					return false
				}
			}
			return len(ps) == 2
		})
		c.requireJobRuns("east-2")
	})
}
