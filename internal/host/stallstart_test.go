package host

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// TestStartIsNotSentToSilentWorker guards against a job that waits for the lease of a worker that ended while the start of the job
// was being stored.
func TestStartIsNotSentToSilentWorker(t *testing.T) {
	runKnownSite(t, largeLimits, func(x *mixedSite) {
		var labelled []string
		for _, w := range x.workers {
			if w.Labels[:2] == "k1" {
				labelled = append(labelled, w.Name)
			}
		}
		step := jobs.Step{Tasks: len(labelled), Accelerators: 1, Processors: 1, Label: "k1", PerWorker: 1, Estimate: time.Minute}
		x.submitKnown("a000000000000000", "normal", time.Minute, step)
		x.advance(time.Second)
		x.setWorkersCut(true, labelled...)
		x.advance(4 * time.Second)
		step.Tasks, step.Estimate = 1, time.Second
		x.submitKnown(testJobID, "normal", time.Second, step)
		x.advance(100 * time.Millisecond)
		x.setStoreDown(true)
		x.setWorkersCut(false, labelled[0])
		x.advance(time.Second)
		x.roster.remove(x.m.findWorker(labelled[0]))
		x.setWorkersCut(false, labelled...)
		x.advance(3 * time.Second)
		require.False(t, x.runners.HasStarted(testJobID))
		x.setStoreDown(false)
		x.waitForStart(testJobID, time.Second)
	})
}

// setStoreDown sets whether the store leaves the calls of all hosts unanswered.
func (s *site) setStoreDown(isDown bool) {
	for _, h := range s.liveHosts() {
		s.store.SetUnresponsive(h, isDown)
	}
}
