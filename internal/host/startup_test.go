package host

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/stretchr/testify/require"
)

// TestStartedHostAcceptsNoRevokedKey checks that a host that starts after a key was revoked never accepts the key, from its
// first request on.
func TestStartedHostAcceptsNoRevokedKey(t *testing.T) {
	runInSite(t, runsTaking(time.Second), []string{"a", "b"}, func(s *site) {
		s.advance(2 * time.Second)
		_, err := s.hosts["a"].intake.Admit("h", "/urgent/"+testJobID, "k")
		require.NoError(t, err)
		_, err = s.store.View("operator").Append(s.t.Context(), port.Append{
			Topic: testOperators, Entries: []port.Entry{{Key: "config", Value: []byte("2")}},
		})
		require.NoError(t, err)
		s.kill("a")
		s.start("c")
		for range 300 {
			_, err := s.hosts["c"].intake.Admit("h", "/urgent/"+testJobID, "k")
			require.Error(t, err)
			s.advance(10 * time.Millisecond)
		}
		_, err = s.hosts["c"].intake.Admit("h", "/urgent/"+testJobID, "k")
		require.ErrorIs(t, err, intake.ErrNoKey)
	})
}

// TestNewOwnerUsesNoUnlistedWorker removes a worker from the list while no host owns the jobs. The records still contain
// tasks of that worker, but the next owner must not start tasks on it.
func TestNewOwnerUsesNoUnlistedWorker(t *testing.T) {
	runInSite(t, runsTaking(3*time.Second), []string{"a"}, func(s *site) {
		s.advance(2 * time.Second)
		require.NoError(t, s.submit("a", testJobID, "quiet", taskStep(8)))
		s.advance(500 * time.Millisecond)
		unlisted := s.workers[0]
		before := s.countStarts(unlisted)
		require.Positive(t, before)
		s.kill("a")
		s.workers = s.workers[1:]
		s.start("b")
		s.advance(3 * time.Second)
		require.NoError(t, s.submit("b", "00000000000000ab", "quiet", taskStep(40)))
		s.requireEnded(intake.Completed, 40*time.Second)
		require.Equal(t, before, s.countStarts(unlisted))
	})
}
