package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
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

// TestCancelsOfUnknownJobsAreBounded guards against callers who cancel jobs that do not exist until no host has memory left, and against a
// bound that turns cancels of accepted jobs away.
func TestCancelsOfUnknownJobsAreBounded(t *testing.T) {
	inHosts(t, func(t *testing.T, _ *standin.Store, a, b entry) {
		for i := range maxKeptCancels {
			require.NoError(t, b.table.Apply(int64(-1-i), jobs.CancelRecord(fmt.Sprintf("%016x", i))))
		}
		var busy ErrBusy
		require.ErrorAs(t, b.intake.Cancel(t.Context(), testID, testTimeout), &busy)
		require.True(t, busy.IsFull)
		require.Positive(t, busy.RetryAfter)
		require.NoError(t, a.submit(t.Context()))
		require.NoError(t, b.intake.Cancel(t.Context(), testID, testTimeout))
		require.NoError(t, b.table.Apply(100, jobs.CancelTombstone(fmt.Sprintf("%016x", 1))))
		require.NoError(t, b.table.Apply(101, jobs.CancelTombstone(fmt.Sprintf("%016x", 2))))
		require.ErrorIs(t, b.intake.Cancel(t.Context(), "00000000000000bb", testTimeout), ErrNoJob)
	})
}

// TestCancelOfJobStoredBeforeItIsAnsweredAsDone guards against a cancel that is answered as gone though its job was stored before it.
func TestCancelOfJobStoredBeforeItIsAnsweredAsDone(t *testing.T) {
	inHosts(t, func(t *testing.T, s *standin.Store, a, b entry) {
		s.SetLossy("a", true, 25*time.Millisecond)
		go func() { _ = a.submit(t.Context()) }()
		time.Sleep(20 * time.Millisecond)
		s.SetDelay(10 * time.Millisecond)
		require.NoError(t, b.intake.Cancel(t.Context(), testID, testTimeout))
		s.SetLossy("a", false, 0)
		time.Sleep(testTimeout)
		require.False(t, a.has())
	})
}

// TestCancelAtHostOfLateRecordHolds guards against a cancel that is lost at the host whose writer still repeats the record of the job: it comes
// when the store answers again, before the next attempt of the writer or after it.
func TestCancelAtHostOfLateRecordHolds(t *testing.T) {
	const shortTimeout = 900 * time.Millisecond
	for gap := time.Duration(0); gap < 700*time.Millisecond; gap += 50 * time.Millisecond {
		t.Run(gap.String(), func(t *testing.T) {
			inHosts(t, func(t *testing.T, s *standin.Store, a, b entry) {
				s.SetUnresponsive("a", true)
				err := a.intake.Submit(t.Context(), testCaller, &jobs.Job{ID: testID, Steps: []jobs.Step{{Tasks: 1}}}, shortTimeout)
				require.ErrorIs(t, err, ErrOutcomeUnknown)
				time.Sleep(500 * time.Millisecond)
				s.SetUnresponsive("a", false)
				time.Sleep(gap)
				var busy ErrBusy
				for err = a.intake.Cancel(t.Context(), testID, testTimeout); errors.As(err, &busy); err = a.intake.Cancel(t.Context(), testID, testTimeout) {
					time.Sleep(20 * time.Millisecond)
				}
				if err != nil {
					require.ErrorIs(t, err, ErrNoJob)
				}
				time.Sleep(2 * time.Second)
				require.False(t, a.has())
				require.False(t, b.has())
			})
		})
	}
}
