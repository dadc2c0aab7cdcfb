package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/stretchr/testify/require"
)

// latenesses are the ways in which the record of a job is stored after its caller was told that the outcome is not known.
var latenesses = map[string]func(s *site, host string, is bool){
	"store does not answer": func(s *site, h string, is bool) { s.store.SetUnresponsive(h, is) },
	"append is late":        func(s *site, h string, is bool) { s.store.SetLossy(h, is, 4*time.Second) },
}

// aftermaths are what happens between the answer to a cancel and the record of its job.
var aftermaths = map[string]func(s *site, late string){
	"nothing":     func(*site, string) {},
	"log expires": func(s *site, _ string) { s.store.Expire(jobsTopic) },
	"other hosts restart": func(s *site, late string) {
		for _, n := range s.liveHosts() {
			if n != late {
				s.kill(n)
			}
		}
		s.start("d")
		s.start("e")
	},
}

// TestJobDoesNotRunAfterItsCancelWasAnsweredAsGone guards against a job that runs although its cancel was answered: its record lay in the
// writer of another host then, which stored it later.
func TestJobDoesNotRunAfterItsCancelWasAnsweredAsGone(t *testing.T) {
	for way, set := range latenesses {
		for after, do := range aftermaths {
			t.Run(way+", "+after, func(t *testing.T) {
				runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
					s.advance(2 * time.Second)
					late := s.otherHost(s.owner())
					set(s, late, true)
					require.ErrorIs(s.t, s.submit(late, testJobID, "quiet", taskStep(1)), intake.ErrOutcomeUnknown)
					answering := s.hosts[s.anyOther(late)]
					require.ErrorIs(s.t, answering.intake.Cancel(s.t.Context(), testJobID, 3*time.Second), intake.ErrNoJob)
					do(s, late)
					s.advance(time.Second)
					set(s, late, false)
					s.advance(20 * time.Second)
					require.Zero(s.t, s.runners.Starts())
				})
			})
		}
	}
}

// TestJobThatIsRepeatedAfterItsCancelDoesNotRun guards against a job that runs although its cancel was answered, since a repeat of its
// submission came after that. The job stays visible as cancelled.
func TestJobThatIsRepeatedAfterItsCancelDoesNotRun(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		require.ErrorIs(s.t, s.hosts["a"].intake.Cancel(s.t.Context(), testJobID, 3*time.Second), intake.ErrNoJob)
		s.advance(3 * time.Second)
		for _, h := range threeHosts {
			require.NoError(s.t, s.submit(h, testJobID, "quiet", taskStep(1)))
		}
		s.requireEnded(intake.Cancelled, 5*time.Second)
		s.advance(10 * time.Second)
		require.Zero(s.t, s.runners.Starts())
	})
}

// TestCancelsOfUnknownJobsAreDropped guards against cancels of jobs that nobody submits and that are kept for good, also when owners follow one
// another, and against cancels that are dropped while a record of their job may still come.
func TestCancelsOfUnknownJobsAreDropped(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		for i := range 300 {
			require.ErrorIs(s.t, s.hosts["a"].intake.Cancel(s.t.Context(), fmt.Sprintf("%016x", i), 3*time.Second), intake.ErrNoJob)
		}
		require.Len(s.t, s.store.Keys(jobsTopic), 300)
		s.advance(20 * time.Second)
		s.kill(s.owner())
		s.advance(60 * time.Second)
		require.Len(s.t, s.store.Keys(jobsTopic), 300)
		s.advance(40 * time.Second)
		require.Empty(s.t, s.store.Keys(jobsTopic))
	})
}

// TestLateRecordDoesNotRunEndedJobAgain guards against a job that runs twice: the writer of a host that the store did not serve for long
// stores the job again when the end of the job has been dropped.
func TestLateRecordDoesNotRunEndedJobAgain(t *testing.T) {
	runInSite(t, runsTaking(time.Second), threeHosts, func(s *site) {
		s.advance(2 * time.Second)
		late := s.otherHost(s.owner())
		s.store.SetUnresponsive(late, true)
		require.ErrorIs(s.t, s.submit(late, testJobID, "quiet", taskStep(1)), intake.ErrOutcomeUnknown)
		require.NoError(s.t, s.submit(s.anyOther(late), testJobID, "quiet", taskStep(1)))
		s.advance(90 * time.Second)
		require.Empty(s.t, s.store.Keys(jobsTopic))
		require.Equal(s.t, 1, s.runners.Starts())
		s.store.SetUnresponsive(late, false)
		s.advance(20 * time.Second)
		require.Equal(s.t, 1, s.runners.Starts())
		require.NoError(s.t, s.submit(late, "00000000000000bb", "quiet", taskStep(1)), "the host goes on")
	})
}
