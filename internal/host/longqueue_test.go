package host

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// largeFleet returns n workers with 8 accelerators each in racks of 12.
func largeFleet(n int) []fleet.Worker {
	ws := make([]fleet.Worker, n)
	for i := range ws {
		ws[i] = fleet.Worker{
			Name: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/12), Slots: 1 << 20, Accelerators: 8, Processors: 64,
			Memory: fleet.Gigabyte, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i%250 + 1)}), 1),
		}
	}
	return ws
}

// TestUrgentGangsAreServedBeforeLongQueue checks that urgent gangs complete in time while thousands of tasks of bulk jobs
// are queued.
func TestUrgentGangsAreServedBeforeLongQueue(t *testing.T) {
	const (
		urgentRun = time.Second
		bulkRun   = 6 * time.Second
	)
	plan := func(r port.RunRef, _ string) standin.RunOutcome {
		if r.Job[0] == 'a' {
			return standin.RunOutcome{Work: urgentRun, Result: jobs.Done}
		}
		return standin.RunOutcome{Work: bulkRun, Result: jobs.Done}
	}
	runInSiteWith(t, largeFleet(96), plan, []string{"h1"}, func(s *site) {
		s.advance(2 * time.Second)
		for i := range 30 {
			require.NoError(t, s.submit("h1", fmt.Sprintf("b%015x", i), "quiet", taskStep(80)))
		}
		s.advance(time.Second)
		s.ids = nil
		for i := range 10 {
			require.NoError(t, s.submit("h1", fmt.Sprintf("a%015x", i), "urgent", gangStep(8, 4)))
			s.advance(100 * time.Millisecond)
		}
		s.requireEnded(intake.Completed, 4*time.Second)
	})
}
