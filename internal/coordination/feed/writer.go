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
	// maxBatchBytes bounds the records of one append, below what the store takes in one call.
	maxBatchBytes = 1 << 20
	// appendPause is the time between two tries of an append.
	appendPause = 60 * time.Millisecond
)

// ErrClosed says that the writer takes no more entries.
var ErrClosed = errors.New("writer is closed")

// Item is a group of entries that is appended as a whole.
type Item struct {
	Entries []port.Entry
	// Done hears the offset of the first entry, or that nothing was appended and will not be.
	Done func(first int64, err error)

	isSent bool
}

func (i *Item) size() int {
	n := 0
	for _, e := range i.Entries {
		n += len(e.Key) + len(e.Value) + 5
	}
	return n
}

// Writer appends items in order, many in one call, and repeats what was not answered under the same sequence.
type Writer struct {
	store    port.Store
	topic    port.Topic
	producer string
	epoch    int64
	clock    clock.Clock
	log      *slog.Logger
	sequence int64

	mu      sync.Mutex
	queue   []*Item
	err     error
	waiting time.Time
	// refused is when the store last did nothing; zero once it has taken an append.
	refused time.Time
	wake    chan struct{}
}

// NewWriter returns a writer for one producer and epoch that Run starts.
func NewWriter(s port.Store, t port.Topic, producer string, epoch int64, c clock.Clock, l *slog.Logger) *Writer {
	return &Writer{
		store: s, topic: t, producer: producer, epoch: epoch, clock: c, log: l, sequence: 1, wake: make(chan struct{}, 1),
	}
}

// Submit queues an item; its Done is called once.
func (w *Writer) Submit(i *Item) {
	w.mu.Lock()
	err := w.err
	if err == nil {
		w.queue = append(w.queue, i)
	}
	w.mu.Unlock()
	if err != nil {
		// The caller may hold a lock that Done takes.
		go i.Done(0, err)
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Withdraw takes back an item that was never sent and reports whether it could.
func (w *Writer) Withdraw(i *Item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i.isSent {
		return false
	}
	for k, x := range w.queue {
		if x == i {
			w.queue = append(w.queue[:k:k], w.queue[k+1:]...)
			return true
		}
	}
	return false
}

// Stalled returns for how long an append has been waiting for its answer.
func (w *Writer) Stalled() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting.IsZero() {
		return 0
	}
	return w.clock.Since(w.waiting)
}

// refusalMemory is how long after a refusal the store is taken to refuse again.
const refusalMemory = 400 * time.Millisecond

// Refused returns how long ago the store refused the last append, or zero when it has not, or so long ago that another
// try is worth it.
func (w *Writer) Refused() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	ago := w.clock.Since(w.refused)
	if w.refused.IsZero() || ago > refusalMemory {
		return 0
	}
	return max(ago, 1)
}

// Run appends until ctx ends or the producer is fenced off, and then fails what is left.
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
		b := w.take()
		if len(b) == 0 {
			select {
			case <-w.wake:
				continue
			case <-ctx.Done():
				return ErrClosed
			}
		}
		if err := w.flush(ctx, b); err != nil {
			for _, i := range b {
				i.Done(0, err)
			}
			return err
		}
	}
}

// close fails all items that were not sent.
func (w *Writer) close(err error) {
	w.mu.Lock()
	w.err = err
	q := w.queue
	w.queue = nil
	w.mu.Unlock()
	for _, i := range q {
		i.Done(0, err)
	}
}

// take removes the items of the next append from the queue.
func (w *Writer) take() []*Item {
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
		w.waiting = w.clock.Now()
	}
	return b
}

// putBack returns items that the store did not take to the head of the queue, where they can be withdrawn.
func (w *Writer) putBack(b []*Item) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range b {
		i.isSent = false
	}
	w.waiting, w.refused = time.Time{}, w.clock.Now()
	w.queue = append(b, w.queue...)
}

// flush appends a batch, trying until the store has said what became of it.
func (w *Writer) flush(ctx context.Context, b []*Item) error {
	a := port.Append{Topic: w.topic, Producer: w.producer, Epoch: w.epoch, Sequence: w.sequence}
	for _, i := range b {
		a.Entries = append(a.Entries, i.Entries...)
	}
	if len(a.Entries) == 0 {
		w.answer()
		for _, i := range b {
			i.Done(0, nil)
		}
		return nil
	}
	isOpen := false
	for {
		r, err := w.store.Append(ctx, a)
		switch {
		case err == nil:
			w.sequence++
			w.answer()
			first := r.First
			for _, i := range b {
				i.Done(first, nil)
				first += int64(len(i.Entries))
			}
			return nil
		case errors.Is(err, port.ErrEpoch), errors.Is(err, port.ErrSequence):
			w.log.Warn("appends are refused", "Producer", w.producer, "Epoch", w.epoch, "Cause", err.Error())
			return fmt.Errorf("append to %s: %w", w.topic.Name, err)
		case errors.Is(err, port.ErrNotDone), errors.Is(err, port.ErrUnsent):
			if !isOpen {
				w.putBack(b)
				return w.clock.Sleep(ctx, appendPause)
			}
		default:
			isOpen = true
		}
		if err := w.clock.Sleep(ctx, appendPause); err != nil {
			return fmt.Errorf("append to %s: %w", w.topic.Name, err)
		}
	}
}

func (w *Writer) answer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting, w.refused = time.Time{}, time.Time{}
}
