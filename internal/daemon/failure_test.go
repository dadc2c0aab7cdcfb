package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/stretchr/testify/require"
)

// maxUrgentStart is the longest allowed time until an urgent job starts.
const maxUrgentStart = 3600 * time.Millisecond

// keyWithHome returns a key whose home is the given failure domain.
func keyWithHome(domain string, n int) string {
	for i := 0; ; i++ {
		k := fmt.Sprintf("string-%d-%d", n, i)
		if dedup.Home("harbour", k, threeDomains) == domain {
			return k
		}
	}
}

// awaitStart waits for the first start of a job and returns the time that it took.
func (c *cluster) awaitStart(job string, bound time.Duration) time.Duration {
	c.t.Helper()
	return c.eventually(bound, "start of "+job, func() bool { return len(c.countStarts(job)) > 0 })
}

// requireStartedOnce checks that each task of a job was started exactly once.
func (c *cluster) requireStartedOnce(job string, tasks int) {
	c.t.Helper()
	starts := c.countStarts(job)
	require.Len(c.t, starts, tasks)
	for ref, n := range starts {
		require.Equal(c.t, 1, n, "%+v", ref)
	}
}

func TestUrgentJobStartsInTimeAfterOwnerFailure(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		begin := time.Now()
		defer c.crash(c.owner("east"))()
		status, v := c.submit("west-1", registration(keyWithHome("east", 1)))
		require.Equal(t, http.StatusAccepted, status, "%v", v.Outcome)
		c.awaitStart(v.Job, maxUrgentStart-time.Since(begin))
		t.Logf("started %s after its owner died", time.Since(begin))
		require.LessOrEqual(t, time.Since(begin), maxUrgentStart)
		o := c.awaitOutcome("west-1", v.Job, 10*time.Second)
		require.Equal(t, string(fleet.Done), o.GetKind())
		c.requireStartedOnce(v.Job, 2)
	})
}

func TestRepeatedKeyReturnsFirstAnswer(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		q := registration(keyWithHome("east", 2))
		_, v := c.submit("west-1", q)
		first := c.awaitOutcome("west-1", v.Job, 10*time.Second)
		for _, name := range []string{"north-2", "east-3"} {
			status, again := c.submit(name, q)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, v.Job, again.Job)
			require.Equal(t, first.GetAnswerDigest(), again.Outcome.GetAnswerDigest())
		}
		c.kill(c.owner("east"))
		status, again := c.submit("north-1", q)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, first.GetAnswerDigest(), again.Outcome.GetAnswerDigest())
		c.requireStartedOnce(v.Job, 2)
	})
}

func TestAcknowledgedAnswerOfKeyedJobIsKept(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		q := registration(keyWithHome("east", 8))
		_, v := c.submit("west-1", q)
		c.awaitOutcome("west-1", v.Job, 10*time.Second)
		first := c.getAnswer("west-1", v.Job)
		require.NotEmpty(t, first)
		c.callJobs("west-1", http.MethodPost, "/v1/jobs/ack", []byte(`{"Jobs":["`+v.Job+`"]}`))
		require.Equal(t, first, c.getAnswer("north-1", v.Job))
	})
}

func TestRunningJobSurvivesOwnerFailure(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		q := registration(keyWithHome("east", 3))
		q.Work = encodeWork(5*time.Second, 1000)
		_, v := c.submit("west-1", q)
		c.awaitStart(v.Job, maxUrgentStart)
		c.kill(c.owner("east"))
		o := c.awaitOutcome("west-1", v.Job, 20*time.Second)
		require.Equal(t, string(fleet.Done), o.GetKind(), o.GetReason())
		c.requireStartedOnce(v.Job, 2)
	})
}

func TestQueuedJobsSurviveOwnerFailure(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		fill := entry.JobRequest{
			Organisation: "quay", Profile: "audit", Work: encodeWork(4*time.Second, 10), RunTimeMillis: 4000,
			Shape: shapeWith(32),
		}
		_, running := c.submit("east-2", fill)
		_, queued := c.submit("east-2", fill)
		c.awaitStart(running.Job, 5*time.Second)
		c.kill(c.owner("east"))
		for _, job := range []string{running.Job, queued.Job} {
			o := c.awaitOutcome("west-2", job, 30*time.Second)
			require.Equal(t, string(fleet.Done), o.GetKind(), o.GetReason())
			c.requireStartedOnce(job, 32)
		}
	})
}

