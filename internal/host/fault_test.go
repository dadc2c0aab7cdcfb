package host

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

const testJobID = "00000000000000aa"

// TestTaskResultIsKeptUntilItsGangEnds guards against the loss of a failed task's result. One task of the last allowed
// run of a gang fails while the owner cannot reach the worker of the other task, and the owner fails before it knows the
// result of the whole run. The next owner must not start the gang again.
func TestTaskResultIsKeptUntilItsGangEnds(t *testing.T) {
	plan := func(r port.RunRef, _ string) standin.RunOutcome {
		f := standin.RunOutcome{Work: 2 * time.Second, Result: jobs.Done, Gang: 2}
		if r.Task == 0 {
			f.Work, f.Result = time.Second, jobs.FailedRun
		}
		return f
	}
	runInSite(t, plan, threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		require.NoError(s.t, s.submit("a", testJobID, "quiet", gangStep(2, 8)))
		last := port.RunRef{Job: testJobID, Task: 1, Run: maxAttempts}
		for s.runners.Starts() < 2*maxAttempts {
			s.advance(20 * time.Millisecond)
		}
		o := s.owner()
		s.mu.Lock()
		s.cut[[2]string{o, s.runners.FindWorker(last)}] = true
		s.mu.Unlock()
		s.advance(1500 * time.Millisecond)
		s.kill(o)
		s.requireEnded(intake.Failed, 60*time.Second)
		require.Equal(s.t, 2*maxAttempts, s.runners.Starts())
	})
}

// TestLateWritesOfFormerOwnerAreFenced guards against stale records. The writes of an owner reach the store after another
// host has taken over, and a third owner then reads them.
func TestLateWritesOfFormerOwnerAreFenced(t *testing.T) {
	runInSite(t, runsTaking(6*time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		first := s.owner()
		s.store.SetLossy(first, true, 4*time.Second)
		for _, h := range s.liveHosts() {
			if h != first {
				require.NoError(s.t, s.submit(h, testJobID, "quiet", taskStep(8)))
				break
			}
		}
		s.advance(4500 * time.Millisecond)
		second := s.owner()
		require.NotEqual(s.t, first, second)
		s.kill(first)
		s.kill(second)
		s.requireEnded(intake.Completed, 60*time.Second)
		require.Equal(s.t, 8, s.runners.Starts())
	})
}

// TestRetriedStartDoesNotRunTwice guards against a late start. A worker does not answer a start, refuses the
// retry for lack of capacity, and then executes the first start. The run must not go on beside another run of the task.
func TestRetriedStartDoesNotRunTwice(t *testing.T) {
	runInSite(t, runsTaking(3*time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		for i := range 6 {
			s.runners.SetCommandDelay(testWorker(i).Addr, 700*time.Millisecond)
		}
		require.NoError(s.t, s.submit("a", testJobID, "quiet", taskStep(4)))
		s.advance(60 * time.Millisecond)
		for i := range 6 {
			s.runners.SetCommandDelay(testWorker(i).Addr, 0)
			s.runners.SetFull(testWorker(i).Addr, true)
		}
		s.advance(200 * time.Millisecond)
		for i := range 6 {
			s.runners.SetFull(testWorker(i).Addr, false)
		}
		s.requireEnded(intake.Completed, 30*time.Second)
	})
}

// TestWorkerWithOrphanedTasksIsNotOvercommitted guards against overcommitting a worker with orphaned tasks. The owner ends a
// cancelled job whose worker it cannot reach, and fails while the other workers are full and a job is queued.
func TestWorkerWithOrphanedTasksIsNotOvercommitted(t *testing.T) {
	runInSite(t, runsTaking(20*time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		require.NoError(s.t, s.submit("a", testJobID, "quiet", taskStep(8)))
		s.advance(300 * time.Millisecond)
		w := s.runners.FindWorker(port.RunRef{Job: testJobID})
		require.NoError(s.t, s.submit("a", "00000000000000ab", "quiet", taskStep(40)))
		s.advance(300 * time.Millisecond)
		require.Equal(s.t, 48, s.runners.Starts())
		o := s.owner()
		s.mu.Lock()
		s.cut[[2]string{o, w}] = true
		s.mu.Unlock()
		require.NoError(s.t, s.hosts[o].intake.Cancel(s.t.Context(), testJobID, 3*time.Second))
		require.NoError(s.t, s.submit("a", "00000000000000ac", "quiet", taskStep(8)))
		s.advance(300 * time.Millisecond)
		s.kill(o)
		s.advance(5 * time.Second)
		require.Empty(s.t, s.runners.Faults())
		require.Equal(s.t, 56, s.runners.Starts())
	})
}

