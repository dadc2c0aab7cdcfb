package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/pkg/errors"
)

// ErrSilent is what a call comes to that the store did not answer.
var ErrSilent = errors.New("store did not answer")

const (
	// repeats is how many of the last appends of a producer the store answers again.
	repeats = 5
	// pageKeys bounds a page of newest records.
	pageKeys = 100
	// silentFor is how long a call hangs that is not answered.
	silentFor = 500 * time.Millisecond
)

// Store is a stand-in for the platform's store, with conditional appends, producers and keyed topics.
type Store struct {
	clock  clock.Clock
	delay  time.Duration
	mu     sync.Mutex
	topics map[string]*topicLog
	grown  chan struct{}
	// Silent hosts get no answer, Refused ones are turned away, and Lossy ones lose the answers of their appends.
	silent  map[string]bool
	refused map[string]bool
	lossy   map[string]bool
	late    time.Duration
}

type topicLog struct {
	first     int64
	records   []port.Entry
	newest    map[string]port.Entry
	producers map[string]*producer
}

type producer struct {
	epoch    int64
	sequence int64
	answers  []answered
}

type answered struct {
	sequence int64
	reply    port.Appended
}

// NewStore returns an empty store that takes the given time for each answer.
func NewStore(c clock.Clock, delay time.Duration) *Store {
	return &Store{
		clock: c, delay: delay, topics: map[string]*topicLog{}, grown: make(chan struct{}),
		silent: map[string]bool{}, refused: map[string]bool{}, lossy: map[string]bool{},
	}
}

// SetSilent has the calls of a host hang, or answers them again.
func (s *Store) SetSilent(host string, is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[host] = is
}

// SetRefused turns the calls of a host away, or serves them again.
func (s *Store) SetRefused(host string, is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[host] = is
}

// SetLossy loses the answers of a host's appends, which are done after the given time.
func (s *Store) SetLossy(host string, is bool, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossy[host] = is
	s.late = late
}

// Expire drops all records of a topic but the newest of each key.
func (s *Store) Expire(t port.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.topic(t)
	x.first += int64(len(x.records))
	x.records = nil
}

// Keys returns the keys of a topic that have a record.
func (s *Store) Keys(t port.Topic) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.topic(t).newest {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// View returns the store as a host reaches it.
func (s *Store) View(host string) port.Store {
	return port.Store{
		Append: func(ctx context.Context, a port.Append) (port.Appended, error) { return s.append(ctx, host, a) },
		Read: func(ctx context.Context, t port.Topic, from int64, wait time.Duration) (port.Entries, error) {
			return s.read(ctx, host, t, from, wait)
		},
		Newest: func(ctx context.Context, t port.Topic, after string) (port.Newest, error) {
			return s.readNewest(ctx, host, t, after)
		},
	}
}

func (s *Store) topic(t port.Topic) *topicLog {
	x := s.topics[t.Name]
	if x == nil {
		x = &topicLog{newest: map[string]port.Entry{}, producers: map[string]*producer{}}
		s.topics[t.Name] = x
	}
	return x
}

func (t *topicLog) end() int64 {
	return t.first + int64(len(t.records))
}

// enter takes the time of a call and reports whether the store serves it.
func (s *Store) enter(ctx context.Context, host string) error {
	if err := s.clock.Sleep(ctx, s.delay); err != nil {
		return err
	}
	s.mu.Lock()
	silent, refused := s.silent[host], s.refused[host]
	s.mu.Unlock()
	if refused {
		return port.ErrNotExecuted
	}
	if !silent {
		return nil
	}
	_ = s.clock.Sleep(ctx, silentFor)
	return ErrSilent
}

func (s *Store) append(ctx context.Context, host string, a port.Append) (port.Appended, error) {
	if err := s.enter(ctx, host); err != nil {
		return port.Appended{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lossy[host] {
		return s.apply(a)
	}
	if s.late == 0 {
		_, _ = s.apply(a)
		return port.Appended{}, ErrSilent
	}
	late := s.late
	go func() {
		_ = s.clock.Sleep(context.Background(), late)
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.apply(a)
	}()
	return port.Appended{}, ErrSilent
}

func (s *Store) apply(a port.Append) (port.Appended, error) {
	t := s.topic(a.Topic)
	if a.IsConditional && a.At != t.end() {
		return port.Appended{End: t.end()}, port.ErrConflict
	}
	var p *producer
	if a.Producer != "" {
		p = t.producers[a.Producer]
		if p == nil {
			p = &producer{epoch: a.Epoch, sequence: a.Sequence - 1}
			t.producers[a.Producer] = p
		}
		if r, ok, err := p.admit(a); ok {
			return r, err
		}
	}
	r := port.Appended{First: t.end()}
	for _, e := range a.Entries {
		e.Offset = t.end()
		t.records = append(t.records, e)
		if a.Topic.IsKeyed {
			t.newest[e.Key] = e
		}
		if a.Topic.IsKeyed && len(e.Value) == 0 {
			delete(t.newest, e.Key)
		}
	}
	r.End = t.end()
	if p != nil && len(a.Entries) > 0 {
		p.sequence = a.Sequence
		p.answers = append(p.answers, answered{a.Sequence, r})
		p.answers = p.answers[max(len(p.answers)-repeats, 0):]
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return r, nil
}

// admit checks epoch and sequence; it reports whether the answer stands without an append.
func (p *producer) admit(a port.Append) (port.Appended, bool, error) {
	if a.Epoch < p.epoch {
		return port.Appended{}, true, port.ErrStaleEpoch
	}
	if a.Epoch > p.epoch {
		*p = producer{epoch: a.Epoch, sequence: a.Sequence - 1}
	}
	if len(a.Entries) == 0 {
		p.sequence = a.Sequence
		return port.Appended{}, false, nil
	}
	for _, x := range p.answers {
		if x.sequence == a.Sequence {
			return x.reply, true, nil
		}
	}
	if a.Sequence != p.sequence+1 {
		return port.Appended{}, true, port.ErrOutOfSequence
	}
	return port.Appended{}, false, nil
}

func (s *Store) read(ctx context.Context, host string, t port.Topic, from int64, wait time.Duration) (port.Entries, error) {
	until := s.clock.Now().Add(wait)
	for {
		if err := s.enter(ctx, host); err != nil {
			return port.Entries{}, err
		}
		s.mu.Lock()
		x, grown := s.topic(t), s.grown
		out := port.Entries{First: x.first, End: x.end()}
		if from < x.first {
			s.mu.Unlock()
			return out, port.ErrExpired
		}
		if from < x.end() {
			out.Entries = slices.Clone(x.records[from-x.first:])
		}
		s.mu.Unlock()
		left := until.Sub(s.clock.Now())
		if len(out.Entries) > 0 || left <= 0 {
			return out, nil
		}
		select {
		case <-grown:
		case <-s.clock.After(left):
		case <-ctx.Done():
			return out, ctx.Err()
		}
	}
}

func (s *Store) readNewest(ctx context.Context, host string, t port.Topic, after string) (port.Newest, error) {
	if err := s.enter(ctx, host); err != nil {
		return port.Newest{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.topic(t)
	var keys []string
	for k := range x.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	out := port.Newest{End: x.end()}
	for _, k := range keys[:min(len(keys), pageKeys)] {
		out.Entries = append(out.Entries, x.newest[k])
	}
	if len(keys) > pageKeys {
		out.Next = keys[pageKeys-1]
	}
	return out, nil
}
