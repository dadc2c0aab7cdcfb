package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/stretchr/testify/require"
)

// maxControlBytesPerSecond is the limit of control traffic that one host may send.
const maxControlBytesPerSecond = 5000

const (
	// warmUp is how long the gangs run before the measurement, and measureTime is the length of the measurement.
	warmUp      = 3 * time.Minute
	measureTime = time.Minute
)

// TestControlTrafficStaysWithinLimit measures the control traffic of each host while long gangs run on all workers and no
// requests arrive.
func TestControlTrafficStaysWithinLimit(t *testing.T) {
	for _, x := range []struct {
		name          string
		workers, jobs int
	}{
		{name: "48 workers", workers: 48, jobs: 3},
		{name: "96 workers", workers: 96, jobs: 6},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, []string{"east"}, 3, x.workers)
				defer c.close()
				c.configure([]config.Profile{urgentProfile, auditProfile}, "harbour", "quay")
				c.awaitReady()
				for range x.jobs {
					_, v := c.submit("east-1", entry.JobRequest{
						Organisation: "quay", Profile: "audit", Work: encodeWork(10*time.Hour, 10), Shape: shapeWith(128),
						RunTimeMillis: (10 * time.Hour).Milliseconds(), DeadlineMillis: (20 * time.Hour).Milliseconds(),
					})
					c.awaitStart(v.Job, 10*time.Second)
				}
				time.Sleep(warmUp)
				before := map[string]int64{}
				for h := range c.hosts {
					before[h] = c.net.bytesSentBy(h)
				}
				time.Sleep(measureTime)
				for h := range c.hosts {
					rate := float64(c.net.bytesSentBy(h)-before[h]) / measureTime.Seconds()
					t.Logf("%s sends %.0f bytes/s (owner: %v)", h, rate, c.owner("east") == h)
					require.Less(t, rate, float64(maxControlBytesPerSecond))
				}
			})
		})
	}
}
