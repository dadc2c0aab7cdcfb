package stream

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// Errors of Append and Queue.
var (
	// ErrLogDown says that the record was not written and never will be.
	ErrLogDown = errors.New("log does not answer")
	// ErrUnknown says that the record may have been written or may still be.
	ErrUnknown = errors.New("record may have been written")
	// ErrBacklogFull says that no more records can wait for the log.
	ErrBacklogFull = errors.New("backlog is full")
	// ErrNoID says that a record lacks the id that makes a repeat of it idempotent.
	ErrNoID = errors.New("record has no id")
)

// Stream follows the log and writes to it; its zero value is not usable.
type Stream struct {
	log          port.Log
	peers        port.Peers
	live         func() []netip.AddrPort
	clock        clock.Clock
	host         string
	ring         *events.Ring
	scope        tally.Scope
	batchDelay   time.Duration
	appendGap    time.Duration
	backlogGap   time.Duration
	backlogBatch int
	backlogBytes int
	pollWait     time.Duration
	takeSnapshot []func(*wire.SnapshotReply) error
	loadSnapshot []func(*wire.SnapshotReply) error
	onGap        func(from, first uint64)
	// keepsRepeats turns the folding of repeated ids off; only tests set it.
	keepsRepeats bool
	// trustsAnyPeer takes a peer that never reached the log's end for one that did; only tests set it.
	trustsAnyPeer bool
	// trustsLog turns the comparison with the remembered record off; only tests set it.
	trustsLog bool
	// waitsForRead leaves a read that is silent after an append to its timeout; only tests set it.
	waitsForRead bool

	// fold is held while a record is delivered or a snapshot is taken or loaded.
	fold        sync.Mutex
	subscribers []func(uint64, time.Time, *wire.Record)

	mu    sync.Mutex
	next  uint64
	known uint64
	// appended is the offset after the last record that the log acknowledged.
	appended uint64
	reached  bool
	up       bool
	held     bool
	history  *history
	ids      *window
	queue    []*entry
	backlog  []*entry
	waiting  map[string]*entry
	bytes    int
	wake     chan struct{}
	hints    chan netip.AddrPort
	written  chan struct{}
	rotation int
}

// New returns a stream that has read nothing yet.
func New(opts ...Option) *Stream {
	s := &Stream{
		live:         func() []netip.AddrPort { return nil },
		clock:        clock.System(),
		scope:        tally.NoopScope,
		batchDelay:   defaultBatchDelay,
		appendGap:    defaultAppendGap,
		backlogGap:   defaultBacklogGap,
		backlogBatch: defaultBacklogBatch,
		backlogBytes: defaultBacklogBytes,
		pollWait:     defaultPollWait,
		onGap:        func(uint64, uint64) {},
		next:         1,
		known:        1,
		history:      newHistory(defaultRingRecords, defaultRingBytes),
		ids:          newWindow(),
		waiting:      make(map[string]*entry),
		wake:         make(chan struct{}, 1),
		hints:        make(chan netip.AddrPort, 1),
		written:      make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Subscribe adds a function that hears each record once in offset order; it must be called before Run, and f must
// not wait for Append.
func (s *Stream) Subscribe(f func(offset uint64, at time.Time, r *wire.Record)) {
	s.subscribers = append(s.subscribers, f)
}

// Run follows the log and writes to it until ctx ends.
func (s *Stream) Run(ctx context.Context) error {
	var g sync.WaitGroup
	g.Go(func() { s.writeLoop(ctx) })
	s.readLoop(ctx)
	g.Wait()
	s.failQueued()
	return fmt.Errorf("run stream: %w", ctx.Err())
}

// IsUp reports whether the log answered the last read in time.
func (s *Stream) IsUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}

// Next returns the offset after the last record that was delivered.
func (s *Stream) Next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// IsCaughtUp reports whether all records that the log or a peer is known to have were delivered.
func (s *Stream) IsCaughtUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reached && s.next >= s.known
}

// Hint says that the peer at from has delivered all records before next; it is asked for them while the log is down.
func (s *Stream) Hint(from netip.AddrPort, next uint64) {
	s.mu.Lock()
	isNews := !s.up && next > s.next
	s.mu.Unlock()
	if !isNews {
		return
	}
	select {
	case s.hints <- from:
	default:
	}
}

// setUp changes the state of the log and says so on the time line.
func (s *Stream) setUp(up bool) {
	s.mu.Lock()
	isChange := s.up != up
	s.up = up
	s.mu.Unlock()
	if !isChange {
		return
	}
	s.wakeWriter()
	if up {
		s.scope.Counter("log_up").Inc(1)
		s.addEvent(events.LogUp, "log answers")
		return
	}
	s.scope.Counter("log_down").Inc(1)
	s.addEvent(events.LogDown, "log does not answer")
}

func (s *Stream) addEvent(k events.Kind, text string) {
	if s.ring != nil {
		s.ring.Add(events.Event{Kind: k, Text: text})
	}
}
