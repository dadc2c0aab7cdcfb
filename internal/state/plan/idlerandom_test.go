package plan

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	idleSeeds = flag.Int("idle.seeds", 12, "number of random failure domains that TestNoJobIdlesBesideRoom plays")
	idleFirst = flag.Uint64("idle.first", 0, "first seed of TestNoJobIdlesBesideRoom")
)

// idlePlay is how long a random failure domain is played.
const idlePlay = 20 * time.Second

// TestNoJobIdlesBesideRoom guards against accepted jobs that have nothing placed for seconds beside room for two of them, in random
// failure domains with random work, slow stops and workers that fail, refuse, leave or do not answer; also where less urgent work is held
// back for the cost of a delay.
func TestNoJobIdlesBesideRoom(t *testing.T) {
	for i := range *idleSeeds {
		seed := *idleFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			require.Empty(t, newIdleSim(seed).play(idlePlay))
			s := newIdleSim(seed)
			With(DelayCost)(s.p)
			require.Empty(t, s.play(idlePlay))
		})
	}
}

// TestNoJobIdlesOnUnevenWorkers guards the same where speeds are taken into account: room on workers that do not suit a job is no
// reason to let it idle.
func TestNoJobIdlesOnUnevenWorkers(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newIdleSim(seed)
			With(Speeds)(s.p)
			for i, w := range s.workers {
				s.p.SetSlowness(w.Name, []float64{0, 1, 0.6, 1.6}[(uint64(i)+seed)%4])
			}
			require.Empty(t, s.play(idlePlay))
		})
	}
}
