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
	readLimit   = 256
	minPatience = 2 * time.Second
	maxPatience = 10 * time.Second
	retryPause  = 500 * time.Millisecond
	emptyPause  = 20 * time.Millisecond
	// readBackShare is the part of the patience within which an acknowledged record must be read back.
	readBackShare = 6
)

// page is one answer of the log to a read from an offset on.
type page struct {
	port.Page
	from uint64
	took time.Duration
	err  error
}

// read asks the log from a goroutine of its own, so that peers can be asked while the log is silent.
func (s *Stream) read(ctx context.Context, out chan<- page, atOnce bool) (cancel context.CancelFunc, wait time.Duration) {
	s.mu.Lock()
	from := s.next
	wait = s.pollWait
	if !s.up || atOnce {
		wait = 0
	}
	isCheck := s.shouldCompare()
	s.mu.Unlock()
	if isCheck {
		from--
		wait = 0
	}
	c, cancel := context.WithCancel(ctx)
	start := s.clock.Now()
	go func() {
		p, err := s.log.Read(c, from, readLimit, wait)
		out <- page{Page: p, from: from, took: s.clock.Since(start), err: err}
	}()
	return cancel, wait
}

// shouldCompare reports whether the log must first show the newest remembered record again.
func (s *Stream) shouldCompare() bool {
	_, ok := s.history.last()
	return !s.trustsLog && !s.up && ok
}

func (s *Stream) readLoop(ctx context.Context) {
	patience := minPatience
	isSilent := false
	for ctx.Err() == nil {
		out := make(chan page, 1)
		cancel, wait := s.read(ctx, out, isSilent)
		p, ok := s.await(ctx, out, wait, patience)
		cancel()
		isSilent = !ok
		if !ok {
			continue
		}
		if p.err == nil {
			patience = min(max(2*(p.took-wait), minPatience), maxPatience)
		}
		if !s.take(ctx, p) {
			s.pause(ctx)
		}
	}
}

// await returns the answer of a read; while that is overdue the log counts as down and peers are asked.
func (s *Stream) await(ctx context.Context, out <-chan page, wait, patience time.Duration) (page, bool) {
	overdue := s.clock.After(wait + patience)
	giveUp := s.clock.After(wait + 2*maxPatience)
	late := s.expectReadBack(nil, wait, patience)
	for {
		select {
		case p := <-out:
			return p, true
		case <-s.written:
			late = s.expectReadBack(late, wait, patience)
		case <-late:
			// The connection of a read that waits has fallen silent, if the log has more than it tells.
			if s.isBehind() {
				s.scope.Counter("reads_silent").Inc(1)
				return page{}, false
			}
			late = nil
		case <-overdue:
			s.setUp(false)
			s.askPeers(ctx)
			overdue = s.clock.After(peerGap)
		case a := <-s.hints:
			_ = s.askPeer(ctx, a)
		case <-giveUp:
			return page{}, false
		case <-ctx.Done():
			return page{}, false
		}
	}
}

// expectReadBack returns when a read that waits must have told of what was appended; one that does not wait is
// covered by its timeout.
func (s *Stream) expectReadBack(late <-chan time.Time, wait, patience time.Duration) <-chan time.Time {
	if late != nil || wait == 0 || s.waitsForRead || !s.isBehind() {
		return late
	}
	return s.clock.After(patience / readBackShare)
}

// isBehind reports whether the log has acknowledged records that were not read yet.
func (s *Stream) isBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next < s.appended
}

// pause waits before the next read of a log that failed, while peers are asked.
func (s *Stream) pause(ctx context.Context) {
	s.askPeers(ctx)
	select {
	case <-s.clock.After(retryPause):
	case a := <-s.hints:
		_ = s.askPeer(ctx, a)
	case <-ctx.Done():
	}
}

// take folds the answer of the log in and reports whether the next read may follow at once.
func (s *Stream) take(ctx context.Context, p page) bool {
	if errors.Is(p.err, port.ErrExpired) {
		return s.skipExpired(ctx, p)
	}
	if p.err != nil {
		s.scope.Counter("read_errors").Inc(1)
		s.setUp(false)
		return false
	}
	if !s.isSame(p) {
		s.holdBack(p)
		return false
	}
	s.release()
	s.setUp(true)
	for _, r := range p.Records {
		if r.Offset > s.Next() {
			s.jump(r.Offset)
		}
		s.deliver(r)
	}
	if len(p.Records) == 0 {
		// A log that does not wait for records must not be asked without a pause.
		_ = s.clock.Sleep(ctx, emptyPause)
	}
	s.mu.Lock()
	s.known = max(s.known, p.Next)
	s.reached = s.reached || s.next >= p.Next
	s.mu.Unlock()
	return true
}

// isSame reports whether the log still has what was read from it before.
func (s *Stream) isSame(p page) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trustsLog {
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

// holdBack keeps the state of before when the log has lost records; nothing is read until it has them again.
func (s *Stream) holdBack(p page) {
	s.setUp(false)
	s.mu.Lock()
	isNews := !s.held
	s.held = true
	next := s.next
	s.mu.Unlock()
	if !isNews {
		return
	}
	s.scope.Counter("log_reverted").Inc(1)
	s.addEvent(events.ConfigAlarm, fmt.Sprintf("log ends at %d or differs, but %d was read; state is kept", p.Next, next))
}

func (s *Stream) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = false
}

// skipExpired goes on from a peer's snapshot, or from the oldest record that the log keeps.
func (s *Stream) skipExpired(ctx context.Context, p page) bool {
	s.mu.Lock()
	next := s.next
	s.mu.Unlock()
	if p.from < next && p.First <= next {
		// Only the record to compare with has expired; the log itself goes on.
		s.setUp(true)
		return true
	}
	s.scope.Counter("reads_expired").Inc(1)
	if s.loadFromPeers(ctx, max(p.First, next+1)) {
		return true
	}
	if p.First <= next {
		return false
	}
	s.jump(p.First)
	return true
}

// jump leaves out the records before first, which nobody keeps any more.
func (s *Stream) jump(first uint64) {
	s.fold.Lock()
	defer s.fold.Unlock()
	s.mu.Lock()
	from := s.next
	s.next = max(s.next, first)
	s.history.reset()
	s.mu.Unlock()
	s.onGap(from, first)
}

// deliver folds one record in, unless it or its id was delivered before.
func (s *Stream) deliver(r port.Record) bool {
	s.fold.Lock()
	defer s.fold.Unlock()
	var w wire.Record
	err := proto.Unmarshal(r.Data, &w)
	s.mu.Lock()
	if r.Offset != s.next {
		s.mu.Unlock()
		return false
	}
	_, isRepeat := s.ids.find(w.GetId())
	isRepeat = isRepeat && w.GetId() != "" && !s.keepsRepeats
	s.mu.Unlock()
	switch {
	case err != nil:
		s.scope.Counter("records_invalid").Inc(1)
	case isRepeat:
		s.scope.Counter("records_folded").Inc(1)
	default:
		for _, f := range s.subscribers {
			f(r.Offset, r.At, &w)
		}
	}
	s.scope.Counter("records_read").Inc(1)
	s.settle(r, w.GetId())
	return true
}

// settle moves past the record and tells those who wait for its id.
func (s *Stream) settle(r port.Record, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = r.Offset + 1
	s.known = max(s.known, s.next)
	s.history.add(r)
	if id != "" {
		s.ids.add(id, r.Offset)
		s.finish(id, r.Offset)
	}
}
