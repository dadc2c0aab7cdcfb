package feed

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/stretchr/testify/require"
)

// TestWriterEndsRefusedBatchOnce guards against a second call of Done. The writer ends while the store refuses a batch, which
// is then back in the queue.
func TestWriterEndsRefusedBatchOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := port.Store{Append: func(context.Context, port.Append) (port.Appended, error) {
			return port.Appended{}, port.ErrNotExecuted
		}}
		w := NewWriter(s, port.Topic{Name: "t", IsKeyed: true}, "p", 1, clock.System(), slog.New(slog.DiscardHandler))
		var calls atomic.Int32
		w.Submit(&EntryGroup{Entries: []port.Entry{{Key: "k"}}, Done: func(_ int64, err error) {
			require.Error(t, err)
			calls.Add(1)
		}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		synctest.Wait()
		cancel()
		require.NoError(t, <-done)
		require.EqualValues(t, 1, calls.Load())
	})
}

// TestWriterKnowsOffsetsOfRepeatedAppends guards against a record that is applied at a wrong offset, so that a later one of its key
// counts as older: appends without an answer are repeated, and the first attempts take effect before, between or after them.
func TestWriterKnowsOffsetsOfRepeatedAppends(t *testing.T) {
	for _, delay := range []time.Duration{0, 30 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				topic := port.Topic{Name: "t", IsKeyed: true}
				s := standin.NewStore(clock.System(), 2*time.Millisecond)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				var mu sync.Mutex
				offsets := map[string]int64{}
				for _, name := range []string{"a", "b"} {
					w := NewWriter(s.View(name), topic, name, 1, clock.System(), slog.New(slog.DiscardHandler))
					wg.Go(func() { _ = w.Run(ctx) })
					for i := range 200 {
						k := fmt.Sprintf("%s/%d", name, i)
						s.SetLossy(name, i%3 == 0, delay)
						w.Submit(&EntryGroup{Entries: []port.Entry{{Key: k, Value: []byte("1")}}, Done: func(first int64, err error) {
							require.NoError(t, err)
							mu.Lock()
							defer mu.Unlock()
							offsets[k] = first
						}})
						time.Sleep(time.Duration(i%7) * 5 * time.Millisecond)
					}
					s.SetLossy(name, false, 0)
				}
				time.Sleep(2 * time.Second)
				cancel()
				wg.Wait()
				p, err := s.View("c").Read(t.Context(), topic, 0, 0)
				require.NoError(t, err)
				require.Len(t, p.Entries, 400)
				for _, e := range p.Entries {
					require.Equal(t, e.Offset, offsets[e.Key], e.Key)
				}
			})
		})
	}
}

// runWriter runs f in a synctest bubble with a writer of the host "a".
func runWriter(t *testing.T, f func(t *testing.T, s *standin.Store, w *Writer), opts ...WriterOption) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore(clock.System(), 2*time.Millisecond)
		w := NewWriter(s.View("a"), port.Topic{Name: "t", IsKeyed: true}, "a", 1, clock.System(), slog.New(slog.DiscardHandler), opts...)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		f(t, s, w)
		cancel()
		require.NoError(t, <-done)
	})
}

// entryOf returns a group of one entry whose outcome is sent to a channel.
func entryOf(key string) (*EntryGroup, chan error) {
	c := make(chan error, 2)
	return &EntryGroup{Entries: []port.Entry{{Key: key, Value: []byte("1")}}, Done: func(_ int64, err error) { c <- err }}, c
}

// waitForOutcome returns the outcome of a group.
func waitForOutcome(t *testing.T, c chan error) error {
	t.Helper()
	select {
	case err := <-c:
		return err
	case <-time.After(time.Minute):
		require.Fail(t, "group has no outcome")
		return nil
	}
}

// TestWriterStoresNothingThatItHasGivenUp guards against a record that is stored long after all that it could meet has been dropped: its append
// was not answered, or comes late, and the writer repeats it for as long as the host is cut off.
func TestWriterStoresNothingThatItHasGivenUp(t *testing.T) {
	const maxAge = 5 * time.Second
	cases := map[string]func(s *standin.Store, is bool){
		"no answer":      func(s *standin.Store, is bool) { s.SetUnresponsive("a", is) },
		"appended late":  func(s *standin.Store, is bool) { s.SetLossy("a", is, 20*time.Second) },
		"refused lastly": func(s *standin.Store, is bool) { s.SetUnresponsive("a", is) },
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			runWriter(t, func(t *testing.T, s *standin.Store, w *Writer) {
				topic := port.Topic{Name: "t", IsKeyed: true}
				set(s, true)
				old, outcome := entryOf("old")
				w.Submit(old)
				time.Sleep(maxAge - time.Second)
				young, later := entryOf("young")
				w.Submit(young)
				s.SetRejected("a", name == "refused lastly")
				time.Sleep(3 * time.Second)
				s.SetRejected("a", false)
				set(s, false)
				require.ErrorIs(t, waitForOutcome(t, outcome), ErrOutcomeUnknown)
				require.NoError(t, waitForOutcome(t, later))
				time.Sleep(30 * time.Second)
				require.Equal(t, []string{"young"}, s.Keys(topic))
				require.Empty(t, outcome)
			}, WithMaxAge(maxAge))
		})
	}
}

// TestWriterRepeatsYoungEntries guards against a record that is given up while its caller may still wait for it.
func TestWriterRepeatsYoungEntries(t *testing.T) {
	runWriter(t, func(t *testing.T, s *standin.Store, w *Writer) {
		s.SetUnresponsive("a", true)
		g, outcome := entryOf("k")
		w.Submit(g)
		time.Sleep(4 * time.Second)
		s.SetUnresponsive("a", false)
		require.NoError(t, waitForOutcome(t, outcome))
		require.Equal(t, []string{"k"}, s.Keys(port.Topic{Name: "t", IsKeyed: true}))
	}, WithMaxAge(5*time.Second))
}

// TestWithdrawnEntriesAreNotSentAgain guards against a record that is stored after its caller was told that it was not: it was withdrawn while
// an attempt was under way that the store then refused.
func TestWithdrawnEntriesAreNotSentAgain(t *testing.T) {
	runWriter(t, func(t *testing.T, s *standin.Store, w *Writer) {
		s.SetDelay(300 * time.Millisecond)
		s.SetRejected("a", true)
		g, outcome := entryOf("k")
		w.Submit(g)
		time.Sleep(100 * time.Millisecond)
		require.False(t, w.Withdraw(g))
		require.ErrorIs(t, waitForOutcome(t, outcome), ErrWithdrawn)
		s.SetRejected("a", false)
		time.Sleep(2 * time.Second)
		require.Empty(t, s.Keys(port.Topic{Name: "t", IsKeyed: true}))
		require.Empty(t, outcome)
	})
}
