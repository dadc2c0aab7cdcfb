package stream

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	maxReadRecords = 256
	minReadTimeout = 2 * time.Second
	maxReadTimeout = 10 * time.Second
	retryInterval  = 500 * time.Millisecond
	// emptyReadDelay limits the read rate on a log that does not support long polls.
	emptyReadDelay = 20 * time.Millisecond
	// readBackDivisor divides the read timeout to get the time in which an acknowledged record must be read back.
	readBackDivisor = 6
)

// readResult is the outcome of one read of the log; from is the first offset requested.
type readResult struct {
	port.Page
	from uint64
	took time.Duration
	err  error
}

// startRead reads the log in a separate goroutine, so that peers can be queried while the log does not answer.
func (s *Stream) startRead(ctx context.Context, out chan<- readResult, noWait bool) (cancel context.CancelFunc, wait time.Duration) {
	s.mu.Lock()
	from := s.next
	wait = s.pollWait
	if !s.isUp || noWait {
		wait = 0
	}
	isVerification := s.needsVerification()
	s.mu.Unlock()
	if isVerification {
		from--
		wait = 0
	}
	c, cancel := context.WithCancel(ctx)
	start := s.clock.Now()
	go func() {
		p, err := s.log.Read(c, from, maxReadRecords, wait)
		out <- readResult{Page: p, from: from, took: s.clock.Since(start), err: err}
	}()
	return cancel, wait
}

// needsVerification reports whether the newest record of the history must be read again first. This is the case after
// an outage, to detect a log that has lost or replaced records.
func (s *Stream) needsVerification() bool {
	_, ok := s.history.last()
	return !s.disableReversionCheck && !s.isUp && ok
}

func (s *Stream) readLoop(ctx context.Context) {
	timeout := minReadTimeout
	hasTimedOut := false
	for ctx.Err() == nil {
		out := make(chan readResult, 1)
		cancel, wait := s.startRead(ctx, out, hasTimedOut)
		p, ok := s.awaitRead(ctx, out, wait, timeout)
		cancel()
		hasTimedOut = !ok
		if !ok {
			continue
		}
		if p.err == nil {
			timeout = min(max(2*(p.took-wait), minReadTimeout), maxReadTimeout)
		}
		if !s.handleRead(ctx, p) {
			s.backOff(ctx)
		}
	}
}

// awaitRead waits for the result of a read. Once it is overdue, the log counts as down and records are fetched from
// peers until the read ends or is abandoned.
func (s *Stream) awaitRead(ctx context.Context, out <-chan readResult, wait, timeout time.Duration) (readResult, bool) {
	overdue := s.clock.After(wait + timeout)
	expired := s.clock.After(wait + 2*maxReadTimeout)
	readBackDue := s.readBackDeadline(nil, wait, timeout)
	for {
		select {
		case p := <-out:
			return p, true
		case <-s.appendAcked:
			readBackDue = s.readBackDeadline(readBackDue, wait, timeout)
		case <-readBackDue:
			// The log has acknowledged records that this long poll does not return: its connection is half-open.
			if s.hasUnreadAppends() {
				s.scope.Counter("reads_silent").Inc(1)
				return readResult{}, false
			}
			readBackDue = nil
		case <-overdue:
			s.setLogUp(false)
			s.fetchFromPeers(ctx)
			overdue = s.clock.After(peerRetryInterval)
		case a := <-s.peerHints:
			_ = s.fetchFromPeer(ctx, a)
		case <-expired:
			return readResult{}, false
		case <-ctx.Done():
			return readResult{}, false
		}
	}
}

// readBackDeadline returns the channel that fires when a long poll must have returned the records that were appended.
// A deadline that is running is kept; a read that does not wait is covered by its timeout.
func (s *Stream) readBackDeadline(current <-chan time.Time, wait, timeout time.Duration) <-chan time.Time {
	if current != nil || wait == 0 || s.disableReadBackCheck || !s.hasUnreadAppends() {
		return current
	}
	return s.clock.After(timeout / readBackDivisor)
}

// hasUnreadAppends reports whether the log has acknowledged records that were not read yet.
func (s *Stream) hasUnreadAppends() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next < s.appendedEnd
}

// backOff fetches records from peers and waits before the next read after one that failed.
func (s *Stream) backOff(ctx context.Context) {
	s.fetchFromPeers(ctx)
	select {
	case <-s.clock.After(retryInterval):
	case a := <-s.peerHints:
		_ = s.fetchFromPeer(ctx, a)
	case <-ctx.Done():
	}
}

