package feed

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/stretchr/testify/require"
)

// TestUnreadableRecordsArePassed guards against a follower that reads the same unreadable record again and again, or logs each.
func TestUnreadableRecordsArePassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const end = 100
		var reads []int64
		read := func(ctx context.Context, _ port.Topic, from int64, wait time.Duration) (port.Entries, error) {
			reads = append(reads, from)
			if from == end {
				_ = clock.System().Sleep(ctx, wait)
				return port.Entries{End: end}, nil
			}
			return port.Entries{End: end, Skipped: 1, Next: from + 1}, nil
		}
		var logs strings.Builder
		f := NewFollower(port.Store{Read: read}, port.Topic{Name: "t"}, Handler{}, clock.System(), slog.New(slog.NewTextHandler(&logs, nil)))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		require.NoError(t, f.Run(ctx))
		require.Less(t, len(reads), end+10)
		require.Equal(t, int64(end), reads[len(reads)-1])
		require.False(t, f.Fresh().IsZero())
		require.Equal(t, 1, strings.Count(logs.String(), "skipping unreadable records"))
	})
}
