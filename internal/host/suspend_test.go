package host

import (
	"slices"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/stretchr/testify/require"
)

// TestSuspendedHostServesByNoOldConfiguration has a host wake from a suspension that its steady clock did not count: a key
// may have been withdrawn meanwhile.
func TestSuspendedHostServesByNoOldConfiguration(t *testing.T) {
	inSite(t, takes(time.Second), []string{"a", "b"}, func(s *site) {
		s.wait(2 * time.Second)
		_, err := s.hosts["a"].intake.Admit("h", "/urgent/"+jobA, "k")
		require.NoError(t, err)
		s.suspend("a", 20*time.Second)
		_, err = s.hosts["a"].intake.Admit("h", "/urgent/"+jobA, "k")
		require.ErrorAs(t, err, &intake.ErrBusy{})
		require.Error(t, s.hosts["a"].IsReady())
		// The next answered read confirms the configuration.
		s.wait(2 * time.Second)
		_, err = s.hosts["a"].intake.Admit("h", "/urgent/"+jobA, "k")
		require.NoError(t, err)
	})
}

// TestSuspendedOwnerExtendsNoLease has the owner wake after another host may have taken over: until the store has
// confirmed its term again, it neither extends leases nor starts anything.
func TestSuspendedOwnerExtendsNoLease(t *testing.T) {
	inSite(t, takes(8*time.Second), []string{"a"}, func(s *site) {
		s.wait(2 * time.Second)
		require.NoError(t, s.submit("a", jobA, "quiet", tasks(12)))
		s.wait(time.Second)
		s.store.SetSilent("a", true)
		s.suspend("a", 20*time.Second)
		s.wait(1500 * time.Millisecond)
		s.mu.Lock()
		holds := slices.Clone(s.holds)
		s.mu.Unlock()
		require.NotEmpty(t, holds)
		for _, h := range holds {
			require.Zero(t, h.Until, "%+v", h)
		}
		s.store.SetSilent("a", false)
		s.requireEnded(intake.Completed, 30*time.Second)
	})
}
