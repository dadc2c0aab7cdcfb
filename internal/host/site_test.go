package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

var threeHosts = []string{"a", "b", "c"}

// submitMixedJobs submits n jobs of different kinds at all hosts in turn.
func (s *site) submitMixedJobs(n int) {
	s.t.Helper()
	names := make([]string, 0, len(s.hosts))
	for h := range s.hosts {
		names = append(names, h)
	}
	for i := range n {
		id := fmt.Sprintf("%016x", i)
		h := names[i%len(names)]
		q := "quiet"
		if i%3 == 0 {
			q = "urgent"
		}
		switch i % 4 {
		case 0:
			require.NoError(s.t, s.submit(h, id, q, gangStep(2, 2)))
		case 1:
			require.NoError(s.t, s.submit(h, id, q, taskStep(3), taskStep(2, 0)))
		case 2:
			require.NoError(s.t, s.submit(h, id, q, gangStep(2, 1), gangStep(1, 4), taskStep(2, 0, 1)))
		default:
			require.NoError(s.t, s.submit(h, id, q, taskStep(5)))
		}
	}
}

func TestEveryJobRunsOnceWithoutFaults(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		s.submitMixedJobs(16)
		s.requireEnded(intake.Completed, 30*time.Second)
	})
}

func TestRepeatedRequestIsOneJob(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		for range 3 {
			for _, h := range threeHosts {
				require.NoError(t, s.submit(h, "00000000000000aa", "quiet", taskStep(2)))
			}
			s.advance(2 * time.Second)
		}
		s.requireEnded(intake.Completed, 10*time.Second)
		require.Equal(t, 2, s.runners.Starts())
	})
}

// TestRestartedHostKeepsEndedJobsEnded guards against restarting ended jobs. A host that has not yet read the
// record of a job stores the job again, so that the record of the job's end is older than the second record of the job.
func TestRestartedHostKeepsEndedJobsEnded(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		require.NoError(t, s.submit("a", "00000000000000aa", "quiet", taskStep(2)))
		s.requireEnded(intake.Completed, 10*time.Second)
		j := &jobs.Job{ID: "00000000000000aa", Queue: "quiet", Organisation: "Gear", Accepted: time.Now(), Steps: []jobs.Step{taskStep(2)}}
		r, err := jobs.JobRecord(j)
		require.NoError(t, err)
		_, err = s.store.View("late").Append(s.t.Context(), port.Append{Topic: jobsTopic, Entries: []port.Entry{{Key: r.Key, Value: r.Value}}})
		require.NoError(t, err)
		for _, h := range threeHosts {
			s.kill(h)
		}
		s.start("d")
		s.advance(10 * time.Second)
		s.requireEnded(intake.Completed, 10*time.Second)
		require.Equal(t, 2, s.runners.Starts())
	})
}

func TestOwnerFaults(t *testing.T) {
	cases := map[string]func(s *site, owner string){
		"killed":               func(s *site, o string) { s.kill(o) },
		"cut from the store":   func(s *site, o string) { s.store.SetUnresponsive(o, true) },
		"refused by the store": func(s *site, o string) { s.store.SetRejected(o, true) },
		"loses answers":        func(s *site, o string) { s.store.SetLossy(o, true, 0) },
		"writes late":          func(s *site, o string) { s.store.SetLossy(o, true, 2*time.Second) },
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			runInSite(t, runsTaking(1500*time.Millisecond), threeHosts, func(s *site) {
				s.advance(2 * time.Second)
				s.submitMixedJobs(16)
				s.advance(700 * time.Millisecond)
				o := s.owner()
				f(s, o)
				s.advance(6 * time.Second)
				s.store.SetUnresponsive(o, s.hosts[o] == nil)
				s.store.SetRejected(o, false)
				s.store.SetLossy(o, false, 0)
				s.requireEnded(intake.Completed, 60*time.Second)
			})
		})
	}
}

func TestJobsSurviveCrashOfAllHosts(t *testing.T) {
	runInSite(t, runsTaking(1500*time.Millisecond), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		s.submitMixedJobs(16)
		s.advance(500 * time.Millisecond)
		for _, h := range threeHosts {
			s.kill(h)
		}
		s.advance(time.Second)
		s.start("d")
		s.start("e")
		s.requireEnded(intake.Completed, 60*time.Second)
	})
}

func TestStoreHistoryExpiresDuringOutageOfHost(t *testing.T) {
	runInSite(t, runsTaking(1500*time.Millisecond), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		s.submitMixedJobs(16)
		s.advance(600 * time.Millisecond)
		s.store.SetUnresponsive("b", true)
		s.advance(time.Second)
		s.store.Expire(jobsTopic)
		s.store.SetUnresponsive("b", false)
		s.requireEnded(intake.Completed, 60*time.Second)
	})
}

func TestLateExecutionOfWorkerCalls(t *testing.T) {
	runInSite(t, runsTaking(1500*time.Millisecond), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		s.runners.SetCommandDelay(testWorker(0).Addr, 3*time.Second)
		s.runners.SetCommandDelay(testWorker(3).Addr, 6*time.Second)
		s.submitMixedJobs(16)
		s.advance(5 * time.Second)
		s.runners.SetCommandDelay(testWorker(0).Addr, 0)
		s.runners.SetCommandDelay(testWorker(3).Addr, 0)
		s.requireEnded(intake.Completed, 60*time.Second)
	})
}

func TestWorkerRestartsUnderSameName(t *testing.T) {
	runInSite(t, runsTaking(1500*time.Millisecond), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		s.submitMixedJobs(16)
		s.advance(700 * time.Millisecond)
		s.runners.Add(testWorker(1))
		s.advance(700 * time.Millisecond)
		s.runners.Add(testWorker(2))
		s.requireEnded(intake.Completed, 60*time.Second)
	})
}

