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

// TestWorkerThatReportsLateKeepsItsWork has reports be on their way for seconds while the tasks go on: no task is taken to
// stand still, or runs a second time.
func TestWorkerThatReportsLateKeepsItsWork(t *testing.T) {
	var again atomic.Bool
	plan := func(r port.RunRef, _ string) standin.RunFate {
		if r.Run > 1 {
			again.Store(true)
		}
		return standin.RunFate{Work: 12 * time.Second, Result: jobs.Done}
	}
	inSite(t, plan, []string{"a"}, func(s *site) {
		s.wait(2 * time.Second)
		x := tasks(6)
		x.Estimate = 12 * time.Second
		require.NoError(t, s.submit("a", jobA, "quiet", x))
		for range 3 {
			s.wait(2 * time.Second)
			s.mu.Lock()
			s.answerAfter = map[netip.AddrPort]time.Duration{}
			for _, w := range s.workers {
				s.answerAfter[w.Addr] = 2700 * time.Millisecond
			}
			s.mu.Unlock()
		}
		s.requireEnded(intake.Completed, 20*time.Second)
		require.False(t, again.Load())
	})
}
