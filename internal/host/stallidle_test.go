package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

// TestIdleWorkersThatAreLostHoldNoWork guards against jobs that wait for the lease of a worker that had ended before they were placed
// there: nothing ran there, so that it was not asked.
func TestIdleWorkersThatAreLostHoldNoWork(t *testing.T) {
	for _, after := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			runKnownSite(t, largeLimits, func(x *mixedSite) {
				x.m.advance(4 * time.Second)
				x.m.beginFault()()
				for _, w := range x.workers[:8] {
					x.roster.remove(w)
				}
				x.m.advance(after)
				for i := range 12 {
					x.submitKnown(fmt.Sprintf("b%015x", i), "quiet", 2*time.Second, jobs.Step{Tasks: 1, Accelerators: 8, Processors: 1, Estimate: 2 * time.Second})
				}
				x.m.advance(12 * time.Second)
				for _, y := range x.m.findStalls(time.Second) {
					t.Log(y)
				}
				x.requireNoCalmStall()
			})
		})
	}
}
