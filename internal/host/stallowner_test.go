package host

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

// TestWorkRunsAgainSoonAfterLossOfOwnerAndWorker guards against work of a lost worker that waits longer because the owner was lost
// some time before it.
func TestWorkRunsAgainSoonAfterLossOfOwnerAndWorker(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			runKnownSite(t, largeLimits, func(x *mixedSite) { x.loseOwnerAndWorker(after) })
		})
	}
}

// loseOwnerAndWorker ends the owner, and a while after it the worker on which a job runs, and requires that the job does not stall.
func (x *mixedSite) loseOwnerAndWorker(after time.Duration) {
	work := 20 * time.Second
	x.submitKnown(testJobID, "quiet", work, jobs.Step{Tasks: 1, Accelerators: 8, Processors: 1, Estimate: work})
	x.m.advance(time.Second)
	x.m.beginFault()()
	o := x.owner()
	x.kill(o)
	x.stopHost(o)
	x.m.advance(after)
	x.m.beginFault()()
	x.roster.remove(x.findTestWorker())
	x.m.advance(15 * time.Second)
	for _, y := range x.m.findStalls(time.Second) {
		x.t.Log(y)
	}
	x.requireNoCalmStall()
}
