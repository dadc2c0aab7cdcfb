package notice

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/stretchr/testify/require"
)

func TestChangeIsLookedAtWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var looks atomic.Int32
		n := New(WithConfig(func() config.Config {
			looks.Add(1)
			return config.Config{}
		}))
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = n.Run(ctx) }()
		start := time.Now()
		synctest.Wait()
		before := looks.Load()
		n.Changed()
		synctest.Wait()
		require.Greater(t, looks.Load(), before)
		require.Zero(t, time.Since(start))
		stop()
		synctest.Wait()
	})
}
