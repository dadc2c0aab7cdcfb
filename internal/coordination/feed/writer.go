package feed

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/pkg/errors"
)

const (
	// maxBatchBytes limits the size of one append; it is less than the limit of the store.
	maxBatchBytes = 1 << 20
	// appendRetryInterval is the time between two attempts of an append.
	appendRetryInterval = 60 * time.Millisecond
)

// ErrClosed reports that the writer accepts no more entries.
var ErrClosed = errors.New("writer is closed")

// ErrOutcomeUnknown reports that the writer has given up entries without an answer, which may have been appended before and will not be any more.
var ErrOutcomeUnknown = errors.New("entries have no outcome")

// ErrWithdrawn reports that withdrawn entries were not appended.
var ErrWithdrawn = errors.New("entries were withdrawn")

// errRequeued reports that the writer has ended while a batch was back in the queue.
var errRequeued = errors.New("batch was not appended and is queued again")

// EntryGroup is a group of entries that is appended atomically.
type EntryGroup struct {
	Entries []port.Entry
	// Done is called with the offset of the first entry, or with an error: ErrWithdrawn, ErrOutcomeUnknown, or the one that ended the
	// writer. If ctx ended while an append had no answer, the entries may have been appended.
	Done func(first int64, err error)

	// isSent is set while the entries may be, or may have been, appended.
	isSent bool
	// isWithdrawn is set once the entries need not be appended.
	isWithdrawn bool
	submitted   clock.Instant
}

func (g *EntryGroup) size() int {
	n := 0
	for _, e := range g.Entries {
		// 5 bytes for the length prefixes of record and key.
		n += len(e.Key) + len(e.Value) + 5
	}
	return n
}

// Writer appends groups of entries in order and in batches. A batch without an answer is repeated under the same sequence number,
// so that the store can recognise the repeat, until it is too old.
type Writer struct {
	store    port.Store
	topic    port.Topic
	producer string
	epoch    int64
	clock    clock.Clock
	log      *slog.Logger
	sequence int64
	// maxAge is the age from which on entries are not repeated; zero means that they are repeated for ever.
	maxAge time.Duration

	mu          sync.Mutex
	queue       []*EntryGroup
	err         error
	appendSince time.Time
	// refusedAt is when an append was last refused or not sent; zero after a successful one.
	refusedAt time.Time
	wake      chan struct{}
}

// WriterOption sets one part of a new Writer.
type WriterOption func(*Writer)

// WithMaxAge makes the writer give up entries without an answer that are older, and raise its epoch so that the store does not append them later.
func WithMaxAge(d time.Duration) WriterOption {
	return func(w *Writer) { w.maxAge = d }
}

