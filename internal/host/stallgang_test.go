package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// TestRoomOfBrokenGangIsUsed guards against jobs that wait beside free workers until the lease of one lost task is over: the other
// tasks of its gang had ended.
func TestRoomOfBrokenGangIsUsed(t *testing.T) {
	for _, lost := range []string{"worker", "owner_and_worker"} {
		t.Run(lost, func(t *testing.T) {
			runKnownSite(t, largeLimits, func(x *mixedSite) { x.breakWideGang(lost != "worker") })
		})
	}
}

// breakWideGang ends a worker of a gang that has nearly all workers, and the owner with it if asked to, and requires that jobs that
// wait for room do not stall.
func (x *mixedSite) breakWideGang(withOwner bool) {
	gang := jobs.Step{Tasks: 22, Accelerators: 8, Processors: 1, Gang: true, Checkpoints: true, Estimate: time.Minute}
	x.submitKnown(testJobID, "normal", time.Minute, gang)
	x.m.advance(2 * time.Second)
	for i := range 8 {
		work := 30 * time.Second
		x.submitKnown(fmt.Sprintf("c%015x", i), "quiet", work, jobs.Step{Tasks: 1, Accelerators: 8, Processors: 1, Estimate: work})
	}
	x.m.advance(time.Second)
	require.Len(x.t, x.runners.FindRunning(), len(x.workers))
	w := x.findTestWorker()
	x.m.beginFault()()
	if withOwner {
		o := x.owner()
		x.kill(o)
		x.stopHost(o)
	}
	x.roster.remove(w)
	x.roster.unlist(w)
	x.m.advance(15 * time.Second)
	require.Empty(x.t, x.m.findStalls(maxStall))
}
