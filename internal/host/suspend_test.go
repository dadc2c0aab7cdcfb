package host

import (
	"slices"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/stretchr/testify/require"
)

// TestSuspendedHostRefusesStaleConfiguration guards against serving revoked keys after a suspension that the monotonic clock
// did not count.
func TestSuspendedHostRefusesStaleConfiguration(t *testing.T) {
	runInSite(t, runsTaking(time.Second), []string{"a", "b"}, func(s *site) {
		s.advance(2 * time.Second)
		_, err := s.hosts["a"].intake.Admit("h", "/urgent/"+testJobID, "k")
		require.NoError(t, err)
		s.suspend("a", 20*time.Second)
		_, err = s.hosts["a"].intake.Admit("h", "/urgent/"+testJobID, "k")
		require.ErrorAs(t, err, &intake.ErrBusy{})
		require.Error(t, s.hosts["a"].CheckReady())
		// The next successful read confirms the configuration.
		s.advance(2 * time.Second)
		_, err = s.hosts["a"].intake.Admit("h", "/urgent/"+testJobID, "k")
		require.NoError(t, err)
	})
}

// TestSuspendedOwnerRenewsNoLease guards against two active owners. The owner resumes when another host may have taken over,
// so it must not extend leases or start tasks until the store has confirmed its term again.
func TestSuspendedOwnerRenewsNoLease(t *testing.T) {
	runInSite(t, runsTaking(8*time.Second), []string{"a"}, func(s *site) {
		s.advance(2 * time.Second)
		require.NoError(t, s.submit("a", testJobID, "quiet", taskStep(12)))
		s.advance(time.Second)
		s.store.SetUnresponsive("a", true)
		s.suspend("a", 20*time.Second)
		s.advance(1500 * time.Millisecond)
		s.mu.Lock()
		holds := slices.Clone(s.holds)
		s.mu.Unlock()
		require.NotEmpty(t, holds)
		for _, h := range holds {
			require.Zero(t, h.Until, "%+v", h)
		}
		s.store.SetUnresponsive("a", false)
		s.requireEnded(intake.Completed, 30*time.Second)
	})
}
