package host

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// loseOwner ends the process of the owner, and that of a worker unless it is nil.
func (x *mixedSite) loseOwner(w *fleet.Worker) {
	o := x.owner()
	x.m.beginFault()()
	x.kill(o)
	x.stopHost(o)
	if w != nil {
		x.roster.remove(*w)
	}
}

// runAfterTakeOver loses the owner after the workers have been up for long, and submits a job of one task to the next one, under which the
// task soon runs.
func (x *mixedSite) runAfterTakeOver() fleet.Worker {
	x.m.advance(30 * time.Second)
	x.loseOwner(nil)
	x.m.advance(3 * time.Second)
	work := time.Minute
	s := jobs.Step{Tasks: 1, Accelerators: 8, Processors: 1, Estimate: work}
	x.load.mu.Lock()
	x.load.steps[testJobID], x.load.work[testJobID] = []jobs.Step{s}, work
	x.load.mu.Unlock()
	x.m.submit(testJobID, []jobs.Step{s})
	require.NoError(x.t, x.submitOnce("org0", x.hosts[x.owner()], testJobID, "quiet", s))
	x.m.accept(testJobID, "quiet", "org0", []jobs.Step{s})
	x.m.advance(time.Second)
	return x.findTestWorker()
}

// TestWorkRunsAgainSoonAfterTakeOverAndLossOfWorker guards against work of a lost worker that waits for longer because a new owner, which
// has owned for some seconds, started it.
func TestWorkRunsAgainSoonAfterTakeOverAndLossOfWorker(t *testing.T) {
	runKnownSite(t, largeLimits, func(x *mixedSite) {
		w := x.runAfterTakeOver()
		x.m.beginFault()()
		x.roster.remove(w)
		x.m.advance(15 * time.Second)
		x.requireNoCalmStall()
	})
}

// TestWorkRunsAgainSoonAfterSecondLossOfOwner guards against work of a worker that is lost together with its owner and waits for longer
// because its run began soon after an earlier take-over, long before.
func TestWorkRunsAgainSoonAfterSecondLossOfOwner(t *testing.T) {
	runKnownSite(t, largeLimits, func(x *mixedSite) {
		w := x.runAfterTakeOver()
		x.m.advance(30 * time.Second)
		x.loseOwner(&w)
		x.m.advance(20 * time.Second)
		x.requireNoCalmStall()
	})
}