// NewWriter returns a writer for one producer, from an epoch on, which appends nothing until Run is called.
func NewWriter(s port.Store, t port.Topic, producer string, epoch int64, c clock.Clock, l *slog.Logger, opts ...WriterOption) *Writer {
	w := &Writer{
		store: s, topic: t, producer: producer, epoch: epoch, clock: c, log: l, sequence: 1, wake: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Submit queues groups, which go into one append if they fit. The Done of each is called once unless Withdraw has removed the group.
func (w *Writer) Submit(gs ...*EntryGroup) {
	now := w.clock.Instant()
	for _, g := range gs {
		g.submitted = now
	}
	w.mu.Lock()
	err := w.err
	if err == nil {
		w.queue = append(w.queue, gs...)
	}
	w.mu.Unlock()
	if err != nil {
		for _, g := range gs {
			// The caller may hold a lock that Done acquires.
			go g.Done(0, err)
		}
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Withdraw removes a group from the queue and reports whether it did. A group that may have been appended is not removed; it is not
// sent again if the store shows that it was not.
func (w *Writer) Withdraw(g *EntryGroup) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	g.isWithdrawn = true
	if g.isSent {
		return false
	}
	for k, x := range w.queue {
		if x == g {
			w.queue = append(w.queue[:k:k], w.queue[k+1:]...)
			return true
		}
	}
	return false
}

// Stalled returns how long the current append has been without an answer, or zero if no append is running.
func (w *Writer) Stalled() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.appendSince.IsZero() {
		return 0
	}
	return w.clock.Since(w.appendSince)
}

// refusalWindow is the time after a refusal in which the next append is expected to be refused as well.
const refusalWindow = 400 * time.Millisecond

// Refused returns the time since an append was last refused or not sent. It returns zero if an append has succeeded since,
// or if that time is longer than refusalWindow.
func (w *Writer) Refused() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	ago := w.clock.Since(w.refusedAt)
	if w.refusedAt.IsZero() || ago > refusalWindow {
		return 0
	}
	return max(ago, 1)
}

// Run appends until ctx ends or the store rejects the producer's epoch or sequence, and then fails all queued
// groups.
func (w *Writer) Run(ctx context.Context) error {
	err := w.run(ctx)
	w.close(err)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (w *Writer) run(ctx context.Context) error {
	for {
		b := w.nextBatch()
		if len(b) == 0 {
			select {
			case <-w.wake:
				continue
			case <-ctx.Done():
				return ErrClosed
			}
		}
		err := w.appendBatch(ctx, b)
		if errors.Is(err, errRequeued) {
			return ErrClosed
		}
		if err != nil {
			for _, g := range b {
				g.Done(0, err)
			}
			return err
		}
	}
}

// close fails all queued groups and makes Submit fail with err.
func (w *Writer) close(err error) {
	w.mu.Lock()
	w.err = err
	q := w.queue
	w.queue = nil
	w.mu.Unlock()
	for _, g := range q {
		g.Done(0, err)
	}
}

// nextBatch removes the groups of the next append from the queue; a group larger than maxBatchBytes is sent alone.
func (w *Writer) nextBatch() []*EntryGroup {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(w.queue) {
		size += w.queue[n].size()
		if n > 0 && size > maxBatchBytes {
			break
		}
		w.queue[n].isSent = true
		n++
	}
	b := w.queue[:n:n]
	w.queue = w.queue[n:]
	if n > 0 {
		w.appendSince = w.clock.Now()
	}
	return b
}

// requeue returns groups that were certainly not appended to the head of the queue, where they can be withdrawn, and ends those that are
// withdrawn already.
func (w *Writer) requeue(b []*EntryGroup) {
	w.mu.Lock()
	var kept, withdrawn []*EntryGroup
	for _, g := range b {
		g.isSent = false
		if g.isWithdrawn {
			withdrawn = append(withdrawn, g)
			continue
		}
		kept = append(kept, g)
	}
	w.appendSince, w.refusedAt = time.Time{}, w.clock.Now()
	w.queue = append(kept, w.queue...)
	w.mu.Unlock()
	for _, g := range withdrawn {
		g.Done(0, ErrWithdrawn)
	}
}

// appendBatch repeats the append of a batch until its outcome is known. A batch that was refused or not sent goes back
// to the queue, unless an earlier attempt may have appended it.
func (w *Writer) appendBatch(ctx context.Context, b []*EntryGroup) error {
	a := port.Append{Topic: w.topic, Producer: w.producer, Epoch: w.epoch, Sequence: w.sequence}
	for _, g := range b {
		a.Entries = append(a.Entries, g.Entries...)
	}
	if len(a.Entries) == 0 {
		w.markAnswered()
		for _, g := range b {
			g.Done(0, nil)
		}
		return nil
	}
	isOutcomeUnknown := false
	for {
		r, err := w.store.Append(ctx, a)
		switch {
		case err == nil:
			w.sequence++
			w.markAnswered()
			first := r.First
			for _, g := range b {
				g.Done(first, nil)
				first += int64(len(g.Entries))
			}
			return nil
		case errors.Is(err, port.ErrStaleEpoch), errors.Is(err, port.ErrOutOfSequence):
			w.log.Warn("store rejected the producer", "Producer", w.producer, "Epoch", w.epoch, "Cause", err.Error())
			return fmt.Errorf("append to %s: %w", w.topic.Name, err)
		case errors.Is(err, port.ErrNotExecuted), errors.Is(err, port.ErrUnsent):
			if !isOutcomeUnknown {
				w.requeue(b)
				if w.clock.Sleep(ctx, appendRetryInterval) != nil {
					return errRequeued
				}
				return nil
			}
		default:
			isOutcomeUnknown = true
		}
		if err := w.clock.Sleep(ctx, appendRetryInterval); err != nil {
			return fmt.Errorf("append to %s: %w", w.topic.Name, err)
		}
		if isOutcomeUnknown && w.isTooOld(b) {
			return w.giveUp(ctx, b)
		}
	}
}

// isTooOld reports whether a group of a batch is too old to be sent again.
func (w *Writer) isTooOld(b []*EntryGroup) bool {
	return w.maxAge > 0 && slices.ContainsFunc(b, func(g *EntryGroup) bool { return w.clock.Age(g.submitted) > w.maxAge })
}

// giveUp raises the epoch, so that the store appends nothing of a batch any more, and ends the groups of the batch without an outcome.
func (w *Writer) giveUp(ctx context.Context, b []*EntryGroup) error {
	next := w.epoch + 1
	for {
		_, err := w.store.Append(ctx, port.Append{Topic: w.topic, Producer: w.producer, Epoch: next})
		if err == nil {
			break
		}
		if errors.Is(err, port.ErrStaleEpoch) || w.clock.Sleep(ctx, appendRetryInterval) != nil {
			return fmt.Errorf("raise epoch at %s: %w", w.topic.Name, err)
		}
	}
	w.log.Info("entries without an outcome given up", "Producer", w.producer, "Epoch", next, "Groups", len(b),
		"Age", w.clock.Age(b[0].submitted).Round(time.Millisecond).String())
	w.epoch, w.sequence = next, 1
	w.markAnswered()
	for _, g := range b {
		g.Done(0, ErrOutcomeUnknown)
	}
	return nil
}

func (w *Writer) markAnswered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appendSince, w.refusedAt = time.Time{}, time.Time{}
}
