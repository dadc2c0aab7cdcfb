package config

import (
	"fmt"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
)

const (
	// historyLimit bounds the changes that are kept to detect duplicates and to show the history.
	historyLimit = 1024
	// pendingLimit bounds the records that are buffered until the gap before them is closed.
	pendingLimit = 16 << 10
)

// State folds log records in offset order into the configuration in force; it is safe for concurrent use.
type State struct {
	onAlarm   func(Alarm)
	onChange  func()
	onVerdict func(Change)
	// acceptsOlder disables the check that refuses older records and snapshots; only tests set it, to show that the
	// check is needed.
	acceptsOlder bool

	mu      sync.Mutex
	config  Config
	history history
	// next is the offset after the last record that was folded in or ignored.
	next uint64
	// hasBase is set once the state has read from the log or loaded a snapshot.
	hasBase bool
	// gapEnd is the first offset after records that expired before they were read; 0 means no gap.
	gapEnd uint64
	// truncated is set while the log ends before records that were read from it.
	truncated bool
	// pending holds the records after the gap until it is closed.
	pending []entry
	// newestSnapshot is the newest snapshot in the log.
	newestSnapshot SnapshotMark
	// oldestRecord is when the first record was written that was folded in here or by the peers that snapshots came from.
	oldestRecord time.Time
	updated      chan struct{}
	// alarms and changes are passed to the callbacks after the lock is released.
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

// WithAlarmFunc sets the callback for alarms.
func WithAlarmFunc(f func(Alarm)) Option {
	return func(s *State) { s.onAlarm = f }
}

// WithChangeFunc sets the callback for a changed configuration, which the callback can read by Config.
func WithChangeFunc(f func()) Option {
	return func(s *State) { s.onChange = f }
}

// WithVerdictFunc sets the callback for every folded change with its verdict.
func WithVerdictFunc(f func(Change)) Option {
	return func(s *State) { s.onVerdict = f }
}

// New returns an empty state.
func New(opts ...Option) *State {
	s := &State{
		onAlarm:   func(Alarm) {},
		onChange:  func() {},
		onVerdict: func(Change) {},
		config:    newConfig(),
		next:      1,
		updated:   make(chan struct{}),
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

// Next returns the offset after the last record that was folded in or ignored.
func (s *State) Next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// Updated returns a channel that is closed when the configuration or its history next changes.
func (s *State) Updated() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updated
}

// Ready returns nil when the configuration is complete, else ErrIncomplete.
func (s *State) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready()
}

func (s *State) ready() error {
	if !s.hasBase || s.gapEnd > 0 {
		return ErrIncomplete{From: s.next, To: s.gapEnd}
	}
	return nil
}

// IsTruncated reports whether the log was truncated, so that it ends before records that were read from it.
func (s *State) IsTruncated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.truncated
}

// LogRange is the range of offsets that the log had at one read.
type LogRange struct {
	// From is the offset from which the log was read.
	From uint64
	// First is the oldest retained offset and Next the one after the newest.
	First uint64
	Next  uint64
}

// ObserveRange checks the range of the log for gaps and truncation; call it for every read, before folding its records.
func (s *State) ObserveRange(r LogRange) {
	s.mu.Lock()
	s.observe(r)
	s.unlock(false)
}

// MarkReadFromStart records that the log was read from its start, so that the configuration of an empty log is complete.
func (s *State) MarkReadFromStart() {
	s.mu.Lock()
	s.hasBase = true
	s.unlock(false)
}

// MarkGap records that the log records in [from, first) expired before they were read.
func (s *State) MarkGap(from, first uint64) {
	s.ObserveRange(LogRange{From: from, First: first, Next: first})
}

func (s *State) observe(r LogRange) {
	s.hasBase = true
	if r.First > s.next && r.First > s.gapEnd {
		s.gapEnd = r.First
		s.raise(AlarmGap, s.next, ErrIncomplete{From: s.next, To: r.First}.Error())
	}
	truncated := r.Next < min(r.From, s.next)
	if truncated && !s.truncated {
		s.raise(AlarmTruncated, r.Next, fmt.Sprintf("log truncated: its next offset is %d, but it was read up to offset %d", r.Next, s.next))
	}
	s.truncated = truncated
}

// Fold folds in one record; it ignores a record that was folded in before.
func (s *State) Fold(offset uint64, at time.Time, r *wire.Record) {
	s.mu.Lock()
	// Peers send times in milliseconds; more precision here would make the hosts' configurations differ.
	changed := s.fold(entry{offset: offset, at: time.UnixMilli(at.UnixMilli()).UTC(), record: r})
	s.unlock(changed)
}

func (s *State) fold(e entry) bool {
	if e.offset < s.next && !s.acceptsOlder {
		return false
	}
	if !s.hasBase {
		s.observe(LogRange{From: e.offset, First: e.offset, Next: e.offset + 1})
	}
	if s.gapEnd > 0 && e.offset < s.gapEnd && e.offset == s.next {
		// A peer sent a record that has expired from the log.
		return s.foldNext(e)
	}
	if s.gapEnd > 0 {
		return s.buffer(e)
	}
	return s.foldNext(e)
}

// buffer keeps a record until a snapshot or a peer's records close the gap before it.
func (s *State) buffer(e entry) bool {
	if w := e.record.GetSnapshot(); w != nil {
		return s.closeGap(e, w)
	}
	if e.record.GetConfig() == nil && e.record.GetNotice() == nil {
		return false
	}
	s.pending = append(s.pending, e)
	if len(s.pending) > pendingLimit {
		s.pending = s.pending[1:]
		s.gapEnd = s.pending[0].offset
	}
	return false
}

func (s *State) closeGap(e entry, w *wire.ConfigSnapshot) bool {
	s.markSnapshot(e)
	if w.GetOffset() < s.gapEnd {
		return false
	}
	if err := s.load(w); err != nil {
		s.raise(AlarmSnapshot, e.offset, err.Error())
		return false
	}
	s.next = max(s.next, e.offset+1)
	return true
}

// foldNext folds in one record, all of whose predecessors were folded in.
func (s *State) foldNext(e entry) bool {
	s.next = e.offset + 1
	if s.oldestRecord.IsZero() {
		s.oldestRecord = e.at
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
	if s.gapEnd > 0 && s.next >= s.gapEnd {
		s.gapEnd = 0
		s.foldPending()
		changed = true
	}
	return changed
}

// foldPending folds in the buffered records after the gap was closed.
func (s *State) foldPending() {
	es := s.pending
	s.pending = nil
	for _, e := range es {
		if e.offset >= s.next {
			s.foldNext(e)
		}
	}
}

func (s *State) foldChange(e entry) bool {
	ch := newChange(e.offset, e.at, e.record)
	if _, ok := s.history.get(ch.ID); ok {
		return false
	}
	c, err := s.config.apply(ch)
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

// unlock releases the lock and then calls the callbacks, which may read the state.
func (s *State) unlock(changed bool) {
	as, cs := s.alarms, s.changes
	s.alarms = nil
	s.changes = nil
	if changed {
		close(s.updated)
		s.updated = make(chan struct{})
	}
	s.mu.Unlock()
	for _, a := range as {
		s.onAlarm(a)
	}
	for _, c := range cs {
		s.onVerdict(c)
	}
	if changed {
		s.onChange()
	}
}
