package stream

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"google.golang.org/protobuf/proto"
)

const (
	maxBatch      = 128
	maxBatchBytes = 256 << 10
	retryAfter    = 300 * time.Millisecond
	appendTimeout = 10 * time.Second
	longestAppend = 10 * time.Second
)

// entry is a record that waits to be written and read back.
type entry struct {
	id   string
	data []byte
	// isSent is set once a call may have written the record.
	isSent bool
	// again is when a record that was not read back may be written once more.
	again time.Time
	done  chan uint64
	fail  chan struct{}
}

func newEntry(r *wire.Record) (*entry, error) {
	if r.GetId() == "" {
		return nil, ErrNoID
	}
	data, err := proto.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("marshal record %s: %w", r.GetId(), err)
	}
	return &entry{id: r.GetId(), data: data, done: make(chan uint64, 1), fail: make(chan struct{})}, nil
}

// Append writes the record and returns its offset once it was read back, else ErrLogDown or ErrUnknown.
func (s *Stream) Append(ctx context.Context, r *wire.Record) (uint64, error) {
	e, err := newEntry(r)
	if err != nil {
		return 0, fmt.Errorf("append: %w", err)
	}
	if offset, ok, err := s.enqueue(e); ok || err != nil {
		return offset, err
	}
	s.wakeWriter()
	select {
	case offset := <-e.done:
		return offset, nil
	case <-e.fail:
		return 0, fmt.Errorf("append %s: %w", e.id, ErrLogDown)
	case <-ctx.Done():
		return s.abandon(e, ctx.Err())
	case <-s.clock.After(longestAppend):
		return s.abandon(e, context.DeadlineExceeded)
	}
}

// enqueue adds e for the writer, or returns the offset at which its id was read before.
func (s *Stream) enqueue(e *entry) (uint64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset, ok := s.ids.find(e.id); ok {
		return offset, true, nil
	}
	if !s.up {
		return 0, false, fmt.Errorf("append %s: %w", e.id, ErrLogDown)
	}
	if s.bytes+len(e.data) > s.backlogBytes {
		return 0, false, fmt.Errorf("append %s: %w: %w", e.id, ErrBacklogFull, ErrLogDown)
	}
	s.bytes += len(e.data)
	s.queue = append(s.queue, e)
	return 0, false, nil
}

// abandon gives up waiting; a record that was not sent yet is withdrawn for good.
func (s *Stream) abandon(e *entry, cause error) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case offset := <-e.done:
		return offset, nil
	default:
	}
	s.queue = s.without(s.queue, e)
	if e.isSent {
		return 0, fmt.Errorf("append %s: %w: %w", e.id, ErrUnknown, cause)
	}
	return 0, fmt.Errorf("append %s: %w: %w", e.id, ErrLogDown, cause)
}

// Queue writes the record in the background, at the backlog's rate; it returns ErrBacklogFull when too many wait.
func (s *Stream) Queue(r *wire.Record) error {
	e, err := newEntry(r)
	if err != nil {
		return fmt.Errorf("queue: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.ids.find(e.id); ok || s.waiting[e.id] != nil {
		return nil
	}
	if s.bytes+len(e.data) > s.backlogBytes {
		s.scope.Counter("backlog_full").Inc(1)
		return fmt.Errorf("queue %s: %w", e.id, ErrBacklogFull)
	}
	s.bytes += len(e.data)
	s.backlog = append(s.backlog, e)
	s.waiting[e.id] = e
	s.scope.Gauge("backlog_records").Update(float64(len(s.backlog)))
	s.wakeWriter()
	return nil
}

// Backlog returns how many records wait in the background.
func (s *Stream) Backlog() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.backlog)
}

func (s *Stream) without(es []*entry, e *entry) []*entry {
	for i, o := range es {
		if o == e {
			s.bytes -= len(e.data)
			return append(es[:i:i], es[i+1:]...)
		}
	}
	return es
}