// handleRead delivers the records of a read and reports whether the next read may follow without a delay.
func (s *Stream) handleRead(ctx context.Context, p readResult) bool {
	if errors.Is(p.err, port.ErrExpired) {
		return s.recoverExpired(ctx, p)
	}
	if p.err != nil {
		s.scope.Counter("read_errors").Inc(1)
		s.setLogUp(false)
		return false
	}
	if !s.isConsistent(p) {
		s.reportReversion(p)
		return false
	}
	s.clearReversion()
	s.setLogUp(true)
	for _, r := range p.Records {
		if r.Offset > s.Next() {
			s.skipTo(r.Offset)
		}
		s.deliver(r)
	}
	if len(p.Records) == 0 {
		// Prevents a busy loop on a log that returns at once when it has no records.
		_ = s.clock.Sleep(ctx, emptyReadDelay)
	}
	s.mu.Lock()
	s.knownEnd = max(s.knownEnd, p.Next)
	s.hasCaughtUp = s.hasCaughtUp || s.next >= p.Next
	s.mu.Unlock()
	return true
}

// isConsistent reports whether the log still has the records that were read from it before.
func (s *Stream) isConsistent(p readResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disableReversionCheck {
		return true
	}
	if p.Next < s.next {
		return false
	}
	last, ok := s.history.last()
	if !ok || p.from > last.Offset || len(p.Records) == 0 {
		return true
	}
	r := p.Records[0]
	return r.Offset != last.Offset || bytes.Equal(r.Data, last.Data)
}

// reportReversion raises an alarm when the log has lost or replaced records. The state is kept, and no record is
// delivered until the log has the records again.
func (s *Stream) reportReversion(p readResult) {
	s.setLogUp(false)
	s.mu.Lock()
	isFirst := !s.isReverted
	s.isReverted = true
	next := s.next
	s.mu.Unlock()
	if !isFirst {
		return
	}
	s.scope.Counter("log_reverted").Inc(1)
	s.addEvent(events.ConfigAlarm, fmt.Sprintf("log ends at %d or differs from records read before %d; state is kept", p.Next, next))
}

func (s *Stream) clearReversion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isReverted = false
}

// recoverExpired continues from a peer's snapshot or, if no peer has one, from the oldest record that the log keeps.
func (s *Stream) recoverExpired(ctx context.Context, p readResult) bool {
	s.mu.Lock()
	next := s.next
	s.mu.Unlock()
	if p.from < next && p.First <= next {
		// Only the record read for verification has expired; the next one is still in the log.
		s.setLogUp(true)
		return true
	}
	s.scope.Counter("reads_expired").Inc(1)
	if s.loadSnapshotFromPeers(ctx, max(p.First, next+1)) {
		return true
	}
	if p.First <= next {
		return false
	}
	s.skipTo(p.First)
	return true
}

// skipTo skips the records before first, which the log no longer keeps.
func (s *Stream) skipTo(first uint64) {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	s.mu.Lock()
	from := s.next
	s.next = max(s.next, first)
	s.history.reset()
	s.mu.Unlock()
	s.onGap(from, first)
}

// deliver passes the record at the next offset to the subscribers, unless its id was delivered before. It returns false
// for a record at any other offset.
func (s *Stream) deliver(r port.Record) bool {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	var w wire.Record
	err := proto.Unmarshal(r.Data, &w)
	s.mu.Lock()
	if r.Offset != s.next {
		s.mu.Unlock()
		return false
	}
	_, isDuplicate := s.recentIDs.find(w.GetId())
	isDuplicate = isDuplicate && w.GetId() != "" && !s.disableDedup
	s.mu.Unlock()
	switch {
	case err != nil:
		s.scope.Counter("records_invalid").Inc(1)
	case isDuplicate:
		s.scope.Counter("records_folded").Inc(1)
	default:
		for _, f := range s.subscribers {
			f(r.Offset, r.At, &w)
		}
	}
	s.scope.Counter("records_read").Inc(1)
	s.markDelivered(r, w.GetId())
	return true
}

// markDelivered advances past the record and resolves the appends that wait for its id.
func (s *Stream) markDelivered(r port.Record, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = r.Offset + 1
	s.knownEnd = max(s.knownEnd, s.next)
	s.history.add(r)
	if id != "" {
		s.recentIDs.add(id, r.Offset)
		s.resolve(id, r.Offset)
	}
}
