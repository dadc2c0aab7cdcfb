package feed

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/stretchr/testify/require"
)

// fakeTopic is a store with one topic that counts its reads.
type fakeTopic struct {
	mu      sync.Mutex
	entries []port.Entry
	reads   int
	changed chan struct{}
	// maxEntries limits the records of a reply; zero means no limit.
	maxEntries int
}

func (s *fakeTopic) append() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, port.Entry{Key: "k", Offset: int64(len(s.entries))})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeTopic) countReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// readFrom returns the records from an offset on, and a channel that is closed when the next one is appended.
func (s *fakeTopic) readFrom(offset int64) (port.Entries, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := port.Entries{End: int64(len(s.entries))}
	if offset < p.End {
		p.Entries = slices.Clone(s.entries[offset:])
		if s.maxEntries > 0 && len(p.Entries) > s.maxEntries {
			p.Entries = p.Entries[:s.maxEntries]
		}
	}
	return p, s.changed
}

func (s *fakeTopic) read(ctx context.Context, _ port.Topic, from int64, wait time.Duration) (port.Entries, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	p, changed := s.readFrom(from)
	if len(p.Entries) > 0 || wait == 0 {
		return p, nil
	}
	select {
	case <-changed:
	case <-clock.System().After(wait):
	case <-ctx.Done():
	}
	p, _ = s.readFrom(from)
	return p, nil
}

// withFollower runs a follower with an interval of 800 ms between two reads.
func withFollower(t *testing.T, f func(ctx context.Context, s *fakeTopic, x *Follower, seen *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeTopic{changed: make(chan struct{})}
		var seen atomic.Int64
		x := NewFollower(port.Store{Read: s.read}, port.Topic{Name: "t"}, Handler{Apply: func(port.Entry) { seen.Add(1) }},
			clock.System(), slog.New(slog.DiscardHandler), WithReadInterval(800*time.Millisecond))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = x.Run(ctx)
		}()
		f(ctx, s, x, &seen)
		cancel()
		<-done
	})
}

// A record that is appended during the interval between two reads must be visible to a query after Refresh.
func TestRefreshReadsDuringInterval(t *testing.T) {
	withFollower(t, func(ctx context.Context, s *fakeTopic, x *Follower, seen *atomic.Int64) {
		time.Sleep(2 * time.Second)
		s.append()
		synctest.Wait()
		time.Sleep(time.Millisecond)
		before := seen.Load()
		s.append()
		x.Refresh(ctx, 100*time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, 2, seen.Load())
		require.Less(t, before, int64(2), "the second record was appended during the interval")
	})
}

// Refresh must not block a query while a long poll without new records is running.
func TestRefreshDoesNotWaitForLongPoll(t *testing.T) {
	withFollower(t, func(ctx context.Context, _ *fakeTopic, x *Follower, _ *atomic.Int64) {
		time.Sleep(1700 * time.Millisecond)
		at := time.Now()
		x.Refresh(ctx, 100*time.Millisecond)
		require.Less(t, time.Since(at), 200*time.Millisecond)
	})
}

// A host without queries reads a busy topic only about once per interval, instead of once per record, and misses no record.
func TestFollowerLimitsReadRate(t *testing.T) {
	withFollower(t, func(_ context.Context, s *fakeTopic, _ *Follower, seen *atomic.Int64) {
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			s.append()
			synctest.Wait()
		}
		require.LessOrEqual(t, s.countReads(), 15)
		time.Sleep(time.Second)
		synctest.Wait()
		require.EqualValues(t, 1000, seen.Load())
	})
}

// TestFreshIsNoNewerThanTheStateWhileBehind guards against a host that denies a job which it has not read yet: a state that lacks records
// which the store had at the last read must not count as confirmed then.
func TestFreshIsNoNewerThanTheStateWhileBehind(t *testing.T) {
	withFollower(t, func(ctx context.Context, s *fakeTopic, x *Follower, seen *atomic.Int64) {
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		s.maxEntries = 3
		s.mu.Unlock()
		synctest.Wait()
		before := clock.System().Instant()
		for range 10 {
			s.append()
		}
		for until := time.Now().Add(10 * time.Second); seen.Load() < 10; time.Sleep(10 * time.Millisecond) {
			require.True(t, time.Now().Before(until), "the follower has read %d records", seen.Load())
			at := x.Fresh()
			synctest.Wait()
			if n := seen.Load(); n < 10 {
				require.GreaterOrEqual(t, clock.System().Age(at), clock.System().Age(before), "confirmed after %d of 10 records", n)
			}
		}
		time.Sleep(2 * time.Second)
		require.Less(t, clock.System().Age(x.Fresh()), 2*time.Second)
		require.NoError(t, x.Confirm(ctx, time.Second))
	})
}
