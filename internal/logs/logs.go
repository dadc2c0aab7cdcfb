package logs

import (
	"io"
	"log/slog"
	"sync/atomic"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/pkg/errors"
)

// maxQueuedLines bounds the lines that are queued for a slow writer.
const maxQueuedLines = 2048

// ErrClosed is returned by Write after Close.
var ErrClosed = errors.New("log is closed")

// Sink is a writer that queues lines for another writer. When the queue is full, it drops and counts lines instead of
// blocking.
type Sink struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	closed  atomic.Bool
}

// NewSink returns a sink that writes to w until Close.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run(w)
	return s
}

// New returns a logger that writes JSON lines to the sink and adds the lines that are events to a ring.
func New(s *Sink, l slog.Leveler, r *events.Ring) *slog.Logger {
	return slog.New(NewTimelineHandler(slog.NewJSONHandler(s, &slog.HandlerOptions{Level: l}), r))
}

// Write queues one line, or drops it if the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	if s.closed.Load() {
		return 0, ErrClosed
	}
	b := append([]byte(nil), line...)
	select {
	case s.lines <- b:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

// Close writes the queued lines and stops the sink, which accepts no lines afterwards.
func (s *Sink) Close() {
	if s.closed.Swap(true) {
		return
	}
	s.lines <- nil
	<-s.done
}

func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for b := range s.lines {
		if b == nil {
			return
		}
		if _, err := w.Write(b); err != nil {
			s.dropped.Add(1)
		}
	}
}
