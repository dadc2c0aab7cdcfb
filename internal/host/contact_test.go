package host

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
)

// setWorkersCut cuts the links from all hosts to the given workers, or restores them.
func (s *site) setWorkersCut(isCut bool, workers ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.names {
		for _, w := range workers {
			s.cut[[2]string{h, w}] = isCut
		}
	}
}

// countWorkers returns the number of workers that the owner lists in a state.
func (s *site) countWorkers(state string) int {
	n := 0
	for _, h := range s.hosts {
		e := h.engine.Load()
		if e == nil {
			continue
		}
		for _, w := range e.FindWorkers() {
			if w.State == state {
				n++
			}
		}
	}
	return n
}

// TestLostContactQuarantinesNoWorker guards against idle workers after a partition. A failure domain is cut off until the
// leases of all its tasks have expired; its workers are sound and get work as soon as they answer again.
func TestLostContactQuarantinesNoWorker(t *testing.T) {
	runInSite(t, runsTaking(3*time.Second), []string{"a"}, func(s *site) {
		s.advance(2 * time.Second)
		for i := range 3 {
			require.NoError(t, s.submit("a", fmt.Sprintf("a%015x", i), "quiet", taskStep(32)))
		}
		s.advance(time.Second)
		s.setWorkersCut(true, "w0", "w1", "w2", "w3")
		s.advance(8 * time.Second)
		s.setWorkersCut(false, "w0", "w1", "w2", "w3")
		s.advance(2 * time.Second)
		require.Zero(t, s.countWorkers(plan.WorkerQuarantined))
		require.Equal(t, 6, s.countWorkers(plan.WorkerReady))
		s.requireEnded(intake.Completed, 20*time.Second)
	})
}

// TestCrashIsOneFaultOfWorker guards against the quarantine of a worker that crashed once with many tasks.
func TestCrashIsOneFaultOfWorker(t *testing.T) {
	runInSite(t, runsTaking(4*time.Second), []string{"a"}, func(s *site) {
		s.advance(2 * time.Second)
		require.NoError(t, s.submit("a", testJobID, "quiet", taskStep(48)))
		s.advance(time.Second)
		s.runners.Add(testWorker(1))
		s.advance(2 * time.Second)
		require.Zero(t, s.countWorkers(plan.WorkerQuarantined))
		s.requireEnded(intake.Completed, 20*time.Second)
	})
}

// TestFailingWorkerIsQuarantinedAndTriedAgain guards against a worker that fails all it starts and keeps getting work, and
// against one that gets none long after its fault is over.
func TestFailingWorkerIsQuarantinedAndTriedAgain(t *testing.T) {
	var isFaulty atomic.Bool
	isFaulty.Store(true)
	failOnFaulty := func(w string, o standin.RunOutcome) standin.RunOutcome {
		if w == "w0" && isFaulty.Load() {
			return standin.RunOutcome{Work: 100 * time.Millisecond, Result: jobs.FailedRun}
		}
		return o
	}
	runInSite(t, runsTaking(time.Second), []string{"a"}, func(s *site) {
		s.runners.SetAdjust(failOnFaulty)
		s.advance(2 * time.Second)
		for i := range 6 {
			require.NoError(t, s.submit("a", fmt.Sprintf("a%015x", i), "quiet", taskStep(24)))
		}
		s.advance(time.Second)
		require.Equal(t, 1, s.countWorkers(plan.WorkerQuarantined))
		isFaulty.Store(false)
		s.advance(8 * time.Second)
		require.NoError(t, s.submit("a", "b000000000000000", "quiet", taskStep(48)))
		s.advance(3 * time.Second)
		require.Equal(t, 6, s.countWorkers(plan.WorkerReady))
		s.requireEnded(intake.Completed, 20*time.Second)
	})
}

// setPeersCut cuts the links between two hosts, or restores them.
func (s *site) setPeersCut(isCut bool, a, b string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[[2]string{a, b}], s.cut[[2]string{b, a}] = isCut, isCut
}
