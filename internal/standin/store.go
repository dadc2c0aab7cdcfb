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

// ErrNoAnswer is returned by a call that the stand-in store or worker did not answer.
var ErrNoAnswer = errors.New("stand-in did not answer")

const (
	// dedupWindow is the number of latest appends of a producer whose answers the store repeats on a retry.
	dedupWindow = 5
	// maxPageKeys bounds a page of newest records.
	maxPageKeys = 100
	// hangDuration is how long an unanswered call hangs before it fails.
	hangDuration = 500 * time.Millisecond
)

// Store is a stand-in for the platform's store, with conditional appends, producers and keyed topics.
type Store struct {
	clock  clock.Clock
	delay  time.Duration
	mu     sync.Mutex
	topics map[string]*topicLog
	// appended is closed and replaced at each append.
	appended chan struct{}
	// Calls of unresponsive hosts hang, calls of rejected hosts fail, and appends of lossy hosts get no answer.
	unresponsive map[string]bool
	rejected     map[string]bool
	lossy        map[string]bool
	appendDelay  time.Duration
}

// topicLog is one topic: its log, and the newest record of each key.
type topicLog struct {
	first     int64
	records   []port.Entry
	newest    map[string]port.Entry
	producers map[string]*producer
}

// producer is the deduplication state of one producer of a topic.
type producer struct {
	epoch    int64
	sequence int64
	replies  []storedReply
}

type storedReply struct {
	sequence int64
	reply    port.Appended
}

// NewStore returns an empty store that delays each answer by the given time.
func NewStore(c clock.Clock, delay time.Duration) *Store {
	return &Store{
		clock: c, delay: delay, topics: map[string]*topicLog{}, appended: make(chan struct{}),
		unresponsive: map[string]bool{}, rejected: map[string]bool{}, lossy: map[string]bool{},
	}
}

// SetUnresponsive sets whether the calls of a host hang without an answer.
func (s *Store) SetUnresponsive(host string, isUnresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive[host] = isUnresponsive
}

// SetRejected sets whether the calls of a host are rejected.
func (s *Store) SetRejected(host string, isRejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[host] = isRejected
}

// SetLossy sets whether the appends of a host get no answer; such an append takes effect after the given delay.
func (s *Store) SetLossy(host string, isLossy bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossy[host] = isLossy
	s.appendDelay = delay
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

// View returns the store port of one host.
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

// SetDelay changes the time by which each answer is delayed.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// beginCall waits for the delay of a call and returns an error if the store does not serve it.
func (s *Store) beginCall(ctx context.Context, host string) error {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if err := s.clock.Sleep(ctx, delay); err != nil {
		return err
	}
	s.mu.Lock()
	isUnresponsive, isRejected := s.unresponsive[host], s.rejected[host]
	s.mu.Unlock()
	if isRejected {
		return port.ErrNotExecuted
	}
	if !isUnresponsive {
		return nil
	}
	_ = s.clock.Sleep(ctx, hangDuration)
	return ErrNoAnswer
}

func (s *Store) append(ctx context.Context, host string, a port.Append) (port.Appended, error) {
	if err := s.beginCall(ctx, host); err != nil {
		return port.Appended{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lossy[host] {
		return s.apply(a)
	}
	if s.appendDelay == 0 {
		_, _ = s.apply(a)
		return port.Appended{}, ErrNoAnswer
	}
	delay := s.appendDelay
	go func() {
		_ = s.clock.Sleep(context.Background(), delay)
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = s.apply(a)
	}()
	return port.Appended{}, ErrNoAnswer
}

func (s *Store) apply(a port.Append) (port.Appended, error) {
	t := s.topic(a.Topic)
	if a.IsConditional && a.At != t.end() {
		return port.Appended{End: t.end()}, port.ErrConflict
	}
	var pr *producer
	if a.Producer != "" {
		pr = t.producers[a.Producer]
		if pr == nil {
			pr = &producer{epoch: a.Epoch, sequence: a.Sequence - 1}
			t.producers[a.Producer] = pr
		}
		if r, ok, err := pr.admit(a); ok {
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
	if pr != nil && len(a.Entries) > 0 {
		pr.sequence = a.Sequence
		pr.replies = append(pr.replies, storedReply{a.Sequence, r})
		pr.replies = pr.replies[max(len(pr.replies)-dedupWindow, 0):]
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return r, nil
}

// admit checks epoch and sequence number; it returns true if the request is answered without an append.
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
	for _, r := range p.replies {
		if r.sequence == a.Sequence {
			return r.reply, true, nil
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
		if err := s.beginCall(ctx, host); err != nil {
			return port.Entries{}, err
		}
		s.mu.Lock()
		x, appended := s.topic(t), s.appended
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
		case <-appended:
		case <-s.clock.After(left):
		case <-ctx.Done():
			return out, ctx.Err()
		}
	}
}

func (s *Store) readNewest(ctx context.Context, host string, t port.Topic, after string) (port.Newest, error) {
	if err := s.beginCall(ctx, host); err != nil {
		return port.Newest{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	tl := s.topic(t)
	var keys []string
	for k := range tl.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	out := port.Newest{End: tl.end()}
	for _, k := range keys[:min(len(keys), maxPageKeys)] {
		out.Entries = append(out.Entries, tl.newest[k])
	}
	if len(keys) > maxPageKeys {
		out.Next = keys[maxPageKeys-1]
	}
	return out, nil
}
