package host

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// TestSlowReportsDoNotRestartTasks guards against restarting the tasks of a slow worker. Its reports take seconds to
// arrive while the tasks make progress; no task may be considered stalled or run a second time.
func TestSlowReportsDoNotRestartTasks(t *testing.T) {
	var isRepeated atomic.Bool
	plan := func(r port.RunRef, _ string) standin.RunOutcome {
		if r.Run > 1 {
			isRepeated.Store(true)
		}
		return standin.RunOutcome{Work: 12 * time.Second, Result: jobs.Done}
	}
	runInSite(t, plan, []string{"a"}, func(s *site) {
		s.advance(2 * time.Second)
		x := taskStep(6)
		x.Estimate = 12 * time.Second
		require.NoError(t, s.submit("a", testJobID, "quiet", x))
		for range 3 {
			s.advance(2 * time.Second)
			s.mu.Lock()
			s.reportDelay = map[netip.AddrPort]time.Duration{}
			for _, w := range s.workers {
				s.reportDelay[w.Addr] = 2700 * time.Millisecond
			}
			s.mu.Unlock()
		}
		s.requireEnded(intake.Completed, 20*time.Second)
		require.False(t, isRepeated.Load())
	})
}
