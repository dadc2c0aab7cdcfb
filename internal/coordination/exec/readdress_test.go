package exec

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWorkOfReplacedWorkerRunsAgainAtOnce guards against a unit that waits for the longest lease although another worker is at the
// address to which its unanswered start was sent.
func TestWorkOfReplacedWorkerRunsAgainAtOnce(t *testing.T) {
	runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		w := r.workers[0]
		r.submit("00000000000000bb", taskStep(1))
		r.requireRunning("00000000000000bb", 1, time.Second)
		_, worker := r.newestRun("00000000000000bb")
		require.Equal(t, w.Name, worker)
		r.runners.SetCut(func(_, x string) bool { return x == w.Name })
		r.submit(testID, taskStep(1))
		r.advance(2 * startTimeout)
		u := r.unit(testID, 0)
		require.Equal(t, phaseStopping, u.phase)
		require.Equal(t, w.Name, u.members[0].worker)
		other := w
		other.Name = "w9"
		r.runners.Add(other)
		r.requireRunning(testID, 1, 1500*time.Millisecond)
		r.requireRunning("00000000000000bb", 1, 1500*time.Millisecond)
	})
}
