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

var three = []string{"a", "b", "c"}

// load hands jobs of all kinds in at all hosts.
func (s *site) load(n int) {
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
			require.NoError(s.t, s.submit(h, id, q, gang(2, 2)))
		case 1:
			require.NoError(s.t, s.submit(h, id, q, tasks(3), tasks(2, 0)))
		case 2:
			require.NoError(s.t, s.submit(h, id, q, gang(2, 1), gang(1, 4), tasks(2, 0, 1)))
		default:
			require.NoError(s.t, s.submit(h, id, q, tasks(5)))
		}
	}
}

func TestCalmSiteRunsEveryJobOnce(t *testing.T) {
	inSite(t, takes(time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		s.load(16)
		s.requireEnded(intake.Completed, 30*time.Second)
	})
}

func TestRepeatedRequestIsOneJob(t *testing.T) {
	inSite(t, takes(time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		for range 3 {
			for _, h := range three {
				require.NoError(t, s.submit(h, "00000000000000aa", "quiet", tasks(2)))
			}
			s.wait(2 * time.Second)
		}
		s.requireEnded(intake.Completed, 10*time.Second)
		require.Equal(t, 2, s.runners.Starts())
	})
}

// TestHostThatReadsTheStoreAnewKeepsEndedJobsEnded repeats a request at a host that has not read of the job, whose end
// is then older than the record of the job.
func TestHostThatReadsTheStoreAnewKeepsEndedJobsEnded(t *testing.T) {
	inSite(t, takes(time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		require.NoError(t, s.submit("a", "00000000000000aa", "quiet", tasks(2)))
		s.requireEnded(intake.Completed, 10*time.Second)
		j := &jobs.Job{ID: "00000000000000aa", Queue: "quiet", Organisation: "Gear", Accepted: time.Now(), Steps: []jobs.Step{tasks(2)}}
		r, err := jobs.JobRecord(j)
		require.NoError(t, err)
		_, err = s.store.View("late").Append(s.t.Context(), port.Append{Topic: jobsTopic, Entries: []port.Entry{{Key: r.Key, Value: r.Value}}})
		require.NoError(t, err)
		for _, h := range three {
			s.kill(h)
		}
		s.start("d")
		s.wait(10 * time.Second)
		s.requireEnded(intake.Completed, 10*time.Second)
		require.Equal(t, 2, s.runners.Starts())
	})
}

func TestTroubleOfTheOwner(t *testing.T) {
	cases := map[string]func(s *site, owner string){
		"killed":             func(s *site, o string) { s.kill(o) },
		"cut from the store": func(s *site, o string) { s.store.SetSilent(o, true) },
		"turned away":        func(s *site, o string) { s.store.SetRefused(o, true) },
		"loses answers":      func(s *site, o string) { s.store.SetLossy(o, true, 0) },
		"writes late":        func(s *site, o string) { s.store.SetLossy(o, true, 2*time.Second) },
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			inSite(t, takes(1500*time.Millisecond), three, func(s *site) {
				s.wait(2 * time.Second)
				s.load(16)
				s.wait(700 * time.Millisecond)
				o := s.owner()
				f(s, o)
				s.wait(6 * time.Second)
				s.store.SetSilent(o, s.hosts[o] == nil)
				s.store.SetRefused(o, false)
				s.store.SetLossy(o, false, 0)
				s.requireEnded(intake.Completed, 60*time.Second)
			})
		})
	}
}

func TestAllHostsLosePower(t *testing.T) {
	inSite(t, takes(1500*time.Millisecond), three, func(s *site) {
		s.wait(2 * time.Second)
		s.load(16)
		s.wait(500 * time.Millisecond)
		for _, h := range three {
			s.kill(h)
		}
		s.wait(time.Second)
		s.start("d")
		s.start("e")
		s.requireEnded(intake.Completed, 60*time.Second)
	})
}

func TestHistoryExpiresUnderTheHosts(t *testing.T) {
	inSite(t, takes(1500*time.Millisecond), three, func(s *site) {
		s.wait(2 * time.Second)
		s.load(16)
		s.wait(600 * time.Millisecond)
		s.store.SetSilent("b", true)
		s.wait(time.Second)
		s.store.Expire(jobsTopic)
		s.store.SetSilent("b", false)
		s.requireEnded(intake.Completed, 60*time.Second)
	})
}

func TestOrdersAreCarriedOutLate(t *testing.T) {
	inSite(t, takes(1500*time.Millisecond), three, func(s *site) {
		s.wait(2 * time.Second)
		s.runners.SetDrop(testWorker(0).Addr, 3*time.Second)
		s.runners.SetDrop(testWorker(3).Addr, 6*time.Second)
		s.load(16)
		s.wait(5 * time.Second)
		s.runners.SetDrop(testWorker(0).Addr, 0)
		s.runners.SetDrop(testWorker(3).Addr, 0)
		s.requireEnded(intake.Completed, 60*time.Second)
	})
}

func TestWorkerStartsAgainUnderItsName(t *testing.T) {
	inSite(t, takes(1500*time.Millisecond), three, func(s *site) {
		s.wait(2 * time.Second)
		s.load(16)
		s.wait(700 * time.Millisecond)
		s.runners.Add(testWorker(1))
		s.wait(700 * time.Millisecond)
		s.runners.Add(testWorker(2))
		s.requireEnded(intake.Completed, 60*time.Second)
	})
}

