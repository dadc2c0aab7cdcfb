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
	// defaultPollWait is how long the store may hold a read until it has records. The instant that Fresh
	// returns may be older by this time.
	defaultPollWait = time.Second
	// retryInterval is the time between a failed read and the next one.
	retryInterval = 150 * time.Millisecond
	// skippedLogInterval is the minimum time between two log lines about records that cannot be read.
	skippedLogInterval = 10 * time.Second
)

// Handler holds the functions that a follower passes its entries to.
type Handler struct {
	// Reload replaces the state before an offset by the newest entry of each key. If nil, Apply is called for each
	// entry.
	Reload func(es []port.Entry, before int64)
	// Apply handles one entry.
	Apply func(e port.Entry)
}

// Follower reads a topic continuously. A keyed topic is read from the newest record of each key on, any other topic from
// its oldest record.
type Follower struct {
	store    port.Store
	topic    port.Topic
	handler  Handler
	clock    clock.Clock
	log      *slog.Logger
	pollWait time.Duration

	mu           sync.Mutex
	readInterval time.Duration
	next         int64
	// completeAt is the offset up to which the topic has to be read before the state is complete, since records may be
	// appended while the keys are loaded in several pages. It is negative until the first load.
	completeAt int64
	// confirmedAt is when the newest read was sent whose end the state has reached, and unreached a later read whose end it has not.
	confirmedAt   clock.Instant
	unreached     *readEnd
	isUnavailable bool
	changed       chan struct{}
	// skipped counts the records that could not be read, and skippedLines limits the log lines about them.
	skipped      int
	skippedLines *clock.Limiter
	// isIdle is set between two reads, when the store may have records that were not read.
	isIdle bool
	// readRequested ends the interval between two reads.
	readRequested chan struct{}
}

// readEnd is the end of the topic as a read found it.
type readEnd struct {
	offset int64
	sent   clock.Instant
}

// FollowerOption sets one part of a new Follower.
type FollowerOption func(*Follower)

// WithReadInterval sets the minimum time between two reads.
func WithReadInterval(d time.Duration) FollowerOption {
	return func(f *Follower) { f.readInterval = d }
}

// WithPollWait sets how long the store may hold a read until it has records.
func WithPollWait(d time.Duration) FollowerOption { return func(f *Follower) { f.pollWait = d } }

// NewFollower returns a follower that reads nothing until Run is called.
func NewFollower(s port.Store, t port.Topic, handler Handler, c clock.Clock, l *slog.Logger, opts ...FollowerOption) *Follower {
	f := &Follower{
		store: s, topic: t, handler: handler, clock: c, log: l, pollWait: defaultPollWait, completeAt: -1, changed: make(chan struct{}),
		readRequested: make(chan struct{}, 1), skippedLines: clock.NewLimiter(c, skippedLogInterval),
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// SetReadInterval changes the minimum time between two reads, and skips the current interval or, during a read, the
// next one.
func (f *Follower) SetReadInterval(d time.Duration) {
	f.mu.Lock()
	f.readInterval = d
	f.mu.Unlock()
	f.requestRead()
}

// requestRead ends the interval between two reads.
func (f *Follower) requestRead() {
	select {
	case f.readRequested <- struct{}{}:
	default:
	}
}

// Fresh returns when the last successful read was sent whose records have all been applied, or zero while the state is incomplete.
func (f *Follower) Fresh() clock.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.completeAt < 0 || f.next < f.completeAt {
		return clock.Instant{}
	}
	return f.confirmedAt
}

// WaitForOffset waits until all records before an offset have been applied.
func (f *Follower) WaitForOffset(ctx context.Context, offset int64) error {
	for {
		f.mu.Lock()
		ok, changed := f.completeAt >= 0 && f.next >= max(offset, f.completeAt), f.changed
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

// Refresh starts the next read without waiting for the interval, and waits up to timeout for its result. It returns at
// once when no interval is running: a long poll returns new records as they come, and a failed read is repeated soon.
func (f *Follower) Refresh(ctx context.Context, timeout time.Duration) {
	f.mu.Lock()
	isIdle, changed := f.isIdle, f.changed
	f.mu.Unlock()
	if !isIdle {
		return
	}
	f.requestRead()
	select {
	case <-changed:
	case <-f.clock.After(timeout):
	case <-ctx.Done():
	}
}

// Confirm asks the store where the topic ends, and waits until all records before that have been applied. Without an error the state
// includes all records that were stored before the call.
func (f *Follower) Confirm(ctx context.Context, timeout time.Duration) error {
	x, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.mu.Lock()
	next := f.next
	f.mu.Unlock()
	p, err := f.store.Read(x, f.topic, next, 0)
	if err != nil {
		return fmt.Errorf("find the end of %s: %w", f.topic.Name, err)
	}
	return f.readTo(x, p.End)
}

// ReadTo reads on without waiting for the interval between two reads, until all records before an offset have been applied.
func (f *Follower) ReadTo(ctx context.Context, offset int64, timeout time.Duration) error {
	x, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.readTo(x, offset)
}

func (f *Follower) readTo(ctx context.Context, offset int64) error {
	f.mu.Lock()
	isBehind := f.next < offset
	f.mu.Unlock()
	if isBehind {
		f.requestRead()
	}
	return f.WaitForOffset(ctx, offset)
}

// sleepUntilNextRead waits for the interval between two reads or until a read is requested.
func (f *Follower) sleepUntilNextRead(ctx context.Context, d time.Duration) error {
	f.setIdle(true)
	defer f.setIdle(false)
	select {
	case <-f.clock.After(d):
	case <-f.readRequested:
	case <-ctx.Done():
		return fmt.Errorf("wait for the next read: %w", ctx.Err())
	}
	return nil
}

func (f *Follower) setIdle(isIdle bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isIdle = isIdle
}

// Run reads the topic until ctx ends.
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
		f.logTransition(ctx, err)
		if err != nil {
			err = f.clock.Sleep(ctx, retryInterval)
		} else {
			err = f.sleepUntilNextRead(ctx, f.currentReadInterval())
		}
		if err != nil {
			break
		}
	}
	return nil
}

func (f *Follower) currentReadInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readInterval
}