// TestReportFromBeforeStartDoesNotLoseTasks guards against stale reports. A report that a worker made before a start reaches
// the owner after the answer to the start. The owner must not count the task as lost.
func TestReportFromBeforeStartDoesNotLoseTasks(t *testing.T) {
	runInSite(t, runsTaking(700*time.Millisecond), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		for i := range 6 {
			s.runners.SetReportDelay(testWorker(i).Addr, 150*time.Millisecond)
		}
		for n := range 12 {
			require.NoError(s.t, s.submit("a", testJobID[:15]+string("0123456789ab"[n]), "quiet", taskStep(3)))
			s.advance(170 * time.Millisecond)
		}
		s.requireEnded(intake.Completed, 30*time.Second)
		require.Equal(s.t, 36, s.runners.Starts())
	})
}

// TestStalledTaskRunsOnAnotherWorker checks that stalled tasks are run again on another worker.
func TestStalledTaskRunsOnAnotherWorker(t *testing.T) {
	runInSite(t, runsTaking(2*time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		require.NoError(s.t, s.submit("a", testJobID, "quiet", taskStep(8)))
		s.advance(500 * time.Millisecond)
		s.runners.SetStalled(findTestWorker(s.runners.FindWorker(port.RunRef{Job: testJobID})).Addr)
		s.requireEnded(intake.Completed, 20*time.Second)
	})
}

// findTestWorker returns the worker with the given name.
func findTestWorker(name string) fleet.Worker {
	for i := range 6 {
		if w := testWorker(i); w.Name == name {
			return w
		}
	}
	return fleet.Worker{}
}

// TestResultsAreAcknowledgedOnce guards against retries of an acknowledgement. If a worker restarts meanwhile, the retry would
// reach its next instance and delete results that no owner has read.
func TestResultsAreAcknowledgedOnce(t *testing.T) {
	runInSite(t, runsTaking(300*time.Millisecond), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		s.submitMixedJobs(12)
		s.requireEnded(intake.Completed, 20*time.Second)
		s.advance(5 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		acks := 0
		for _, h := range s.holds {
			if h.AckedEnd == 0 {
				continue
			}
			acks++
			require.True(t, h.Once, "%+v", h)
			require.Less(t, h.Within, 2*time.Second)
			require.Positive(t, h.Within)
		}
		require.Positive(t, acks)
	})
}

// TestCancelStopsTaskOfWorkerNotYetListed cancels a job right after a failover, before the new owner has read the
// worker list. The tasks must still be stopped.
func TestCancelStopsTaskOfWorkerNotYetListed(t *testing.T) {
	runInSite(t, runsTaking(time.Minute), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		require.NoError(t, s.submit("a", testJobID, "quiet", gangStep(2, 1)))
		s.advance(time.Second)
		require.Len(t, s.runners.FindRunning(), 2)
		s.listDelay = time.Second
		o := s.owner()
		s.stopHost(o)
		h := s.otherHost(o)
		for s.hosts[h].elect.Owner().Host == o {
			s.advance(20 * time.Millisecond)
		}
		s.advance(200 * time.Millisecond)
		require.NoError(t, s.hosts[h].intake.Cancel(s.t.Context(), testJobID, 3*time.Second))
		s.advance(4 * time.Second)
		require.Empty(t, s.runners.FindRunning())
	})
}