func TestRollingReplacementOfHostsLosesNothing(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		done := registration(keyWithHome("east", 6))
		_, v := c.submit("west-1", done)
		first := c.awaitOutcome("west-1", v.Job, 10*time.Second)
		long := registration(keyWithHome("east", 7))
		long.Work = encodeWork(40*time.Second, 100)
		_, running := c.submit("west-1", long)
		c.awaitStart(running.Job, maxUrgentStart)
		for n := 1; n <= 3; n++ {
			name := fmt.Sprintf("east-%d", n)
			c.kill(name)
			time.Sleep(2 * time.Second)
			c.start(name, "east", n)
			c.eventually(15*time.Second, name+" ready", func() bool {
				return c.hosts[name].daemon.notReadyReason() == "" && c.owner("east") != ""
			})
		}
		_, again := c.submit("north-1", done)
		require.Equal(t, first.GetAnswerDigest(), again.Outcome.GetAnswerDigest())
		require.Equal(t, string(fleet.Done), c.awaitOutcome("north-1", running.Job, 60*time.Second).GetKind())
		c.requireStartedOnce(v.Job, 2)
		c.requireStartedOnce(running.Job, 2)
	})
}

func TestPartitionedDomainServesItsOwnJobs(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		// Wait for the first marker, which names the hosts that hold the claims. Before it, no claim is kept outside the log.
		time.Sleep(5 * time.Second)
		for _, name := range []string{"east-1", "east-2", "east-3"} {
			c.net.setCut(name, platformName, true)
			for o, h := range c.hosts {
				if h.daemon.settings.Host.Domain != "east" {
					c.net.setCut(name, o, true)
				}
			}
		}
		status, v := c.submit("east-2", entry.JobRequest{
			Organisation: "quay", Profile: "audit", Work: encodeWork(time.Second, 10), Shape: shapeWith(4),
		})
		require.Equal(t, http.StatusAccepted, status)
		require.Equal(t, string(fleet.Done), c.awaitOutcome("east-2", v.Job, 20*time.Second).GetKind())

		// After the marker has expired, the hosts of the failure domain replicate claims among themselves.
		time.Sleep(20 * time.Second)
		status, v = c.submit("east-2", registration(keyWithHome("east", 4)))
		require.Equal(t, http.StatusAccepted, status, "%v", v.Outcome)
		require.Equal(t, string(fleet.Done), c.awaitOutcome("east-2", v.Job, 20*time.Second).GetKind())
		c.requireStartedOnce(v.Job, 2)

		// A key whose home cannot be reached may have been used before the partition.
		status, v = c.submit("east-2", registration(keyWithHome("west", 5)))
		require.Equal(t, http.StatusGatewayTimeout, status)
		require.Equal(t, string(fleet.Unknown), v.Outcome.GetKind())
	})
}

func TestLostWorkerRestartsWholeGang(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		_, v := c.submit("east-1", entry.JobRequest{
			Organisation: "quay", Profile: "audit", Work: encodeWork(time.Minute, 10), Shape: shapeWith(16), RunTimeMillis: 60000,
		})
		c.awaitStart(v.Job, 5*time.Second)
		var lostWorker string
		for name, w := range c.workers {
			if len(w.Starts()) > 0 {
				lostWorker = name
			}
		}
		c.net.reset(lostWorker)
		c.eventually(30*time.Second, "second attempt of "+v.Job, func() bool {
			attempts := map[int]int{}
			for ref := range c.countStarts(v.Job) {
				attempts[ref.Attempt]++
			}
			return len(attempts) == 2
		})
		require.Equal(t, string(fleet.Done), c.awaitOutcome("east-1", v.Job, 3*time.Minute).GetKind())
	})
}

func TestOwnerResumesInSameTermAfterLeaseExpiry(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		q := registration(keyWithHome("east", 9))
		q.Work = encodeWork(10*time.Second, 100)
		_, v := c.submit("west-1", q)
		c.awaitStart(v.Job, maxUrgentStart)
		owner := c.owner("east")
		term := c.hosts[owner].daemon.owner.Term()
		// The lease expires before the owner may consider both peers as failed.
		for _, peer := range []string{"east-1", "east-2", "east-3"} {
			if peer != owner {
				c.kill(peer)
			}
		}
		require.Equal(t, string(fleet.Done), c.awaitOutcome("west-1", v.Job, 60*time.Second).GetKind())
		require.Equal(t, term, c.hosts[owner].daemon.owner.Term())
		c.requireStartedOnce(v.Job, 2)
	})
}