// logTransition logs when reads of the topic start to fail and when they succeed again.
func (f *Follower) logTransition(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == f.isUnavailable {
		return
	}
	f.isUnavailable = err != nil
	if err != nil {
		f.log.Warn("dependency lost", "Topic", f.topic.Name, "Next", f.next, "Cause", err.Error())
		return
	}
	f.log.Info("dependency regained", "Topic", f.topic.Name, "Next", f.next)
}

// logSkipped logs that the topic holds records which cannot be read, at intervals while more come.
func (f *Follower) logSkipped(n int) {
	f.skipped += n
	if n > 0 && f.skippedLines.Pass() {
		f.log.Warn("skipping unreadable records", "Topic", f.topic.Name, "Skipped", f.skipped)
	}
}

// load reads the newest record of each key.
func (f *Follower) load(ctx context.Context) error {
	sent := f.clock.Instant()
	if !f.topic.IsKeyed {
		return f.loadStart(ctx)
	}
	startOffset, after := int64(-1), ""
	var es []port.Entry
	for {
		p, err := f.store.Newest(ctx, f.topic, after)
		if err != nil {
			return fmt.Errorf("read newest of %s: %w", f.topic.Name, err)
		}
		es = append(es, p.Entries...)
		f.logSkipped(p.Skipped)
		if startOffset < 0 {
			startOffset = p.End
		}
		after = p.Next
		if after == "" {
			f.reload(es, startOffset)
			f.advance(startOffset, p.End, sent)
			return nil
		}
	}
}

func (f *Follower) reload(es []port.Entry, before int64) {
	if f.handler.Reload != nil {
		f.handler.Reload(es, before)
		return
	}
	for _, e := range es {
		f.handler.Apply(e)
	}
}

// loadStart moves to the oldest record of a topic without keys.
func (f *Follower) loadStart(ctx context.Context) error {
	p, err := f.store.Read(ctx, f.topic, 0, 0)
	if err != nil && !errors.Is(err, port.ErrExpired) {
		return fmt.Errorf("find start of %s: %w", f.topic.Name, err)
	}
	f.advance(p.First, p.First, clock.Instant{})
	return nil
}

func (f *Follower) advance(next, completeAt int64, sent clock.Instant) {
	f.mu.Lock()
	f.next = next
	f.completeAt = completeAt
	f.confirmedAt, f.unreached = sent, nil
	f.notifyChange()
	f.mu.Unlock()
}

// notifyChange wakes those that wait for the next read.
func (f *Follower) notifyChange() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// advanceTowards moves the state to an offset after a read, which may have found the end of the topic further on.
func (f *Follower) advanceTowards(next int64, end readEnd) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = next
	switch {
	case next >= end.offset:
		f.confirmedAt, f.unreached = end.sent, nil
	case f.unreached == nil:
		f.unreached = &end
	case next >= f.unreached.offset:
		f.confirmedAt, f.unreached = f.unreached.sent, &end
	}
	f.notifyChange()
}

func (f *Follower) read(ctx context.Context) error {
	sent := f.clock.Instant()
	f.mu.Lock()
	next := f.next
	f.mu.Unlock()
	p, err := f.store.Read(ctx, f.topic, next, f.pollWait)
	if err != nil {
		return fmt.Errorf("read %s from %d: %w", f.topic.Name, next, err)
	}
	for _, e := range p.Entries {
		f.handler.Apply(e)
	}
	f.logSkipped(p.Skipped)
	if n := len(p.Entries); n > 0 {
		next = p.Entries[n-1].Offset + 1
	}
	next = max(next, p.Next)
	f.advanceTowards(next, readEnd{offset: p.End, sent: sent})
	return nil
}
