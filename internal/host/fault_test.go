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

const jobA = "00000000000000aa"

// TestEndOfATaskIsKeptUntilItsGangHasEnded has the last allowed run of a gang fail while its owner cannot reach the
// other worker, and the owner die before it knows how the run ended as a whole.
func TestEndOfATaskIsKeptUntilItsGangHasEnded(t *testing.T) {
	plan := func(r port.RunRef, _ string) standin.RunFate {
		f := standin.RunFate{Work: 2 * time.Second, Result: jobs.Done, Gang: 2}
		if r.Task == 0 {
			f.Work, f.Result = time.Second, jobs.FailedRun
		}
		return f
	}
	inSite(t, plan, three, func(s *site) {
		s.wait(2 * time.Second)
		require.NoError(s.t, s.submit("a", jobA, "quiet", gang(2, 8)))
		last := port.RunRef{Job: jobA, Task: 1, Run: attempts}
		for s.runners.Starts() < 2*attempts {
			s.wait(20 * time.Millisecond)
		}
		o := s.owner()
		s.mu.Lock()
		s.cut[[2]string{o, s.runners.Find(last)}] = true
		s.mu.Unlock()
		s.wait(1500 * time.Millisecond)
		s.kill(o)
		s.requireEnded(intake.Failed, 60*time.Second)
		require.Equal(s.t, 2*attempts, s.runners.Starts())
	})
}

// TestLateWritesOfAFormerOwnerAreFenced has an owner's records reach the store after another one has taken over, and the
// next one read them.
func TestLateWritesOfAFormerOwnerAreFenced(t *testing.T) {
	inSite(t, takes(6*time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		first := s.owner()
		s.store.SetLossy(first, true, 4*time.Second)
		for _, h := range s.live() {
			if h != first {
				require.NoError(s.t, s.submit(h, jobA, "quiet", tasks(8)))
				break
			}
		}
		s.wait(4500 * time.Millisecond)
		second := s.owner()
		require.NotEqual(s.t, first, second)
		s.kill(first)
		s.kill(second)
		s.requireEnded(intake.Completed, 60*time.Second)
		require.Equal(s.t, 8, s.runners.Starts())
	})
}

// TestStartRefusedAfterAnUnansweredTryIsBarred has a worker leave a start unanswered, refuse its repeat for want of room
// and then carry the first one out.
func TestStartRefusedAfterAnUnansweredTryIsBarred(t *testing.T) {
	inSite(t, takes(3*time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		for i := range 6 {
			s.runners.SetDrop(testWorker(i).Addr, 700*time.Millisecond)
		}
		require.NoError(s.t, s.submit("a", jobA, "quiet", tasks(4)))
		s.wait(60 * time.Millisecond)
		for i := range 6 {
			s.runners.SetDrop(testWorker(i).Addr, 0)
			s.runners.SetFull(testWorker(i).Addr, true)
		}
		s.wait(200 * time.Millisecond)
		for i := range 6 {
			s.runners.SetFull(testWorker(i).Addr, false)
		}
		s.requireEnded(intake.Completed, 30*time.Second)
	})
}

// TestWorkerWithTasksOfNoUnitTakesNoWork has the owner end a cancelled job whose worker it cannot reach and die, while
// the other workers are full and work waits.
func TestWorkerWithTasksOfNoUnitTakesNoWork(t *testing.T) {
	inSite(t, takes(20*time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		require.NoError(s.t, s.submit("a", jobA, "quiet", tasks(8)))
		s.wait(300 * time.Millisecond)
		w := s.runners.Find(port.RunRef{Job: jobA})
		require.NoError(s.t, s.submit("a", "00000000000000ab", "quiet", tasks(40)))
		s.wait(300 * time.Millisecond)
		require.Equal(s.t, 48, s.runners.Starts())
		o := s.owner()
		s.mu.Lock()
		s.cut[[2]string{o, w}] = true
		s.mu.Unlock()
		require.NoError(s.t, s.hosts[o].intake.Cancel(s.t.Context(), jobA, 3*time.Second))
		require.NoError(s.t, s.submit("a", "00000000000000ac", "quiet", tasks(8)))
		s.wait(300 * time.Millisecond)
		s.kill(o)
		s.wait(5 * time.Second)
		require.Empty(s.t, s.runners.Faults())
		require.Equal(s.t, 56, s.runners.Starts())
	})
}

// TestReportFromBeforeAStartLosesNothing has a report reach the owner after the answer to a start that came later.
func TestReportFromBeforeAStartLosesNothing(t *testing.T) {
	inSite(t, takes(700*time.Millisecond), three, func(s *site) {
		s.wait(2 * time.Second)
		for i := range 6 {
			s.runners.SetSlowReports(testWorker(i).Addr, 150*time.Millisecond)
		}
		for n := range 12 {
			require.NoError(s.t, s.submit("a", jobA[:15]+string("0123456789ab"[n]), "quiet", tasks(3)))
			s.wait(170 * time.Millisecond)
		}
		s.requireEnded(intake.Completed, 30*time.Second)
		require.Equal(s.t, 36, s.runners.Starts())
	})
}

// TestTaskThatStandsStillRunsElsewhere has all tasks of the worker with most of them stand still for good.
func TestTaskThatStandsStillRunsElsewhere(t *testing.T) {
	inSite(t, takes(2*time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		require.NoError(s.t, s.submit("a", jobA, "quiet", tasks(8)))
		s.wait(500 * time.Millisecond)
		s.runners.SetStill(workerNamed(s.runners.Find(port.RunRef{Job: jobA})).Addr)
		s.requireEnded(intake.Completed, 20*time.Second)
	})
}

// workerNamed returns the worker of a name.
func workerNamed(name string) fleet.Worker {
	for i := range 6 {
		if w := testWorker(i); w.Name == name {
			return w
		}
	}
	return fleet.Worker{}
}

// TestEndsAreAcknowledgedOnce guards against a second attempt at an acknowledgement, which would reach the next lifetime
// of a worker that restarts meanwhile and make it forget ends that nobody has read.
func TestEndsAreAcknowledgedOnce(t *testing.T) {
	inSite(t, takes(300*time.Millisecond), three, func(s *site) {
		s.wait(2 * time.Second)
		s.load(12)
		s.requireEnded(intake.Completed, 20*time.Second)
		s.wait(5 * time.Second)
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

// TestCancelReachesATaskWhoseWorkerIsNotListedYet has a job cancelled right after a takeover, before the new owner has read
// the list of the workers.
func TestCancelReachesATaskWhoseWorkerIsNotListedYet(t *testing.T) {
	inSite(t, takes(time.Minute), three, func(s *site) {
		s.wait(2 * time.Second)
		require.NoError(t, s.submit("a", jobA, "quiet", gang(2, 1)))
		s.wait(time.Second)
		require.Len(t, s.runners.FindRunning(), 2)
		s.listAfter = time.Second
		o := s.owner()
		s.leave(o)
		h := s.other(o)
		for s.hosts[h].elect.Owner().Host == o {
			s.wait(20 * time.Millisecond)
		}
		s.wait(200 * time.Millisecond)
		require.NoError(t, s.hosts[h].intake.Cancel(s.t.Context(), jobA, 3*time.Second))
		s.wait(4 * time.Second)
		require.Empty(t, s.runners.FindRunning())
	})
}
