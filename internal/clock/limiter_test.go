package clock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLimiterPassesOneOfMany guards against a log that is filled, or that misses the first event.
func TestLimiterPassesOneOfMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(System(), 10*time.Second)
		var passed []int
		for i := range 25 {
			if l.Pass() {
				passed = append(passed, i)
			}
			time.Sleep(time.Second)
		}
		require.Equal(t, []int{0, 10, 20}, passed)
	})
}
