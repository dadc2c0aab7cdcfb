package cost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// observe records the demand that at returns, every 100 ms.
func observe(d *Demand, from, to time.Duration, at func(t time.Duration) int) {
	for t := from; t < to; t += demandInterval {
		d.Observe(start.Add(t), at(t))
	}
}

// TestLikelyRise verifies the forecast under the loads that it tells apart: a steady one, bursts that come often enough to meet a long
// run but not a short one, a single old burst, and one that has ended.
func TestLikelyRise(t *testing.T) {
	every := func(period time.Duration) func(time.Duration) int {
		return func(t time.Duration) int {
			if t%period < time.Second {
				return 100
			}
			return 20
		}
	}
	cases := map[string]struct {
		demand func(time.Duration) int
		within time.Duration
		want   int
	}{
		"steady load":                     {func(time.Duration) int { return 50 }, 6 * time.Second, 0},
		"bursts meet a long run":          {every(4 * time.Second), 6 * time.Second, 80},
		"bursts miss a short run":         {every(4 * time.Second), time.Second, 0},
		"one burst says little":           {every(time.Hour), 6 * time.Second, 0},
		"no longer than half of the past": {every(12 * time.Second), time.Hour, 80},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var d Demand
			observe(&d, 0, 40*time.Second, c.demand)
			require.Equal(t, c.want, d.LikelyRise(c.within))
		})
	}
}

// TestLikelyRiseForgets verifies that demand which has ended counts no more once the window has passed, and that nothing is forecast
// from too little: a new owner must not hold work back for want of a history.
func TestLikelyRiseForgets(t *testing.T) {
	var d Demand
	require.Zero(t, d.LikelyRise(time.Second))
	d.Observe(start, 10)
	require.Zero(t, d.LikelyRise(time.Second))
	observe(&d, 0, 20*time.Second, func(t time.Duration) int { return int(t/time.Second+1) % 4 })
	require.Positive(t, d.LikelyRise(6*time.Second))
	observe(&d, 20*time.Second, 41*time.Second, func(time.Duration) int { return 0 })
	require.Zero(t, d.LikelyRise(6*time.Second))
	require.LessOrEqual(t, len(d.samples), int(demandWindow/demandInterval)+1)
}
