package feed

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/pkg/errors"
)

const (
	// readWait is how long an idle read is held back; the age of what is known grows by it.
	readWait = time.Second
	// retryPause is the time between two reads that fail.
	retryPause = 150 * time.Millisecond
)

// Fold takes what a follower reads.
type Fold struct {
	// Reload replaces what was known before an offset by the newest entries of all keys; nil means to apply each.
	Reload func(es []port.Entry, before int64)
	// Apply takes one entry.
	Apply func(e port.Entry)
	// Caught is called after each answered read; nil means that nobody asks.
	Caught func()
}

// Follower reads a topic from its newest records on.
type Follower struct {
	store port.Store
	topic port.Topic
	fold  Fold
	clock clock.Clock
	log   *slog.Logger
	wait  time.Duration

	mu    sync.Mutex
	pause time.Duration
	next  int64
	// complete is the offset from which on the fold has no gap; it is negative until all keys were read.
	complete int64
	fresh    clock.Instant
	isLost   bool
	changed  chan struct{}
	// isPausing is set between two reads, when the store may hold records that a read would bring.
	isPausing bool
	// asked receives when a pause should end.
	asked chan struct{}
}

// FollowerOption changes how a follower is built.
type FollowerOption func(*Follower)

// WithPause sets the least time between two reads.
func WithPause(d time.Duration) FollowerOption { return func(f *Follower) { f.pause = d } }

// WithWait sets how long an idle read is held back.
func WithWait(d time.Duration) FollowerOption { return func(f *Follower) { f.wait = d } }

// NewFollower returns a follower that Run starts.
func NewFollower(s port.Store, t port.Topic, fold Fold, c clock.Clock, l *slog.Logger, opts ...FollowerOption) *Follower {
	f := &Follower{
		store: s, topic: t, fold: fold, clock: c, log: l, wait: readWait, complete: -1, changed: make(chan struct{}),
		asked: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// SetPause changes the least time between two reads, and ends the present pause.
func (f *Follower) SetPause(d time.Duration) {
	f.mu.Lock()
	f.pause = d
	f.mu.Unlock()
	f.ask()
}

// ask ends the pause between two reads.
func (f *Follower) ask() {
	select {
	case f.asked <- struct{}{}:
	default:
	}
}

// Fresh returns when the last answered read was sent; it is zero until the fold is whole.
func (f *Follower) Fresh() clock.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.complete < 0 || f.next < f.complete {
		return clock.Instant{}
	}
	return f.fresh
}

// WaitFor returns once everything before an offset has been applied.
func (f *Follower) WaitFor(ctx context.Context, offset int64) error {
	for {
		f.mu.Lock()
		ok, changed := f.complete >= 0 && f.next >= max(offset, f.complete), f.changed
		f.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for offset %d of %s: %w", offset, f.topic.Name, ctx.Err())
		}
	}
}

// Refresh returns once a read that was sent after the call, or was held back for want of records, has been answered, or
// patience is over.
func (f *Follower) Refresh(ctx context.Context, patience time.Duration) {
	f.mu.Lock()
	isPausing, changed := f.isPausing, f.changed
	f.mu.Unlock()
	if !isPausing {
		return
	}
	f.ask()
	select {
	case <-changed:
	case <-f.clock.After(patience):
	case <-ctx.Done():
	}
}

// pauseFor waits between two reads, less long when somebody asks for a read.
func (f *Follower) pauseFor(ctx context.Context, d time.Duration) error {
	f.setPausing(true)
	defer f.setPausing(false)
	select {
	case <-f.clock.After(d):
	case <-f.asked:
	case <-ctx.Done():
		return fmt.Errorf("pause: %w", ctx.Err())
	}
	return nil
}

func (f *Follower) setPausing(is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isPausing = is
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	isLoaded := false
	for ctx.Err() == nil {
		var err error
		if !isLoaded {
			err = f.load(ctx)
			isLoaded = err == nil
		} else {
			err = f.read(ctx)
		}
		if errors.Is(err, port.ErrExpired) {
			isLoaded = false
			f.log.Info("records expired before they were read", "Topic", f.topic.Name, "Next", f.next)
			err = nil
		}
		f.note(ctx, err)
		if err != nil {
			err = f.clock.Sleep(ctx, retryPause)
		} else {
			err = f.pauseFor(ctx, f.pauseNow())
		}
		if err != nil {
			break
		}
	}
	return nil
}

func (f *Follower) pauseNow() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pause
}

// note logs when the topic can no longer be read, and when it can again.
func (f *Follower) note(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == f.isLost {
		return
	}
	f.isLost = err != nil
	if err != nil {
		f.log.Warn("dependency lost", "Topic", f.topic.Name, "Next", f.next, "Cause", err.Error())
		return
	}
	f.log.Info("dependency regained", "Topic", f.topic.Name, "Next", f.next)
}

// load reads the newest record of each key.
func (f *Follower) load(ctx context.Context) error {
	sent := f.clock.Instant()
	if !f.topic.IsKeyed {
		return f.seek(ctx)
	}
	first, after := int64(-1), ""
	var es []port.Entry
	for {
		p, err := f.store.Newest(ctx, f.topic, after)
		if err != nil {
			return fmt.Errorf("read newest of %s: %w", f.topic.Name, err)
		}
		es = append(es, p.Entries...)
		if first < 0 {
			first = p.End
		}
		after = p.Next
		if after == "" {
			f.reload(es, first)
			f.advance(first, p.End, sent)
			return nil
		}
	}
}

func (f *Follower) reload(es []port.Entry, before int64) {
	if f.fold.Reload != nil {
		f.fold.Reload(es, before)
		return
	}
	for _, e := range es {
		f.fold.Apply(e)
	}
}

// seek finds the oldest record of a topic without keys.
func (f *Follower) seek(ctx context.Context) error {
	p, err := f.store.Read(ctx, f.topic, 0, 0)
	if err != nil && !errors.Is(err, port.ErrExpired) {
		return fmt.Errorf("find start of %s: %w", f.topic.Name, err)
	}
	f.advance(p.First, p.First, clock.Instant{})
	return nil
}

func (f *Follower) advance(next, complete int64, sent clock.Instant) {
	f.mu.Lock()
	f.next = next
	f.complete = complete
	f.fresh = sent
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	if f.fold.Caught != nil {
		f.fold.Caught()
	}
}

func (f *Follower) read(ctx context.Context) error {
	sent := f.clock.Instant()
	f.mu.Lock()
	next, complete := f.next, f.complete
	f.mu.Unlock()
	p, err := f.store.Read(ctx, f.topic, next, f.wait)
	if err != nil {
		return fmt.Errorf("read %s from %d: %w", f.topic.Name, next, err)
	}
	for _, e := range p.Entries {
		f.fold.Apply(e)
	}
	if n := len(p.Entries); n > 0 {
		next = p.Entries[n-1].Offset + 1
	}
	f.advance(next, complete, sent)
	return nil
}
