package config

import (
	"fmt"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
)

const (
	// historyLimit bounds the changes that are kept to recognise repeats and to show history.
	historyLimit = 1024
	// pendingLimit bounds the records that wait for a snapshot.
	pendingLimit = 16 << 10
)

// State folds records in offset order into the configuration in force; it is safe for concurrent use.
type State struct {
	alarm   func(Alarm)
	changed func()
	settled func(Change)
	// revert lets older records in; it proves in tests that the guard is needed.
	revert bool

	mu      sync.Mutex
	config  Config
	history history
	// next is the offset after the last record that was folded in or passed over.
	next uint64
	// begun is set once the state rests on the log's start or on a snapshot.
	begun bool
	// hole is the first offset after expired records that were never read; 0 means none.
	hole    uint64
	short   bool
	pending []entry
	newest  SnapshotMark
	// oldest is when the first record was written that was ever folded in.
	oldest  time.Time
	wake    chan struct{}
	alarms  []Alarm
	changes []Change
}

type entry struct {
	offset uint64
	at     time.Time
	record *wire.Record
}

// Option configures a State.
type Option func(*State)

// WithAlarm sets the function that hears of every alarm.
func WithAlarm(f func(Alarm)) Option {
	return func(s *State) { s.alarm = f }
}

// WithChanged sets a function that is called after the configuration has changed; it reads the new one from Config.
func WithChanged(f func()) Option {
	return func(s *State) { s.changed = f }
}

// WithSettled sets a function that hears of every change with its verdict.
func WithSettled(f func(Change)) Option {
	return func(s *State) { s.settled = f }
}

// New returns a state that knows nothing yet.
func New(opts ...Option) *State {
	s := &State{
		alarm:   func(Alarm) {},
		changed: func() {},
		settled: func(Change) {},
		config:  newConfig(),
		next:    1,
		wake:    make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Config returns the configuration in force.
func (s *State) Config() Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Next returns the offset after the last record that was folded in or passed over.
func (s *State) Next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// Wake returns a channel that is closed when the next record has been folded in.
func (s *State) Wake() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wake
}

// Ready returns nil when the whole configuration is known, else ErrIncomplete.
func (s *State) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready()
}

func (s *State) ready() error {
	if !s.begun || s.hole > 0 {
		return ErrIncomplete{From: s.next, To: s.hole}
	}
	return nil
}

// IsShort reports whether the log ends before records that were read from it earlier.
func (s *State) IsShort() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.short
}

// Range is what one read of the log, from offset From on, showed of it.
type Range struct {
	From uint64
	// First is the oldest offset that the log keeps and Next the one after the newest.
	First uint64
	Next  uint64
}

// Observe notes what the log keeps; call it for every read before its records are folded in.
func (s *State) Observe(r Range) {
	s.mu.Lock()
	s.observe(r)
	s.unlock(false)
}

// Begin notes that the log was read from its start, so that a log without records is complete.
func (s *State) Begin() {
	s.mu.Lock()
	s.begun = true
	s.unlock(false)
}

// Gap notes that the records from an offset up to but without first have expired unread.
func (s *State) Gap(from, first uint64) {
	s.Observe(Range{From: from, First: first, Next: first})
}

func (s *State) observe(r Range) {
	s.begun = true
	if r.First > s.next && r.First > s.hole {
		s.hole = r.First
		s.raise(AlarmHole, s.next, ErrIncomplete{From: s.next, To: r.First}.Error())
	}
	short := r.Next < min(r.From, s.next)
	if short && !s.short {
		s.raise(AlarmShort, r.Next, fmt.Sprintf("log ends at offset %d and was read up to %d before", r.Next, s.next))
	}
	s.short = short
}

// Fold takes in one record; records that were folded in before are passed over.
func (s *State) Fold(offset uint64, at time.Time, r *wire.Record) {
	s.mu.Lock()
	// Peers pass times on in milliseconds, so no host may keep more.
	changed := s.fold(entry{offset: offset, at: time.UnixMilli(at.UnixMilli()).UTC(), record: r})
	s.unlock(changed)
}

func (s *State) fold(e entry) bool {
	if e.offset < s.next && !s.revert {
		return false
	}
	if !s.begun {
		s.observe(Range{From: e.offset, First: e.offset, Next: e.offset + 1})
	}
	if s.hole > 0 && e.offset < s.hole && e.offset == s.next {
		// A peer still had a record that expired from the log.
		return s.take(e)
	}
	if s.hole > 0 {
		return s.postpone(e)
	}
	return s.take(e)
}

// postpone keeps a record until a snapshot or a peer's records have closed the hole before it.
func (s *State) postpone(e entry) bool {
	if w := e.record.GetSnapshot(); w != nil {
		return s.closeHole(e, w)
	}
	if e.record.GetConfig() == nil && e.record.GetNotice() == nil {
		return false
	}
	s.pending = append(s.pending, e)
	if len(s.pending) > pendingLimit {
		s.pending = s.pending[1:]
		s.hole = s.pending[0].offset
	}
	return false
}

func (s *State) closeHole(e entry, w *wire.ConfigSnapshot) bool {
	s.markSnapshot(e)
	if w.GetOffset() < s.hole {
		return false
	}
	if err := s.load(w); err != nil {
		s.raise(AlarmSnapshot, e.offset, err.Error())
		return false
	}
	s.next = max(s.next, e.offset+1)
	return true
}

// take folds in one record whose predecessors are all known.
func (s *State) take(e entry) bool {
	s.next = e.offset + 1
	if s.oldest.IsZero() {
		s.oldest = e.at
	}
	changed := false
	switch b := e.record.GetBody().(type) {
	case *wire.Record_Config:
		changed = s.foldChange(e)
	case *wire.Record_Notice:
		changed = s.foldNotice(e, b.Notice)
	case *wire.Record_Snapshot:
		changed = s.foldSnapshot(e, b.Snapshot)
	}
	if s.hole > 0 && s.next >= s.hole {
		s.hole = 0
		s.replay()
		changed = true
	}
	return changed
}

// replay folds in the records that waited for a hole to be closed.
func (s *State) replay() {
	es := s.pending
	s.pending = nil
	for _, e := range es {
		if e.offset >= s.next {
			s.take(e)
		}
	}
}

func (s *State) foldChange(e entry) bool {
	ch := newChange(e.offset, e.at, e.record)
	if _, ok := s.history.get(ch.ID); ok {
		return false
	}
	c, err := s.config.settle(ch)
	s.config = c
	var conflict ErrVersionConflict
	var invalid ErrInvalid
	switch {
	case errors.As(err, &conflict):
		conflict.By = s.history.lastOperator(conflict.Kind, conflict.Name)
		ch.Conflict = &conflict
	case errors.As(err, &invalid):
		ch.Problems = invalid.Problems
		s.raise(AlarmSkipped, e.offset, err.Error())
	}
	s.config.Offset = e.offset + 1
	s.history.add(ch)
	s.changes = append(s.changes, ch)
	return true
}

func (s *State) raise(c Cause, offset uint64, text string) {
	s.alarms = append(s.alarms, Alarm{Cause: c, Offset: offset, Text: text})
}

// unlock releases the state and then makes the calls that are due, so that these may read the state.
func (s *State) unlock(changed bool) {
	as, cs := s.alarms, s.changes
	s.alarms = nil
	s.changes = nil
	if changed {
		close(s.wake)
		s.wake = make(chan struct{})
	}
	s.mu.Unlock()
	for _, a := range as {
		s.alarm(a)
	}
	for _, c := range cs {
		s.settled(c)
	}
	if changed {
		s.changed()
	}
}
