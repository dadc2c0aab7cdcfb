package host

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// TestAdjacentGangStartsInSeveralRacks guards against a gang that waits without end for a rack which holds it, though the workers
// of several racks hold it once and nothing else runs.
func TestAdjacentGangStartsInSeveralRacks(t *testing.T) {
	runKnownSite(t, largeLimits, func(x *mixedSite) {
		// Each rack keeps one worker of each kind.
		kept := map[string]bool{}
		for _, w := range x.workers {
			if kept[w.Labels] {
				x.roster.remove(w)
				x.roster.unlist(w)
			}
			kept[w.Labels] = true
		}
		x.m.advance(time.Second)
		step := jobs.Step{Tasks: 2, Accelerators: 8, Processors: 1, Gang: true, Adjacent: true, Label: "k1", Estimate: time.Second}
		x.submitKnown(testJobID, "quiet", time.Second, step)
		x.m.advance(20 * time.Second)
		require.True(t, x.runners.HasStarted(testJobID), "%s has not started after 20s beside room for it on %d workers", testJobID, len(kept)/3)
	})
}
