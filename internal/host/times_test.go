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

// submitAt hands a job in whose steps run at set times.
func (s *site) submitAt(host, id string, t jobs.Times, steps ...jobs.Step) error {
	h := s.hosts[host]
	c, err := h.intake.Admit("h", "/urgent/"+id, "k")
	if err != nil {
		return err
	}
	s.ids = append(s.ids, id)
	return h.intake.Submit(s.t.Context(), c, &jobs.Job{ID: id, Spec: id, Steps: steps, Times: &t}, 3*time.Second)
}

// unitsOf counts the units of a job that have ever run, by occurrence, as a host knows them.
func (s *site) unitsOf(host, id string) map[int]int {
	out := map[int]int{}
	s.hosts[host].table.View(id, func(j *jobs.Job) {
		for _, u := range j.FindUnits() {
			out[u.Key.Occurrence]++
		}
	})
	return out
}

// TestOccurrencesStartWhenTheyAreDue has two occurrences of a job of two steps that overlap, and the owner die between.
func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	inSite(t, takes(3*time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		now := time.Now()
		x := jobs.Times{Count: 2, First: now.Add(4 * time.Second), Every: 2 * time.Second}
		require.NoError(t, s.submitAt("a", jobA, x, tasks(2), tasks(1, 0)))
		s.wait(3900 * time.Millisecond)
		require.Zero(t, s.runners.Starts())
		s.wait(600 * time.Millisecond)
		require.Equal(t, 2, s.runners.Starts())
		s.kill(s.owner())
		s.wait(4 * time.Second)
		require.Equal(t, 2, s.unitsOf(s.live()[0], jobA)[1], "second occurrence has not begun")
		s.requireEnded(intake.Completed, 30*time.Second)
		require.Equal(t, 6, s.runners.Starts())
	})
}

// TestJobWithTimesIsNotDoneBeforeTheLast wants no end of a job while an occurrence is to come.
func TestJobWithTimesIsNotDoneBeforeTheLast(t *testing.T) {
	inSite(t, takes(time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		x := jobs.Times{Count: 3, First: time.Now(), Every: 5 * time.Second}
		require.NoError(t, s.submitAt("b", jobA, x, gang(2, 1)))
		s.wait(9 * time.Second)
		p, err := s.hosts["c"].intake.GetProgress(s.t.Context(), jobA)
		require.NoError(t, err)
		require.Equal(t, intake.Running, p)
		s.requireEnded(intake.Completed, 10*time.Second)
	})
}

// TestTasksThatLastRunAgain has tasks that last fail beyond the attempts that other work has, until the job is cancelled.
func TestTasksThatLastRunAgain(t *testing.T) {
	plan := func(port.RunRef, string) standin.RunFate {
		return standin.RunFate{Work: 2 * time.Second, Result: jobs.FailedRun}
	}
	inSite(t, plan, three, func(s *site) {
		s.wait(2 * time.Second)
		x := tasks(2)
		x.Lasts, x.MayMiss = true, 1
		require.NoError(t, s.submit("a", jobA, "quiet", x))
		s.runners.SetAttempts(0)
		s.wait(30 * time.Second)
		require.Greater(t, s.runners.Starts(), 2*attempts+2)
		p, err := s.hosts["b"].intake.GetProgress(s.t.Context(), jobA)
		require.NoError(t, err)
		require.Equal(t, intake.Running, p)
		require.NoError(t, s.hosts["b"].intake.Cancel(s.t.Context(), jobA, 3*time.Second))
		s.requireEnded(intake.Cancelled, 5*time.Second)
		starts := s.runners.Starts()
		s.wait(10 * time.Second)
		require.Equal(t, starts, s.runners.Starts())
	})
}

// TestFirmTasksAreNotStoppedForUrgentWork fills all workers with tasks that last and may not be missed.
func TestFirmTasksAreNotStoppedForUrgentWork(t *testing.T) {
	inSite(t, takes(time.Hour), three, func(s *site) {
		s.wait(2 * time.Second)
		x := tasks(46)
		x.Lasts, x.MayMiss = true, 1
		require.NoError(t, s.submit("a", jobA, "quiet", x))
		s.wait(3 * time.Second)
		require.NoError(t, s.submit("a", "00000000000000bb", "urgent", gang(4, 1)))
		s.wait(5 * time.Second)
		require.Equal(t, 46, s.runners.Starts())
		require.NoError(t, s.hosts["b"].intake.Cancel(s.t.Context(), jobA, 3*time.Second))
		s.wait(3 * time.Second)
		require.Equal(t, 50, s.runners.Starts())
	})
}
