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

// readBackTarget is within the time that a claim has for its append and the reading back.
const readBackTarget = time.Second

func TestStreamReadsBackOverASilentConnection(t *testing.T) {
	runBoth(t, "reads again", "waits for the read", func(t *testing.T, b *bench, mutate bool) {
		l := b.log.Port()
		var isSilent atomic.Bool
		read := l.Read
		l.Read = func(ctx context.Context, from uint64, limit int, wait time.Duration) (port.Page, error) {
			if wait > 0 && isSilent.Load() {
				<-ctx.Done()
				return port.Page{}, ctx.Err()
			}
			return read(ctx, from, limit, wait)
		}
		x := b.start(WithLog(l))
		x.waitsForRead = mutate
		b.append(x, "a")
		isSilent.Store(true)
		b.sleep(time.Minute)
		ctx, cancel := context.WithTimeout(b.ctx, readBackTarget)
		defer cancel()
		_, err := x.Append(ctx, &wire.Record{Id: "b"})
		if mutate {
			require.ErrorIs(t, err, ErrUnknown)
			return
		}
		require.NoError(t, err)
		require.Equal(t, []string{"a", "b"}, x.ids)
	})
}
