package plan

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// TestJobDoesNotIdleBesideAvoidedWorkers guards against jobs that run nothing because the only workers with room are avoided for a
// while.
func TestJobDoesNotIdleBesideAvoidedWorkers(t *testing.T) {
	ws := workers(1, 4)
	p := planner(t, ws, profiles(audit), WithIdleBound(2*time.Second))
	for _, w := range ws[:2] {
		w.Avoided = true
		p.PutWorker(w)
	}
	require.NoError(t, p.Submit(job("long", "Gear", "Audit", shape(2, 8, fleet.LevelDomain))))
	d := p.Pass(start)
	require.Len(t, d.Starts, 1)
	require.ElementsMatch(t, []fleet.Assignment{{Task: 0, Worker: "w002"}, {Task: 1, Worker: "w003"}}, d.Starts[0].Placement)
	run(p, d, start)
	require.NoError(t, p.Submit(job("next", "Gear", "Audit", shape(1, 8, fleet.LevelWorker))))
	require.Empty(t, p.Pass(start).Starts)
	requireStart(t, p, "next", start.Add(time.Millisecond))
}
