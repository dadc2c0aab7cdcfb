package host

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// submitScheduled submits a job whose steps run at set times.
func (s *site) submitScheduled(host, id string, t jobs.Times, steps ...jobs.Step) error {
	h := s.hosts[host]
	c, err := h.intake.Admit("h", "/urgent/"+id, "k")
	if err != nil {
		return err
	}
	s.ids = append(s.ids, id)
	return h.intake.Submit(s.t.Context(), c, &jobs.Job{ID: id, Spec: id, Steps: steps, Times: &t}, 3*time.Second)
}

// countUnits returns, for each occurrence of a job, how many of its units have ever run according to a host.
func (s *site) countUnits(host, id string) map[int]int {
	out := map[int]int{}
	s.hosts[host].table.View(id, func(j *jobs.Job) {
		for _, u := range j.FindUnits() {
			out[u.Key.Occurrence]++
		}
	})
	return out
}

// TestOccurrencesStartWhenDue runs two overlapping occurrences of a job with two steps, with a failover between their
// starts.
func TestOccurrencesStartWhenDue(t *testing.T) {
	runInSite(t, runsTaking(3*time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		now := time.Now()
		x := jobs.Times{Count: 2, First: now.Add(4 * time.Second), Every: 2 * time.Second}
		require.NoError(t, s.submitScheduled("a", testJobID, x, taskStep(2), taskStep(1, 0)))
		s.advance(3900 * time.Millisecond)
		require.Zero(t, s.runners.Starts())
		s.advance(600 * time.Millisecond)
		require.Equal(t, 2, s.runners.Starts())
		s.kill(s.owner())
		s.advance(4 * time.Second)
		require.Equal(t, 2, s.countUnits(s.liveHosts()[0], testJobID)[1], "second occurrence has not begun")
		s.requireEnded(intake.Completed, 30*time.Second)
		require.Equal(t, 6, s.runners.Starts())
	})
}

// TestScheduledJobEndsAfterLastOccurrence checks that a job does not end while an occurrence is still due.
func TestScheduledJobEndsAfterLastOccurrence(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		x := jobs.Times{Count: 3, First: time.Now(), Every: 5 * time.Second}
		require.NoError(t, s.submitScheduled("b", testJobID, x, gangStep(2, 1)))
		s.advance(9 * time.Second)
		p, err := s.hosts["c"].intake.GetProgress(s.t.Context(), testJobID)
		require.NoError(t, err)
		require.Equal(t, intake.Running, p)
		s.requireEnded(intake.Completed, 10*time.Second)
	})
}

// TestLastingTasksAreRestarted checks that lasting tasks are restarted beyond the attempt limit of other tasks, until the job is
// cancelled.
func TestLastingTasksAreRestarted(t *testing.T) {
	plan := func(port.RunRef, string) standin.RunOutcome {
		return standin.RunOutcome{Work: 2 * time.Second, Result: jobs.FailedRun}
	}
	runInSite(t, plan, threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		x := taskStep(2)
		x.Lasts, x.MayMiss = true, 1
		require.NoError(t, s.submit("a", testJobID, "quiet", x))
		s.runners.SetAttempts(0)
		s.advance(30 * time.Second)
		require.Greater(t, s.runners.Starts(), 2*maxAttempts+2)
		p, err := s.hosts["b"].intake.GetProgress(s.t.Context(), testJobID)
		require.NoError(t, err)
		require.Equal(t, intake.Running, p)
		require.NoError(t, s.hosts["b"].intake.Cancel(s.t.Context(), testJobID, 3*time.Second))
		s.requireEnded(intake.Cancelled, 5*time.Second)
		starts := s.runners.Starts()
		s.advance(10 * time.Second)
		require.Equal(t, starts, s.runners.Starts())
	})
}

// TestFirmTasksAreNotPreempted fills almost all workers with lasting tasks of which at most one may be missing.
// An urgent gang that does not fit beside them must wait until their job is cancelled.
func TestFirmTasksAreNotPreempted(t *testing.T) {
	runInSite(t, runsTaking(time.Hour), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		x := taskStep(46)
		x.Lasts, x.MayMiss = true, 1
		require.NoError(t, s.submit("a", testJobID, "quiet", x))
		s.advance(3 * time.Second)
		require.NoError(t, s.submit("a", "00000000000000bb", "urgent", gangStep(4, 1)))
		s.advance(5 * time.Second)
		require.Equal(t, 46, s.runners.Starts())
		require.NoError(t, s.hosts["b"].intake.Cancel(s.t.Context(), testJobID, 3*time.Second))
		s.advance(3 * time.Second)
		require.Equal(t, 50, s.runners.Starts())
	})
}
