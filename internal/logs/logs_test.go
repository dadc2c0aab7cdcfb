package logs_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/auburncleat/auburncleat/internal/logs"
	"github.com/stretchr/testify/require"
)

// stuck is a reader of the log that does not read until it is let go.
type stuck struct {
	bytes.Buffer
	free chan struct{}
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(b)
}

func TestSlowReaderBlocksNobody(t *testing.T) {
	w := &stuck{free: make(chan struct{})}
	k := logs.NewSink(w)
	l := logs.New(k, slog.LevelInfo)
	for range 5000 {
		l.Info("job accepted", "Job", "5c0e7a21d94b36f8")
	}
	require.Positive(t, k.Dropped())
	close(w.free)
	k.Close()
	require.Equal(t, int64(5000), k.Dropped()+int64(strings.Count(w.String(), "\n")))
	l.Info("after the end")
}
