package logs

import (
	"io"
	"log/slog"
	"sync/atomic"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/pkg/errors"
)

// maxLines bounds the lines that wait for a slow reader.
const maxLines = 2048

// ErrClosed says that the sink takes no more lines.
var ErrClosed = errors.New("log is closed")

// Sink passes lines on to a writer from a goroutine of its own, and drops and counts what does not fit.
type Sink struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	closed  atomic.Bool
}

// NewSink returns a sink that writes until Close.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxLines), done: make(chan struct{})}
	go s.run(w)
	return s
}

// New returns a logger of JSON lines into the sink, whose events go to a ring as well.
func New(s *Sink, l slog.Leveler, r *events.Ring) *slog.Logger {
	return slog.New(NewTimeline(slog.NewJSONHandler(s, &slog.HandlerOptions{Level: l}), r))
}

// Write queues one line, or drops it when too many wait.
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

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

// Close writes what waits; nothing may be logged afterwards.
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
