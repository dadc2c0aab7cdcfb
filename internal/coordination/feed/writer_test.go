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
