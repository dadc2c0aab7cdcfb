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
	defaultBatchDelay      = 10 * time.Millisecond
	defaultAppendInterval  = 100 * time.Millisecond
	defaultBacklogInterval = 2 * time.Second
	defaultBacklogBatch    = 64
	defaultBacklogBytes    = 8 << 20
	defaultPollWait        = 5 * time.Second
	defaultHistoryRecords  = 4096
	defaultHistoryBytes    = 4 << 20
)

// Option sets one part of a new Stream.
type Option func(*Stream)

// WithLog sets how the platform's log is reached.
func WithLog(l port.Log) Option {
	return func(s *Stream) { s.log = l }
}

// WithPeers sets how peers are called and which are live; peers of the host's own failure domain come first.
func WithPeers(p port.Peers, live func() []netip.AddrPort) Option {
	return func(s *Stream) {
		s.peers = p
		s.livePeers = live
	}
}

// WithClock sets the clock.
func WithClock(c clock.Clock) Option {
	return func(s *Stream) { s.clock = c }
}

// WithHost sets the name of this host.
func WithHost(name string) Option {
	return func(s *Stream) { s.host = name }
}

// WithRing sets the event buffer that receives changes of the log's state.
func WithRing(r *events.Ring) Option {
	return func(s *Stream) { s.ring = r }
}

// WithScope sets the scope that metrics are reported to.
func WithScope(t tally.Scope) Option {
	return func(s *Stream) { s.scope = t }
}

// WithBatchDelay sets how long an append waits so that later ones join its batch.
func WithBatchDelay(d time.Duration) Option {
	return func(s *Stream) { s.batchDelay = d }
}

// WithAppendInterval sets the minimum interval between two calls of Log.Append.
func WithAppendInterval(d time.Duration) Option {
	return func(s *Stream) { s.appendInterval = d }
}

// WithBacklogRate limits writing of the backlog to batch records per interval.
func WithBacklogRate(batch int, interval time.Duration) Option {
	return func(s *Stream) {
		s.backlogBatch = batch
		s.backlogInterval = interval
	}
}

// WithBacklogBytes limits the size of all records that wait to be written.
func WithBacklogBytes(n int) Option {
	return func(s *Stream) { s.backlogBytes = n }
}

// WithPollWait sets how long a long poll of the log waits for a record.
func WithPollWait(d time.Duration) Option {
	return func(s *Stream) { s.pollWait = d }
}

// WithHistory limits the number and bytes of raw records kept for peers.
func WithHistory(records, bytes int) Option {
	return func(s *Stream) { s.history = newHistory(records, bytes) }
}

// WithSnapshot adds functions that write and load one part of a snapshot. No record is delivered while they run.
func WithSnapshot(take, load func(*wire.SnapshotReply) error) Option {
	return func(s *Stream) {
		s.snapshotWriters = append(s.snapshotWriters, take)
		s.snapshotLoaders = append(s.snapshotLoaders, load)
	}
}

// WithGapHandler sets a function that is called when the records in [from, first) are skipped without being read.
func WithGapHandler(f func(from, first uint64)) Option {
	return func(s *Stream) { s.onGap = f }
}
