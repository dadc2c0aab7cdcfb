package logs_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/logs"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/stretchr/testify/require"
)

// blockedWriter blocks all writes until unblock is closed.
type blockedWriter struct {
	bytes.Buffer
	unblock chan struct{}
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(b)
}

func TestSlowWriterDoesNotBlockLogging(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	k := logs.NewSink(w)
	l := logs.New(k, slog.LevelInfo, events.NewRing("h", 10, events.NewClock(time.Now)))
	for range 5000 {
		l.Info("job accepted", "Job", "5c0e7a21d94b36f8")
	}
	require.Positive(t, k.Dropped())
	close(w.unblock)
	k.Close()
	require.Equal(t, int64(5000), k.Dropped()+int64(strings.Count(w.String(), "\n")))
	l.Info("after the end")
}

func TestLinesOfEventsAreAddedToTimeline(t *testing.T) {
	r := events.NewRing("h", 10, events.NewClock(time.Now))
	l := slog.New(logs.NewTimelineHandler(slog.DiscardHandler, r)).With("Host", "h")
	l.Info("unit starts", "Job", "j", "Run", 2)
	l.Info("queue status", "Queued", 3)
	l.Warn("worker is silent", "Worker", "w")
	es, _ := r.Find(events.Filter{})
	require.Len(t, es, 2)
	require.Equal(t, events.JobPlaced, es[0].Kind)
	require.Equal(t, "j", es[0].Job)
	require.Equal(t, "unit starts, Run 2", es[0].Text)
	require.Equal(t, "w", es[1].Worker)
}