func TestWorkersCutOffRunOnUntilTheirLeasesEnd(t *testing.T) {
	inSite(t, takes(8*time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		s.load(4)
		s.wait(700 * time.Millisecond)
		s.mu.Lock()
		for _, h := range three {
			s.cut[[2]string{h, "w0"}] = true
			s.cut[[2]string{h, "w1"}] = true
		}
		s.mu.Unlock()
		s.wait(7 * time.Second)
		s.mu.Lock()
		clear(s.cut)
		s.mu.Unlock()
		s.requireEnded(intake.Completed, 90*time.Second)
	})
}

// failing fails each run of task 0, after a while.
func failing(r port.RunRef) standin.RunFate {
	if r.Task == 0 {
		return standin.RunFate{Work: 300 * time.Millisecond, Result: jobs.FailedRun}
	}
	return standin.RunFate{Work: 2 * time.Second, Result: jobs.Done}
}

// TestFailingTaskIsTriedAsOftenAsItsQueueAllows has the owner replaced while a task fails again and again.
func TestFailingTaskIsTriedAsOftenAsItsQueueAllows(t *testing.T) {
	for _, step := range []jobs.Step{gang(3, 2), tasks(3)} {
		for _, at := range []time.Duration{200, 350, 500, 650, 800, 950, 1100, 1300} {
			t.Run(fmt.Sprintf("gang %v owner lost at %d ms", step.Gang, at), func(t *testing.T) {
				failed := 0
				plan := func(r port.RunRef, _ string) standin.RunFate {
					if r.Task == 0 {
						failed++
					}
					x := failing(r)
					if step.Gang {
						x.Gang = step.Tasks
					}
					return x
				}
				inSite(t, plan, three, func(s *site) {
					s.wait(2 * time.Second)
					require.NoError(t, s.submit("a", "00000000000000aa", "quiet", step))
					s.wait(at * time.Millisecond)
					s.kill(s.owner())
					s.requireEnded(intake.Failed, 60*time.Second)
					require.LessOrEqual(t, failed, attempts+1, "one run may be lost with the owner's last start")
				})
			})
		}
	}
}

func TestCancelStopsAJob(t *testing.T) {
	inSite(t, takes(30*time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		require.NoError(t, s.submit("a", "00000000000000aa", "quiet", tasks(4)))
		s.wait(time.Second)
		require.NoError(t, s.hosts["b"].intake.Cancel(s.t.Context(), "00000000000000aa", 3*time.Second))
		s.requireEnded(intake.Cancelled, time.Second)
		s.wait(time.Second)
		starts := s.runners.Starts()
		s.wait(20 * time.Second)
		require.Equal(t, starts, s.runners.Starts())
	})
}

// TestRefusedRequestNeverRuns has the store turn a host away while a job is handed in there.
func TestRefusedRequestNeverRuns(t *testing.T) {
	inSite(t, takes(time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		s.store.SetRefused("b", true)
		err := s.submit("b", "00000000000000aa", "quiet", tasks(1))
		var busy intake.ErrBusy
		require.ErrorAs(t, err, &busy)
		require.Positive(t, busy.RetryAfter)
		s.store.SetRefused("b", false)
		s.wait(10 * time.Second)
		require.Zero(t, s.runners.Starts())
	})
}

// TestUnansweredRequestIsUnknown has the store do a write and not answer.
func TestUnansweredRequestIsUnknown(t *testing.T) {
	inSite(t, takes(time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		s.store.SetLossy("b", true, 4*time.Second)
		err := s.submit("b", "00000000000000aa", "quiet", tasks(1))
		require.ErrorIs(t, err, intake.ErrOutcomeUnknown)
		s.store.SetLossy("b", false, 0)
		s.ids = []string{"00000000000000aa"}
		s.requireEnded(intake.Completed, 30*time.Second)
		require.Equal(t, 1, s.runners.Starts())
	})
}

// TestEndsOfJobsAreDroppedOnceTold has jobs end in each way and the store keep nothing of them in the end.
func TestEndsOfJobsAreDroppedOnceTold(t *testing.T) {
	inSite(t, takes(3*time.Second), three, func(s *site) {
		s.wait(2 * time.Second)
		s.load(8)
		require.NoError(t, s.submit("a", "00000000000000aa", "quiet", tasks(4)))
		s.wait(500 * time.Millisecond)
		require.NoError(t, s.hosts["b"].intake.Cancel(s.t.Context(), "00000000000000aa", 3*time.Second))
		s.wait(40 * time.Second)
		_, err := s.hosts["c"].intake.GetProgress(s.t.Context(), "00000000000000aa")
		require.NoError(t, err)
		s.wait(80 * time.Second)
		require.Empty(t, s.store.Keys(jobsTopic))
		_, err = s.hosts["c"].intake.GetProgress(s.t.Context(), "00000000000000aa")
		require.ErrorIs(t, err, intake.ErrNoJob)
	})
}

// TestStrongHostsOwnTheJobs has the only strong host start late, and die when it is the owner.
func TestStrongHostsOwnTheJobs(t *testing.T) {
	inSite(t, takes(time.Second), []string{"weak1", "weak2", "strong"}, func(s *site) {
		s.wait(3 * time.Second)
		require.Equal(t, "strong", s.owner())
		s.load(4)
		s.kill("strong")
		s.wait(5 * time.Second)
		require.Contains(t, s.owner(), "weak")
		s.requireEnded(intake.Completed, 20*time.Second)
	})
}
