package host

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/stretchr/testify/require"
)

// TestRestartedHostTakesNoWithdrawnKey has hosts start after a key was withdrawn, while one that served it is still there: it is
// never served again, from the first moment on.
func TestRestartedHostTakesNoWithdrawnKey(t *testing.T) {
	inSite(t, takes(time.Second), []string{"a", "b"}, func(s *site) {
		s.wait(2 * time.Second)
		_, err := s.hosts["a"].intake.Admit("h", "/urgent/"+jobA, "k")
		require.NoError(t, err)
		_, err = s.store.View("operator").Append(s.t.Context(), port.Append{
			Topic: testOperators, Entries: []port.Entry{{Key: "config", Value: []byte("2")}},
		})
		require.NoError(t, err)
		s.kill("a")
		s.start("c")
		for range 300 {
			_, err := s.hosts["c"].intake.Admit("h", "/urgent/"+jobA, "k")
			require.Error(t, err)
			s.wait(10 * time.Millisecond)
		}
		_, err = s.hosts["c"].intake.Admit("h", "/urgent/"+jobA, "k")
		require.ErrorIs(t, err, intake.ErrNoKey)
	})
}

// TestNewOwnerUsesNoWorkerThatHasLeft has a worker leave while nobody owns the jobs, though records still tell of a task there.
func TestNewOwnerUsesNoWorkerThatHasLeft(t *testing.T) {
	inSite(t, takes(3*time.Second), []string{"a"}, func(s *site) {
		s.wait(2 * time.Second)
		require.NoError(t, s.submit("a", jobA, "quiet", tasks(8)))
		s.wait(500 * time.Millisecond)
		left := s.workers[0]
		before := s.countStarts(left)
		require.Positive(t, before)
		s.kill("a")
		s.workers = s.workers[1:]
		s.start("b")
		s.wait(3 * time.Second)
		require.NoError(t, s.submit("b", "00000000000000ab", "quiet", tasks(40)))
		s.requireEnded(intake.Completed, 40*time.Second)
		require.Equal(t, before, s.countStarts(left))
	})
}
