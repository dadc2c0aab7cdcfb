package intake

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/stretchr/testify/require"
)

// TestCancelOfUnreadJobIsNotAnsweredGone guards against a cancel that is lost: a host that has not read an accepted job, as the store does
// not serve it just then, must not tell the caller that there is no such job.
func TestCancelOfUnreadJobIsNotAnsweredGone(t *testing.T) {
	for name, set := range map[string]func(s *standin.Store, is bool){
		"hangs":   func(s *standin.Store, is bool) { s.SetUnresponsive("b", is) },
		"refuses": func(s *standin.Store, is bool) { s.SetRejected("b", is) },
	} {
		t.Run(name, func(t *testing.T) {
			inHosts(t, func(t *testing.T, s *standin.Store, a, b entry) {
				set(s, true)
				require.NoError(t, a.submit(t.Context()))
				var busy ErrBusy
				begin := time.Now()
				err := b.intake.Cancel(t.Context(), testID, testTimeout)
				require.ErrorAs(t, err, &busy)
				require.Positive(t, busy.RetryAfter)
				require.Less(t, time.Since(begin), testTimeout-replyMargin)
				set(s, false)
				require.NoError(t, b.intake.Cancel(t.Context(), testID, testTimeout))
				time.Sleep(time.Second)
				p, err := a.intake.GetProgress(t.Context(), testID)
				require.NoError(t, err)
				require.Equal(t, Cancelled, p)
			})
		})
	}
}

// TestCancelOfUnknownJobIsAnsweredGone guards against a cancel of a job that does not exist and is refused for ever, or answered late: the
// host asks the store where its records end, whatever it is just reading.
func TestCancelOfUnknownJobIsAnsweredGone(t *testing.T) {
	inHosts(t, func(t *testing.T, s *standin.Store, _, b entry) {
		for range 20 {
			begin := time.Now()
			require.ErrorIs(t, b.intake.Cancel(t.Context(), testID, testTimeout), ErrNoJob)
			require.Less(t, time.Since(begin), 300*time.Millisecond)
			time.Sleep(70 * time.Millisecond)
		}
		s.SetDelay(200 * time.Millisecond)
		require.ErrorIs(t, b.intake.Cancel(t.Context(), testID, testTimeout), ErrNoJob)
	})
}

// TestCancelFindsJobAcceptedElsewhere guards against a cancel that is answered as gone because the host is between two reads.
func TestCancelFindsJobAcceptedElsewhere(t *testing.T) {
	inHosts(t, func(t *testing.T, _ *standin.Store, a, b entry) {
		b.intake.follower.SetReadInterval(time.Minute)
		time.Sleep(2 * time.Second)
		require.NoError(t, a.submit(t.Context()))
		require.NoError(t, b.intake.Cancel(t.Context(), testID, testTimeout))
	})
}

// TestCancelIsAnsweredWithinShortTimeout guards against a cancel whose caller has left before it hears that it may repeat it.
func TestCancelIsAnsweredWithinShortTimeout(t *testing.T) {
	const timeout = 500 * time.Millisecond
	inHosts(t, func(t *testing.T, s *standin.Store, _, b entry) {
		s.SetUnresponsive("b", true)
		var busy ErrBusy
		begin := time.Now()
		require.ErrorAs(t, b.intake.Cancel(t.Context(), testID, timeout), &busy)
		require.LessOrEqual(t, time.Since(begin), timeout-replyMargin)
	})
}
