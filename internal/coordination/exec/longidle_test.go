package exec

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

// TestWorkStartsOnWorkersThatIdledLong guards against starts that workers refuse as too late, since the bound of the clock of a
// worker that has not been asked for minutes lags behind it by more than a lease.
func TestWorkStartsOnWorkersThatIdledLong(t *testing.T) {
	runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
		r.advance(10 * time.Minute)
		r.submit(testID, jobs.Step{Tasks: 4, Gang: true, Accelerators: 8, Estimate: time.Second})
		r.requireRunning(testID, 1, 500*time.Millisecond)
	})
}
