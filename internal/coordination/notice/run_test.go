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

// TestConfigChangeRunsPassAtOnce checks that Changed wakes Run without waiting for the next interval.
func TestConfigChangeRunsPassAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var configReads atomic.Int32
		n := New(WithConfig(func() config.Config {
			configReads.Add(1)
			return config.Config{}
		}))
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = n.Run(ctx) }()
		start := time.Now()
		synctest.Wait()
		before := configReads.Load()
		n.Changed()
		synctest.Wait()
		require.Greater(t, configReads.Load(), before)
		require.Zero(t, time.Since(start))
		stop()
		synctest.Wait()
	})
}
