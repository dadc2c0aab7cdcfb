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
	// ErrLogDown reports that the record was not written and will not be written later.
	ErrLogDown = errors.New("log does not answer")
	// ErrOutcomeUnknown reports that the record may have been written, or may be written later.
	ErrOutcomeUnknown = errors.New("record may have been written")
	// ErrBacklogFull reports that the memory limit of records waiting to be written is reached.
	ErrBacklogFull = errors.New("backlog is full")
	// ErrNoID reports a record without the id that is needed to deduplicate repeated appends.
	ErrNoID = errors.New("record has no id")
)

// Stream reads the log and appends to it; its zero value is not usable.
type Stream struct {
	log             port.Log
	peers           port.Peers
	livePeers       func() []netip.AddrPort
	clock           clock.Clock
	host            string
	ring            *events.Ring
	scope           tally.Scope
	batchDelay      time.Duration
	appendInterval  time.Duration
	backlogInterval time.Duration
	backlogBatch    int
	backlogBytes    int
	pollWait        time.Duration
	snapshotWriters []func(*wire.SnapshotReply) error
	snapshotLoaders []func(*wire.SnapshotReply) error
	onGap           func(from, first uint64)
	// disableDedup delivers records whose id was delivered before; set by tests only.
	disableDedup bool
	// disablePeerCheck treats every peer as caught up with the log; set by tests only.
	disablePeerCheck bool
	// disableReversionCheck skips the check for records that the log has lost or replaced; set by tests only.
	disableReversionCheck bool
	// disableReadBackCheck lets a read that misses an acknowledged record run into its timeout; set by tests only.
	disableReadBackCheck bool

	// deliverMu is held while a record is delivered or a snapshot is taken or loaded.
	deliverMu   sync.Mutex
	subscribers []func(uint64, time.Time, *wire.Record)

	mu sync.Mutex
	// next is the offset after the last delivered record.
	next uint64
	// knownEnd is the highest end offset that the log or a peer that is caught up has reported.
	knownEnd uint64
	// appendedEnd is the offset after the last record that the log acknowledged.
	appendedEnd uint64
	// hasCaughtUp is set once the end of the log, or of a peer that is caught up, was reached.
	hasCaughtUp bool
	isUp        bool
	// isReverted is set while the log lacks records that were read from it, or has other ones in their place.
	isReverted bool
	history    *history
	recentIDs  *dedupWindow
	// queue holds the records that callers of Append wait for, backlog those of Queue.
	queue        []*pendingRecord
	backlog      []*pendingRecord
	backlogByID  map[string]*pendingRecord
	pendingBytes int
	wake         chan struct{}
	peerHints    chan netip.AddrPort
	appendAcked  chan struct{}
	peerIndex    int
}

// New returns a stream that starts at offset 1 once Run is called.
func New(opts ...Option) *Stream {
	s := &Stream{
		livePeers:       func() []netip.AddrPort { return nil },
		clock:           clock.System(),
		scope:           tally.NoopScope,
		batchDelay:      defaultBatchDelay,
		appendInterval:  defaultAppendInterval,
		backlogInterval: defaultBacklogInterval,
		backlogBatch:    defaultBacklogBatch,
		backlogBytes:    defaultBacklogBytes,
		pollWait:        defaultPollWait,
		onGap:           func(uint64, uint64) {},
		next:            1,
		knownEnd:        1,
		history:         newHistory(defaultHistoryRecords, defaultHistoryBytes),
		recentIDs:       newDedupWindow(),
		backlogByID:     make(map[string]*pendingRecord),
		wake:            make(chan struct{}, 1),
		peerHints:       make(chan netip.AddrPort, 1),
		appendAcked:     make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Subscribe adds a function that is called once for each record in offset order. It must be called before Run, and f
// must not wait for Append.
func (s *Stream) Subscribe(f func(offset uint64, at time.Time, r *wire.Record)) {
	s.subscribers = append(s.subscribers, f)
}

// Run reads the log and writes queued records until ctx ends.
func (s *Stream) Run(ctx context.Context) error {
	var g sync.WaitGroup
	g.Go(func() { s.writeLoop(ctx) })
	s.readLoop(ctx)
	g.Wait()
	s.failUnsent()
	return fmt.Errorf("run stream: %w", ctx.Err())
}

// IsUp reports whether the log answered the last read in time.
func (s *Stream) IsUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isUp
}

// Next returns the offset after the last record that was delivered.
func (s *Stream) Next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// IsCaughtUp reports whether all records that the log or a peer has reported were delivered.
func (s *Stream) IsCaughtUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasCaughtUp && s.next >= s.knownEnd
}

// ObservePeerOffset reports that the peer at from has delivered all records before next. If the log is down and this
// stream lacks some of them, they are fetched from that peer.
func (s *Stream) ObservePeerOffset(from netip.AddrPort, next uint64) {
	s.mu.Lock()
	isAhead := !s.isUp && next > s.next
	s.mu.Unlock()
	if !isAhead {
		return
	}
	select {
	case s.peerHints <- from:
	default:
	}
}

// setLogUp records whether the log is available and adds an event to the time line on each change.
func (s *Stream) setLogUp(up bool) {
	s.mu.Lock()
	hasChanged := s.isUp != up
	s.isUp = up
	s.mu.Unlock()
	if !hasChanged {
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
