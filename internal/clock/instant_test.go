package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAgeIncludesSuspensions guards against ages that leave out suspensions of the machine.
func TestAgeIncludesSuspensions(t *testing.T) {
	now, slept := time.Unix(1000, 0), time.Minute
	c := Clock{Now: func() time.Time { return now }, Suspended: func() time.Duration { return slept }}
	i := c.Instant()
	now = now.Add(time.Second)
	require.Equal(t, time.Second, c.Age(i))
	slept += 20 * time.Second
	require.Equal(t, 21*time.Second, c.Age(i))
	require.True(t, Instant{}.IsZero())
	require.False(t, i.IsZero())
}

// TestAgeOnSystemClock checks that the age on the system clock does not jump without a suspension.
func TestAgeOnSystemClock(t *testing.T) {
	c := System()
	i := c.Instant()
	require.InDelta(t, 0, c.Age(i), float64(time.Second))
}
