package stream

import (
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/uber-go/tally/v4"
)

const (
	defaultBatchDelay   = 10 * time.Millisecond
	defaultAppendGap    = 100 * time.Millisecond
	defaultBacklogGap   = 2 * time.Second
	defaultBacklogBatch = 64
	defaultBacklogBytes = 8 << 20
	defaultPollWait     = 5 * time.Second
	defaultRingRecords  = 4096
	defaultRingBytes    = 4 << 20
)

// Option sets one part of a new Stream.
type Option func(*Stream)

// WithLog sets how the platform's log is reached.
func WithLog(l port.Log) Option {
	return func(s *Stream) { s.log = l }
}

// WithPeers sets how peers are called and which are live, those of the own failure domain first.
func WithPeers(p port.Peers, live func() []netip.AddrPort) Option {
	return func(s *Stream) {
		s.peers = p
		s.live = live
	}
}

// WithClock sets the clock.
func WithClock(c clock.Clock) Option {
	return func(s *Stream) { s.clock = c }
}

// WithHost names the host that writes.
func WithHost(name string) Option {
	return func(s *Stream) { s.host = name }
}

// WithRing sets the time line that hears of changes of the log's state.
func WithRing(r *events.Ring) Option {
	return func(s *Stream) { s.ring = r }
}

// WithScope sets where counters go.
func WithScope(t tally.Scope) Option {
	return func(s *Stream) { s.scope = t }
}

// WithBatchDelay sets how long an append waits for others to join it.
func WithBatchDelay(d time.Duration) Option {
	return func(s *Stream) { s.batchDelay = d }
}

// WithAppendGap sets the least time between two calls of Log.Append.
func WithAppendGap(d time.Duration) Option {
	return func(s *Stream) { s.appendGap = d }
}

// WithBacklogRate bounds the writing of the backlog to batch records in each gap.
func WithBacklogRate(batch int, gap time.Duration) Option {
	return func(s *Stream) {
		s.backlogBatch = batch
		s.backlogGap = gap
	}
}

// WithBacklogBytes bounds the memory of records that wait to be written.
func WithBacklogBytes(n int) Option {
	return func(s *Stream) { s.backlogBytes = n }
}

// WithPollWait sets how long one read of the log waits for a record.
func WithPollWait(d time.Duration) Option {
	return func(s *Stream) { s.pollWait = d }
}

// WithHistory bounds the raw records that are kept for peers.
func WithHistory(records, bytes int) Option {
	return func(s *Stream) { s.history = newHistory(records, bytes) }
}

// WithSnapshot adds functions that fill in a part of a snapshot and load it; take runs between two deliveries.
func WithSnapshot(take, load func(*wire.SnapshotReply) error) Option {
	return func(s *Stream) {
		s.takeSnapshot = append(s.takeSnapshot, take)
		s.loadSnapshot = append(s.loadSnapshot, load)
	}
}

// WithGap sets a function that hears which records, from an offset up to but without first, were never read.
func WithGap(f func(from, first uint64)) Option {
	return func(s *Stream) { s.onGap = f }
}
