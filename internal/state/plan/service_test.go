package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// ofServices returns workers of two services in turn.
func ofServices(ws []fleet.Worker) []fleet.Worker {
	for i := range ws {
		ws[i].Service = []string{"s0", "s1"}[i%2]
	}
	return ws
}

// withService returns a profile under a name of its own, whose jobs run on a service.
func withService(x config.Profile, name, service string) config.Profile {
	x.Name, x.Service = name, service
	return x
}

// TestServicesAreNotMixed guards against work that is held back, or that stops other work, for room that it can't use: urgent work of
// one service fills it, and quiet work of another has free workers.
func TestServicesAreNotMixed(t *testing.T) {
	ps := profiles(withService(audit, "A0", "s0"), withService(audit, "A1", "s1"), withService(urgent, "U0", "s0"), withService(urgent, "U1", "s1"))
	p := planner(t, ofServices(workers(1, 2)), ps, WithHeadroom(10*time.Second, 1))
	for i := range 3 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("burst%d", i), "CW", "U0", shape(1, 8, fleet.LevelDomain))))
	}
	for i := range 8 {
		require.NoError(t, p.Submit(volatile(fmt.Sprintf("v%d", i), "A1", shape(1, 1, fleet.LevelDomain))))
	}
	d := p.Pass(start)
	require.Len(t, d.Starts, 1+8)
	for _, s := range d.Starts {
		want := "s0"
		if s.Job.Profile == "A1" {
			want = "s1"
		}
		require.Equal(t, want, p.ledger.Get(s.Placement[0].Worker).Worker.Service, "%s", s.Job.ID)
	}
	run(p, d, start)
	require.Empty(t, p.Pass(start.Add(time.Minute)).Stops, "urgent work of another service stops nothing")
	require.NoError(t, p.Submit(job("late", "CW", "U1", shape(1, 8, fleet.LevelDomain))))
	require.NotEmpty(t, p.Pass(start.Add(2*time.Minute)).Stops, "urgent work of the same service does")
}

// TestAdjacencyCountsOneService guards against a gang that waits for a rack which only workers of several services together would fill.
func TestAdjacencyCountsOneService(t *testing.T) {
	p := planner(t, ofServices(workers(1, 2)), profiles(withService(audit, "A0", "s0")))
	s := shape(2, 8, fleet.LevelRack)
	require.True(t, p.FitsEmptyRack(s, ""))
	require.False(t, p.FitsEmptyRack(s, "s0"))
	require.True(t, p.FitsEmptyRack(shape(1, 8, fleet.LevelRack), "s0"))
}
