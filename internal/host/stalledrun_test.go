package host

import (
	"fmt"
	"testing"
	"time"
)

// TestNoJobStallsWithoutFaults guards against accepted jobs that have nothing running while there is room for them twice over.
func TestNoJobStallsWithoutFaults(t *testing.T) {
	for _, share := range []float64{0.5, 0.8, 1.0} {
		calm, jobs, longest := 0, 0, time.Duration(0)
		for seed := range uint64(*stallSeeds) {
			t.Run(fmt.Sprintf("seed %d load %.1f", seed, share), func(t *testing.T) {
				runMixedSite(t, seed, *stallWorkers, share, largeLimits, func(x *mixedSite) {
					x.load.advance(40 * time.Second)
					jobs += len(x.m.jobs)
					for _, y := range x.m.findStalls(maxStall) {
						if longest = max(longest, y.to.Sub(y.from)); y.isCalm {
							calm++
							t.Errorf("%s", y)
						}
					}
				})
			})
		}
		t.Logf("load %.1f: %d jobs, %d stalled while calm, longest %s", share, jobs, calm, longest)
	}
}
