package daemon

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/stretchr/testify/require"
)

// targetWorkers is the number of workers of one failure domain at the target size.
const targetWorkers = 480

func TestFailoverAtTargetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, []string{"east"}, 3, targetWorkers)
		defer c.close()
		c.configure([]config.Profile{urgentProfile, auditProfile}, "harbour", "quay")
		c.awaitReady()
		time.Sleep(10 * time.Second)
		begin := time.Now()
		defer c.crash(c.owner("east"))()
		status, v := c.submit("east-3", registration("string-1"))
		require.Equal(t, http.StatusAccepted, status, "%v", v.Outcome)
		c.awaitStart(v.Job, maxUrgentStart)
		t.Logf("started %s after its owner died, with %d workers", time.Since(begin), targetWorkers)
		require.LessOrEqual(t, time.Since(begin), maxUrgentStart)
	})
}
