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
	maxBatchRecords = 128
	maxBatchBytes   = 256 << 10
	retryDelay      = 300 * time.Millisecond
	appendTimeout   = 10 * time.Second
	maxAppendWait   = 10 * time.Second
)

// pendingRecord is a record that waits to be written and read back.
type pendingRecord struct {
	id   string
	data []byte
	// isSent is set once an append that includes the record was started, so that it may have been written.
	isSent bool
	// retryAt is the time from which the record is written again if it was not read back.
	retryAt time.Time
	done    chan uint64
	failed  chan struct{}
}

func newPendingRecord(r *wire.Record) (*pendingRecord, error) {
	if r.GetId() == "" {
		return nil, ErrNoID
	}
	data, err := proto.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("marshal record %s: %w", r.GetId(), err)
	}
	return &pendingRecord{id: r.GetId(), data: data, done: make(chan uint64, 1), failed: make(chan struct{})}, nil
}

// Append writes the record and returns its offset once it has been read back. It fails with ErrLogDown if the record
// will never be written, and with ErrOutcomeUnknown if it may be.
func (s *Stream) Append(ctx context.Context, r *wire.Record) (uint64, error) {
	e, err := newPendingRecord(r)
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
	case <-e.failed:
		return 0, fmt.Errorf("append %s: %w", e.id, ErrLogDown)
	case <-ctx.Done():
		return s.abandon(e, ctx.Err())
	case <-s.clock.After(maxAppendWait):
		return s.abandon(e, context.DeadlineExceeded)
	}
}

// enqueue adds e to the queue of the writer. If its id was delivered before, enqueue returns that offset and true.
func (s *Stream) enqueue(e *pendingRecord) (uint64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset, ok := s.recentIDs.find(e.id); ok {
		return offset, true, nil
	}
	if !s.isUp {
		return 0, false, fmt.Errorf("append %s: %w", e.id, ErrLogDown)
	}
	if s.pendingBytes+len(e.data) > s.backlogBytes {
		return 0, false, fmt.Errorf("append %s: %w: %w", e.id, ErrBacklogFull, ErrLogDown)
	}
	s.pendingBytes += len(e.data)
	s.queue = append(s.queue, e)
	return 0, false, nil
}

// abandon ends the wait for e and removes it from the queue; a record that was not sent is never written.
func (s *Stream) abandon(e *pendingRecord, cause error) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case offset := <-e.done:
		return offset, nil
	default:
	}
	s.queue = s.remove(s.queue, e)
	if e.isSent {
		return 0, fmt.Errorf("append %s: %w: %w", e.id, ErrOutcomeUnknown, cause)
	}
	return 0, fmt.Errorf("append %s: %w: %w", e.id, ErrLogDown, cause)
}

// Queue writes the record in the background at the rate of the backlog. It returns ErrBacklogFull when the size limit
// is reached.
func (s *Stream) Queue(r *wire.Record) error {
	e, err := newPendingRecord(r)
	if err != nil {
		return fmt.Errorf("queue: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.recentIDs.find(e.id); ok || s.backlogByID[e.id] != nil {
		return nil
	}
	if s.pendingBytes+len(e.data) > s.backlogBytes {
		s.scope.Counter("backlog_full").Inc(1)
		return fmt.Errorf("queue %s: %w", e.id, ErrBacklogFull)
	}
	s.pendingBytes += len(e.data)
	s.backlog = append(s.backlog, e)
	s.backlogByID[e.id] = e
	s.scope.Gauge("backlog_records").Update(float64(len(s.backlog)))
	s.wakeWriter()
	return nil
}

// Backlog returns the number of records from Queue that have not been read back.
func (s *Stream) Backlog() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.backlog)
}

func (s *Stream) remove(es []*pendingRecord, e *pendingRecord) []*pendingRecord {
	for i, o := range es {
		if o == e {
			s.pendingBytes -= len(e.data)
			return append(es[:i:i], es[i+1:]...)
		}
	}
	return es
}

// resolve completes all pending records with the id, which was delivered at offset.
func (s *Stream) resolve(id string, offset uint64) {
	for i := 0; i < len(s.queue); i++ {
		if e := s.queue[i]; e.id == id {
			e.done <- offset
			s.queue = s.remove(s.queue, e)
			i--
		}
	}
	if e := s.backlogByID[id]; e != nil {
		s.backlog = s.remove(s.backlog, e)
		delete(s.backlogByID, id)
		s.scope.Gauge("backlog_records").Update(float64(len(s.backlog)))
	}
}

// failUnsent fails all queued records that were never sent; those that were sent stay until they are read back.
func (s *Stream) failUnsent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(s.queue); i++ {
		if e := s.queue[i]; !e.isSent {
			close(e.failed)
			s.queue = s.remove(s.queue, e)
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
			s.failUnsent()
			s.waitForWork(ctx, retryInterval)
			continue
		}
		if !s.hasWork(backlogDue) {
			s.waitForWork(ctx, retryDelay)
			continue
		}
		_ = s.clock.Sleep(ctx, s.batchDelay)
		batch, hasBacklog := s.nextBatch(backlogDue)
		if hasBacklog {
			backlogDue = s.clock.Now().Add(s.backlogInterval)
		}
		if len(batch) > 0 {
			s.writeBatch(ctx, batch)
			_ = s.clock.Sleep(ctx, s.appendInterval)
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

func isDue(es []*pendingRecord, now time.Time) bool {
	return slices.ContainsFunc(es, func(e *pendingRecord) bool { return !e.retryAt.After(now) })
}

// nextBatch selects the records of the next append: first those that callers wait for, then a limited part of the
// backlog.
func (s *Stream) nextBatch(backlogDue time.Time) (batch []*pendingRecord, hasBacklog bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isUp {
		return nil, false
	}
	now := s.clock.Now()
	size := 0
	add := func(es []*pendingRecord, limit int) {
		for _, e := range es {
			if limit <= 0 || len(batch) >= maxBatchRecords || size > maxBatchBytes {
				return
			}
			if e.retryAt.After(now) {
				continue
			}
			e.isSent = true
			e.retryAt = now.Add(retryDelay + appendTimeout)
			batch = append(batch, e)
			size += len(e.data)
			limit--
		}
	}
	add(s.queue, maxBatchRecords)
	if backlogDue.After(now) {
		return batch, false
	}
	before := len(batch)
	add(s.backlog, s.backlogBatch)
	return batch, len(batch) > before
}

// writeBatch appends a batch to the log. After an error, the records are written again unless they are read back first.
func (s *Stream) writeBatch(ctx context.Context, batch []*pendingRecord) {
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
		s.markAppended(offset + uint64(len(data)))
		return
	}
	s.scope.Counter("append_errors").Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	retryAt := s.clock.Now().Add(retryDelay)
	for _, e := range batch {
		e.retryAt = retryAt
	}
}

// markAppended records that the log has acknowledged all records before next, and wakes the reader that expects them.
func (s *Stream) markAppended(next uint64) {
	s.mu.Lock()
	s.appendedEnd = max(s.appendedEnd, next)
	s.mu.Unlock()
	select {
	case s.appendAcked <- struct{}{}:
	default:
	}
}
