package dedup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHostThatStartsWithoutTheLogReadsItLater(t *testing.T) {
	inCluster(t, 1, disabledMechanisms{}, func(c *fakeCluster, _, b, _ *fakeHost) {
		c.setLog(false)
		b.stop()
		time.Sleep(30 * time.Second)
		c.setCut(func(x, y string) bool { return x == "h2" || y == "h2" })
		h := c.start("h2")
		h.own(7)
		require.True(t, isMissing(h.claim("j1", "k")))
		h.setLog(true)
		time.Sleep(3 * time.Second)
		require.True(t, isMissing(h.claim("j2", "k")))
		require.False(t, h.ledger.IsComplete())
	})
}
