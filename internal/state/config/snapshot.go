package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// maxSnapshotBytes bounds a decoded snapshot.
const maxSnapshotBytes = 64 << 20

// SnapshotMark is the position of a snapshot record in the log.
type SnapshotMark struct {
	// Offset is the log offset of the record and At the time when it was written.
	Offset uint64
	At     time.Time
}

type snapshotJSON struct {
	Config  Config
	History []Change
	// Newest and Oldest are State.newestSnapshot and State.oldestRecord. A host that loads the snapshot needs them to
	// know when the records behind it expire.
	Newest SnapshotMark
	Oldest time.Time
}

// Snapshot encodes the configuration in force and the history, or returns ErrIncomplete.
func (s *State) Snapshot() (*wire.ConfigSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ready(); err != nil {
		return nil, fmt.Errorf("take snapshot: %w", err)
	}
	b, err := encodeSnapshot(snapshotJSON{
		Config:  s.config,
		History: s.history.changes,
		Newest:  s.newestSnapshot,
		Oldest:  s.oldestRecord,
	})
	if err != nil {
		return nil, fmt.Errorf("take snapshot: %w", err)
	}
	return &wire.ConfigSnapshot{Offset: s.next, Data: b}, nil
}

// NewestSnapshot returns the position of the newest snapshot in the log; its offset is 0 when there is none.
func (s *State) NewestSnapshot() SnapshotMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestSnapshot
}

// OldestRecordTime returns when the oldest log record was written that is needed to rebuild the configuration: the newest
// snapshot, else the first record. It is zero when there is neither.
func (s *State) OldestRecordTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newestSnapshot.Offset > 0 {
		return s.newestSnapshot.At
	}
	return s.oldestRecord
}

// Load replaces the configuration by a peer's snapshot, or returns ErrStaleSnapshot when a newer configuration is in force.
func (s *State) Load(w *wire.ConfigSnapshot) error {
	s.mu.Lock()
	err := s.load(w)
	s.unlock(err == nil)
	return err
}

func (s *State) load(w *wire.ConfigSnapshot) error {
	if w.GetOffset() < s.next && !s.acceptsOlder {
		return fmt.Errorf("load snapshot: %w", ErrStaleSnapshot{Have: s.next, Got: w.GetOffset()})
	}
	j, err := decodeSnapshot(w.GetData())
	if err != nil {
		return fmt.Errorf("load snapshot up to offset %d: %w", w.GetOffset(), err)
	}
	if j.Config.Offset > w.GetOffset() {
		return fmt.Errorf("load snapshot up to offset %d: its configuration is at offset %d", w.GetOffset(), j.Config.Offset)
	}
	s.config = j.Config
	s.history = history{}
	for _, c := range j.History {
		s.history.add(c)
	}
	if j.Newest.Offset > s.newestSnapshot.Offset {
		s.newestSnapshot = j.Newest
	}
	if s.oldestRecord.IsZero() || j.Oldest.Before(s.oldestRecord) {
		s.oldestRecord = j.Oldest
	}
	s.next = w.GetOffset()
	s.hasBase = true
	if s.next >= s.gapEnd {
		s.gapEnd = 0
		s.foldPending()
	}
	return nil
}

// TakeSnapshot sets the configuration snapshot in a reply to a peer.
func (s *State) TakeSnapshot(r *wire.SnapshotReply) error {
	w, err := s.Snapshot()
	if err != nil {
		return err
	}
	r.Config, err = proto.Marshal(w)
	if err != nil {
		return fmt.Errorf("take snapshot: %w", err)
	}
	return nil
}

// LoadSnapshot loads the configuration snapshot in a peer's reply; it ignores a stale one.
func (s *State) LoadSnapshot(r *wire.SnapshotReply) error {
	var w wire.ConfigSnapshot
	if err := proto.Unmarshal(r.GetConfig(), &w); err != nil {
		return fmt.Errorf("decode snapshot of a peer: %w", err)
	}
	err := s.Load(&w)
	var older ErrStaleSnapshot
	if errors.As(err, &older) {
		return nil
	}
	return err
}

func (s *State) markSnapshot(e entry) {
	s.newestSnapshot = SnapshotMark{Offset: e.offset, At: e.at}
}

// foldSnapshot compares a snapshot with the configuration in force at the same offset; they should be equal.
//
// A snapshot that covers records beyond its own offset was written after the log lost its newest records; it is loaded.
func (s *State) foldSnapshot(e entry, w *wire.ConfigSnapshot) bool {
	s.markSnapshot(e)
	if w.GetOffset() > s.next {
		s.raise(AlarmTruncated, e.offset, fmt.Sprintf("log lost records up to offset %d; a snapshot contains them", w.GetOffset()-1))
		if err := s.load(w); err != nil {
			s.raise(AlarmSnapshot, e.offset, err.Error())
			return false
		}
		return true
	}
	s.checkSnapshot(e, w)
	return false
}

func (s *State) checkSnapshot(e entry, w *wire.ConfigSnapshot) {
	j, err := decodeSnapshot(w.GetData())
	if err != nil {
		s.raise(AlarmSnapshot, e.offset, err.Error())
		return
	}
	if j.Config.Offset == s.config.Offset && !isSameConfig(j.Config, s.config) {
		s.raise(AlarmSnapshot, e.offset, "snapshot differs from the configuration folded from the records before it")
	}
}

func isSameConfig(a, b Config) bool {
	x, err := json.Marshal(a)
	if err != nil {
		return false
	}
	y, err := json.Marshal(b)
	return err == nil && bytes.Equal(x, y)
}

func encodeSnapshot(j snapshotJSON) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(j); err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return b.Bytes(), nil
}

func decodeSnapshot(b []byte) (snapshotJSON, error) {
	j := snapshotJSON{Config: newConfig()}
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return j, fmt.Errorf("decompress: %w", err)
	}
	l := &io.LimitedReader{R: z, N: maxSnapshotBytes}
	if err := json.NewDecoder(l).Decode(&j); err != nil {
		return j, fmt.Errorf("decode: %w", err)
	}
	c := j.Config
	if c.Profiles == nil || c.Organisations == nil || c.Stops == nil || c.Notices == nil || c.Planned == nil {
		return j, ErrInvalid{Problems: []string{"snapshot lacks the resources of a kind"}}
	}
	return j, nil
}
