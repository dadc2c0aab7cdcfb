package host

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/exec"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// TestWorkRunsAgainSoonAfterLossOfOwnerAndWorker guards against work of a lost worker that waits longer because the owner was lost
// at about the same time.
func TestWorkRunsAgainSoonAfterLossOfOwnerAndWorker(t *testing.T) {
	for _, after := range []time.Duration{-3 * time.Second, -time.Second, 0, time.Second, 2 * time.Second, 4 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			runKnownSite(t, largeLimits, func(x *mixedSite) { x.loseOwnerAndWorker(after) })
		})
	}
}

// loseOwnerAndWorker ends the owner, and a while after or before it the worker on which a job runs, and requires that the job does
// not stall.
func (x *mixedSite) loseOwnerAndWorker(after time.Duration) {
	work := 20 * time.Second
	x.submitKnown(testJobID, "quiet", work, jobs.Step{Tasks: 1, Accelerators: 8, Processors: 1, Estimate: work})
	x.m.advance(time.Second)
	o, w := x.owner(), x.findTestWorker()
	endOwner := func() {
		x.kill(o)
		x.stopHost(o)
	}
	endWorker := func() { x.roster.remove(w) }
	first, second := endOwner, endWorker
	if after < 0 {
		first, second = endWorker, endOwner
	}
	x.m.beginFault()()
	first()
	x.m.advance(after.Abs())
	x.m.beginFault()()
	second()
	x.m.advance(15 * time.Second)
	for _, y := range x.m.findStalls(time.Second) {
		x.t.Log(y)
	}
	x.requireNoCalmStall()
}

// TestLeasesEndSoonAfterLastRenewal guards against leases that an owner extends for longer than the next one counts with: it cannot
// renew its term any more, as the store does not answer any host.
func TestLeasesEndSoonAfterLastRenewal(t *testing.T) {
	runKnownSite(t, largeLimits, func(x *mixedSite) {
		step := jobs.Step{Tasks: len(x.workers), Accelerators: 8, Processors: 1, Estimate: time.Minute}
		x.submitKnown(testJobID, "quiet", time.Minute, step)
		x.advance(time.Second)
		require.Len(t, x.runners.FindRunning(), len(x.workers))
		x.setStoreDown(true)
		x.advance(exec.MaxLease - 500*time.Millisecond)
		require.Len(t, x.runners.FindRunning(), len(x.workers), "leases end while the term may be renewed")
		x.advance(time.Second)
		require.Empty(t, x.runners.FindRunning())
	})
}
