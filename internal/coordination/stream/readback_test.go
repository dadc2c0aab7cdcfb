package stream

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/stretchr/testify/require"
)

// appendDeadline is less than the time that an ownership claim has to be appended and read back.
const appendDeadline = time.Second

// A long poll on a half-open connection never returns. An append that the log has acknowledged must still be read back
// in time, by a new read.
func TestStreamReadsBackOverHalfOpenConnection(t *testing.T) {
	runBoth(t, "read is repeated", "read-back check disabled", func(t *testing.T, c *cluster, mutate bool) {
		l := c.log.Port()
		var isHalfOpen atomic.Bool
		read := l.Read
		l.Read = func(ctx context.Context, from uint64, limit int, wait time.Duration) (port.Page, error) {
			if wait > 0 && isHalfOpen.Load() {
				<-ctx.Done()
				return port.Page{}, ctx.Err()
			}
			return read(ctx, from, limit, wait)
		}
		x := c.start(WithLog(l))
		x.disableReadBackCheck = mutate
		c.append(x, "a")
		isHalfOpen.Store(true)
		c.sleep(time.Minute)
		ctx, cancel := context.WithTimeout(c.ctx, appendDeadline)
		defer cancel()
		_, err := x.Append(ctx, &wire.Record{Id: "b"})
		if mutate {
			require.ErrorIs(t, err, ErrOutcomeUnknown)
			return
		}
		require.NoError(t, err)
		require.Equal(t, []string{"a", "b"}, x.ids)
	})
}
