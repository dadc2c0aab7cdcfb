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

// snapshotLimit bounds a decoded snapshot, in bytes.
const snapshotLimit = 64 << 20

// SnapshotMark says which snapshot in the log is the newest.
type SnapshotMark struct {
	// Offset is where the record stands.
	Offset uint64
	At     time.Time
}

type snapshotJSON struct {
	Config  Config
	History []Change
	// Newest and Oldest tell hosts that load the snapshot how long the records that they never saw will last.
	Newest SnapshotMark
	Oldest time.Time
}

// Snapshot returns the configuration in force and the newest changes, or ErrIncomplete.
func (s *State) Snapshot() (*wire.ConfigSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ready(); err != nil {
		return nil, fmt.Errorf("take snapshot: %w", err)
	}
	b, err := encodeSnapshot(snapshotJSON{
		Config:  s.config,
		History: s.history.changes,
		Newest:  s.newest,
		Oldest:  s.oldest,
	})
	if err != nil {
		return nil, fmt.Errorf("take snapshot: %w", err)
	}
	return &wire.ConfigSnapshot{Offset: s.next, Data: b}, nil
}

// NewestSnapshot returns where the newest snapshot stands in the log; its offset is 0 when there is none.
func (s *State) NewestSnapshot() SnapshotMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// KeptSince returns when the oldest record was written that the configuration rests on; zero means that there is none.
func (s *State) KeptSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest.Offset > 0 {
		return s.newest.At
	}
	return s.oldest
}

// Load takes in the snapshot of a peer, or refuses it with ErrOlder when a newer configuration is in force.
func (s *State) Load(w *wire.ConfigSnapshot) error {
	s.mu.Lock()
	err := s.load(w)
	s.unlock(err == nil)
	return err
}

func (s *State) load(w *wire.ConfigSnapshot) error {
	if w.GetOffset() < s.next && !s.revert {
		return fmt.Errorf("load snapshot: %w", ErrOlder{Have: s.next, Got: w.GetOffset()})
	}
	j, err := decodeSnapshot(w.GetData())
	if err != nil {
		return fmt.Errorf("load snapshot up to offset %d: %w", w.GetOffset(), err)
	}
	if j.Config.Offset > w.GetOffset() {
		return fmt.Errorf("load snapshot up to offset %d: holds offset %d", w.GetOffset(), j.Config.Offset)
	}
	s.config = j.Config
	s.history = history{}
	for _, c := range j.History {
		s.history.add(c)
	}
	if j.Newest.Offset > s.newest.Offset {
		s.newest = j.Newest
	}
	if s.oldest.IsZero() || j.Oldest.Before(s.oldest) {
		s.oldest = j.Oldest
	}
	s.next = w.GetOffset()
	s.begun = true
	if s.next >= s.hole {
		s.hole = 0
		s.replay()
	}
	return nil
}

// TakeSnapshot fills in the configuration's part of a reply to a peer.
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

// LoadSnapshot takes in the configuration's part of a peer's reply, unless a newer configuration is in force.
func (s *State) LoadSnapshot(r *wire.SnapshotReply) error {
	var w wire.ConfigSnapshot
	if err := proto.Unmarshal(r.GetConfig(), &w); err != nil {
		return fmt.Errorf("load snapshot of a peer: %w", err)
	}
	err := s.Load(&w)
	var older ErrOlder
	if errors.As(err, &older) {
		return nil
	}
	return err
}

func (s *State) markSnapshot(e entry) {
	s.newest = SnapshotMark{Offset: e.offset, At: e.at}
}

// foldSnapshot compares a snapshot with the configuration in force, which it repeats.
//
// A snapshot from beyond its own place was written because the log had lost its end, and is loaded.
func (s *State) foldSnapshot(e entry, w *wire.ConfigSnapshot) bool {
	s.markSnapshot(e)
	if w.GetOffset() > s.next {
		s.raise(AlarmShort, e.offset, fmt.Sprintf("log lost records up to offset %d; a snapshot repeats them", w.GetOffset()-1))
		if err := s.load(w); err != nil {
			s.raise(AlarmSnapshot, e.offset, err.Error())
			return false
		}
		return true
	}
	s.compare(e, w)
	return false
}

func (s *State) compare(e entry, w *wire.ConfigSnapshot) {
	j, err := decodeSnapshot(w.GetData())
	if err != nil {
		s.raise(AlarmSnapshot, e.offset, err.Error())
		return
	}
	if j.Config.Offset == s.config.Offset && !isSameConfig(j.Config, s.config) {
		s.raise(AlarmSnapshot, e.offset, "snapshot differs from what the records before it gave")
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
	l := &io.LimitedReader{R: z, N: snapshotLimit}
	if err := json.NewDecoder(l).Decode(&j); err != nil {
		return j, fmt.Errorf("decode: %w", err)
	}
	c := j.Config
	if c.Profiles == nil || c.Organisations == nil || c.Stops == nil || c.Notices == nil || c.Planned == nil {
		return j, ErrInvalid{Problems: []string{"snapshot lacks a kind of resource"}}
	}
	return j, nil
}