// finish ends the wait of all entries with the id.
func (s *Stream) finish(id string, offset uint64) {
	for i := 0; i < len(s.queue); i++ {
		if e := s.queue[i]; e.id == id {
			e.done <- offset
			s.queue = s.without(s.queue, e)
			i--
		}
	}
	if e := s.waiting[id]; e != nil {
		s.backlog = s.without(s.backlog, e)
		delete(s.waiting, id)
		s.scope.Gauge("backlog_records").Update(float64(len(s.backlog)))
	}
}

// failQueued ends the wait of all records that were never sent; those sent go on waiting for their read.
func (s *Stream) failQueued() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(s.queue); i++ {
		if e := s.queue[i]; !e.isSent {
			close(e.fail)
			s.queue = s.without(s.queue, e)
			i--
		}
	}
}

func (s *Stream) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Stream) writeLoop(ctx context.Context) {
	var backlogDue time.Time
	for ctx.Err() == nil {
		if !s.IsUp() {
			s.failQueued()
			s.waitForWork(ctx, retryPause)
			continue
		}
		if !s.hasWork(backlogDue) {
			s.waitForWork(ctx, retryAfter)
			continue
		}
		_ = s.clock.Sleep(ctx, s.batchDelay)
		batch, hasBacklog := s.pick(backlogDue)
		if hasBacklog {
			backlogDue = s.clock.Now().Add(s.backlogGap)
		}
		if len(batch) > 0 {
			s.write(ctx, batch)
			_ = s.clock.Sleep(ctx, s.appendGap)
		}
	}
}

func (s *Stream) waitForWork(ctx context.Context, d time.Duration) {
	select {
	case <-s.wake:
	case <-s.clock.After(d):
	case <-ctx.Done():
	}
}

func (s *Stream) hasWork(backlogDue time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	return isDue(s.queue, now) || !backlogDue.After(now) && isDue(s.backlog, now)
}

func isDue(es []*entry, now time.Time) bool {
	return slices.ContainsFunc(es, func(e *entry) bool { return !e.again.After(now) })
}

// pick chooses the records of the next call: those that somebody waits for, then a bounded part of the backlog.
func (s *Stream) pick(backlogDue time.Time) (batch []*entry, hasBacklog bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return nil, false
	}
	now := s.clock.Now()
	size := 0
	add := func(es []*entry, limit int) {
		for _, e := range es {
			if limit <= 0 || len(batch) >= maxBatch || size > maxBatchBytes {
				return
			}
			if e.again.After(now) {
				continue
			}
			e.isSent = true
			e.again = now.Add(retryAfter + appendTimeout)
			batch = append(batch, e)
			size += len(e.data)
			limit--
		}
	}
	add(s.queue, maxBatch)
	if backlogDue.After(now) {
		return batch, false
	}
	before := len(batch)
	add(s.backlog, s.backlogBatch)
	return batch, len(batch) > before
}

// write hands a batch to the log; after an error the records are written again unless they are read back first.
func (s *Stream) write(ctx context.Context, batch []*entry) {
	data := make([][]byte, 0, len(batch))
	for _, e := range batch {
		data = append(data, e.data)
	}
	s.scope.Counter("appends").Inc(1)
	s.scope.Counter("records_appended").Inc(int64(len(batch)))
	c, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := s.log.Append(c, data)
	if err == nil {
		s.noteAppended(offset + uint64(len(data)))
		return
	}
	s.scope.Counter("append_errors").Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	again := s.clock.Now().Add(retryAfter)
	for _, e := range batch {
		e.again = again
	}
}

// noteAppended takes in that the log acknowledged all records before next, so that the reader can expect them.
func (s *Stream) noteAppended(next uint64) {
	s.mu.Lock()
	s.appended = max(s.appended, next)
	s.mu.Unlock()
	select {
	case s.written <- struct{}{}:
	default:
	}
}
