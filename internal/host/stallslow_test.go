package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

// TestWorkersOfStalledTasksAreUsed guards against jobs that wait beside free workers for as long as these are avoided, because tasks
// made no progress there.
func TestWorkersOfStalledTasksAreUsed(t *testing.T) {
	runKnownSite(t, largeLimits, func(x *mixedSite) {
		work := 30 * time.Second
		for i := range x.workers {
			x.submitKnown(fmt.Sprintf("c%015x", i), "quiet", work, jobs.Step{Tasks: 1, Accelerators: 8, Processors: 1, Estimate: work})
		}
		x.m.advance(3 * time.Second)
		for _, w := range x.workers[:len(x.workers)/2] {
			x.runners.SetStalled(w.Addr)
		}
		x.m.advance(20 * time.Second)
		for _, y := range x.m.findStalls(time.Second) {
			t.Log(y)
		}
		x.requireNoCalmStall()
	})
}
