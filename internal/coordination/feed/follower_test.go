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

// oneTopic is a store whose single topic grows by put, and that counts the reads.
type oneTopic struct {
	mu      sync.Mutex
	entries []port.Entry
	reads   int
	grown   chan struct{}
}

func (s *oneTopic) put() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, port.Entry{Key: "k", Offset: int64(len(s.entries))})
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *oneTopic) countReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// from returns the records from an offset on, and what is closed once there are more.
func (s *oneTopic) from(at int64) (port.Entries, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := port.Entries{End: int64(len(s.entries))}
	if at < p.End {
		p.Entries = slices.Clone(s.entries[at:])
	}
	return p, s.grown
}

func (s *oneTopic) read(ctx context.Context, _ port.Topic, from int64, wait time.Duration) (port.Entries, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	p, grown := s.from(from)
	if len(p.Entries) > 0 || wait == 0 {
		return p, nil
	}
	select {
	case <-grown:
	case <-clock.System().After(wait):
	case <-ctx.Done():
	}
	p, _ = s.from(from)
	return p, nil
}

// following runs a follower of a topic that pauses for 800 ms between two reads.
func following(t *testing.T, f func(ctx context.Context, s *oneTopic, x *Follower, seen *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		s := &oneTopic{grown: make(chan struct{})}
		var seen atomic.Int64
		x := NewFollower(port.Store{Read: s.read}, port.Topic{Name: "t"}, Fold{Apply: func(port.Entry) { seen.Add(1) }},
			clock.System(), slog.New(slog.DiscardHandler), WithPause(800*time.Millisecond))
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

// TestRefreshReadsWhatAPauseWouldHide plays the pattern of a question for a job whose end was stored while the host
// paused between two reads.
func TestRefreshReadsWhatAPauseWouldHide(t *testing.T) {
	following(t, func(ctx context.Context, s *oneTopic, x *Follower, seen *atomic.Int64) {
		time.Sleep(2 * time.Second)
		s.put()
		synctest.Wait()
		time.Sleep(time.Millisecond)
		before := seen.Load()
		s.put()
		x.Refresh(ctx, 100*time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, 2, seen.Load())
		require.Less(t, before, int64(2), "the second record came during a pause")
	})
}

// TestRefreshDoesNotWaitForARecord has a question come while a read is held back because there is nothing new.
func TestRefreshDoesNotWaitForARecord(t *testing.T) {
	following(t, func(ctx context.Context, _ *oneTopic, x *Follower, _ *atomic.Int64) {
		time.Sleep(1700 * time.Millisecond)
		at := time.Now()
		x.Refresh(ctx, 100*time.Millisecond)
		require.Less(t, time.Since(at), 200*time.Millisecond)
	})
}

// TestIdleFollowerReadsSeldom plays the pattern of a host that nobody asks for a job while others store records all the
// time: it reads about once in its pause, and no record is missed.
func TestIdleFollowerReadsSeldom(t *testing.T) {
	following(t, func(_ context.Context, s *oneTopic, _ *Follower, seen *atomic.Int64) {
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			s.put()
			synctest.Wait()
		}
		require.LessOrEqual(t, s.countReads(), 15)
		time.Sleep(time.Second)
		synctest.Wait()
		require.EqualValues(t, 1000, seen.Load())
	})
}
