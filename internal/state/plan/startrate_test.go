package plan

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// TestJobDoesNotIdleBehindStartRate guards against accepted jobs that run nothing for as long as the starts of other single tasks use
// up the start rate.
func TestJobDoesNotIdleBehindStartRate(t *testing.T) {
	p := planner(t, workers(2, 4), profiles(audit), WithStartRate(0.01, 1), WithIdleBound(2*time.Second))
	require.NoError(t, p.Submit(job("gang", "Gear", "Audit", shape(5, 8, fleet.LevelDomain))))
	require.NoError(t, p.Submit(job("bulk", "Gear", "Audit", shape(1, 1, fleet.LevelWorker))))
	d := p.Pass(start)
	require.Len(t, d.Starts, 2)
	run(p, d, start)
	require.NoError(t, p.Submit(job("small", "Gear", "Audit", shape(1, 1, fleet.LevelWorker))))
	require.Empty(t, p.Pass(start.Add(time.Millisecond)).Starts)
	require.Equal(t, WaitStarts, p.WaitCause("small"))
	requireStart(t, p, "small", start.Add(2*time.Millisecond))
}