func TestPartitionedWorkersRunUntilLeaseExpiry(t *testing.T) {
	runInSite(t, runsTaking(8*time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		s.submitMixedJobs(4)
		s.advance(700 * time.Millisecond)
		s.mu.Lock()
		for _, h := range threeHosts {
			s.cut[[2]string{h, "w0"}] = true
			s.cut[[2]string{h, "w1"}] = true
		}
		s.mu.Unlock()
		s.advance(7 * time.Second)
		s.mu.Lock()
		clear(s.cut)
		s.mu.Unlock()
		s.requireEnded(intake.Completed, 90*time.Second)
	})
}

// failTaskZero makes each run of task 0 fail after 300 ms.
func failTaskZero(r port.RunRef) standin.RunOutcome {
	if r.Task == 0 {
		return standin.RunOutcome{Work: 300 * time.Millisecond, Result: jobs.FailedRun}
	}
	return standin.RunOutcome{Work: 2 * time.Second, Result: jobs.Done}
}

// TestFailingTaskHonoursAttemptLimit checks the attempt limit when the owner fails while a task fails repeatedly.
func TestFailingTaskHonoursAttemptLimit(t *testing.T) {
	for _, step := range []jobs.Step{gangStep(3, 2), taskStep(3)} {
		for _, at := range []time.Duration{200, 350, 500, 650, 800, 950, 1100, 1300} {
			t.Run(fmt.Sprintf("gang %v owner lost at %d ms", step.Gang, at), func(t *testing.T) {
				failed := 0
				plan := func(r port.RunRef, _ string) standin.RunOutcome {
					if r.Task == 0 {
						failed++
					}
					x := failTaskZero(r)
					if step.Gang {
						x.Gang = step.Tasks
					}
					return x
				}
				runInSite(t, plan, threeHosts, func(s *site) {
					s.advance(2 * time.Second)
					require.NoError(t, s.submit("a", "00000000000000aa", "quiet", step))
					s.advance(at * time.Millisecond)
					s.kill(s.owner())
					s.requireEnded(intake.Failed, 60*time.Second)
					require.LessOrEqual(t, failed, maxAttempts+1, "one run may be lost with the owner's last start")
				})
			})
		}
	}
}

func TestCancelStopsJob(t *testing.T) {
	runInSite(t, runsTaking(30*time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		require.NoError(t, s.submit("a", "00000000000000aa", "quiet", taskStep(4)))
		s.advance(time.Second)
		require.NoError(t, s.hosts["b"].intake.Cancel(s.t.Context(), "00000000000000aa", 3*time.Second))
		s.requireEnded(intake.Cancelled, time.Second)
		s.advance(time.Second)
		starts := s.runners.Starts()
		s.advance(20 * time.Second)
		require.Equal(t, starts, s.runners.Starts())
	})
}

// TestRefusedRequestNeverRuns submits a job at a host that the store refuses.
func TestRefusedRequestNeverRuns(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		s.store.SetRejected("b", true)
		err := s.submit("b", "00000000000000aa", "quiet", taskStep(1))
		var busy intake.ErrBusy
		require.ErrorAs(t, err, &busy)
		require.Positive(t, busy.RetryAfter)
		s.store.SetRejected("b", false)
		s.advance(10 * time.Second)
		require.Zero(t, s.runners.Starts())
	})
}

// TestUnansweredWriteIsUnknown submits a job at a host whose write succeeds but is not answered by the store.
func TestUnansweredWriteIsUnknown(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		s.store.SetLossy("b", true, 4*time.Second)
		err := s.submit("b", "00000000000000aa", "quiet", taskStep(1))
		require.ErrorIs(t, err, intake.ErrOutcomeUnknown)
		s.store.SetLossy("b", false, 0)
		s.ids = []string{"00000000000000aa"}
		s.requireEnded(intake.Completed, 30*time.Second)
		require.Equal(t, 1, s.runners.Starts())
	})
}

// TestEndedJobsAreDeletedAfterRetention checks that the store keeps no record of completed and cancelled jobs after the retention
// time of ended jobs.
func TestEndedJobsAreDeletedAfterRetention(t *testing.T) {
	runInSite(t, runsTaking(3*time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		s.submitMixedJobs(8)
		require.NoError(t, s.submit("a", "00000000000000aa", "quiet", taskStep(4)))
		s.advance(500 * time.Millisecond)
		require.NoError(t, s.hosts["b"].intake.Cancel(s.t.Context(), "00000000000000aa", 3*time.Second))
		s.advance(40 * time.Second)
		_, err := s.hosts["c"].intake.GetProgress(s.t.Context(), "00000000000000aa")
		require.NoError(t, err)
		s.advance(80 * time.Second)
		require.Empty(t, s.store.Keys(jobsTopic))
		_, err = s.hosts["c"].intake.GetProgress(s.t.Context(), "00000000000000aa")
		require.ErrorIs(t, err, intake.ErrNoJob)
	})
}

// TestStrongerHostBecomesOwner checks that the only host with a large processor share becomes the owner although it starts last,
// and that another host takes over when it fails.
func TestStrongerHostBecomesOwner(t *testing.T) {
	runInSite(t, runsTaking(time.Second), []string{"weak1", "weak2", "strong"}, func(s *site) {
		s.advance(3 * time.Second)
		require.Equal(t, "strong", s.owner())
		s.submitMixedJobs(4)
		s.kill("strong")
		s.advance(5 * time.Second)
		require.Contains(t, s.owner(), "weak")
		s.requireEnded(intake.Completed, 20*time.Second)
	})
}
