package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// TestEvacuatedRoomIsNoCapacity guards against room of an evacuated failure domain that counts as capacity, headroom or idle room: the
// planner would take its work for stalled, and start too much elsewhere.
func TestEvacuatedRoomIsNoCapacity(t *testing.T) {
	ws := workers(6, 8)
	for i := range ws {
		ws[i].Domain = []string{"a", "b"}[i%2]
	}
	evacuated := map[string]bool{}
	p := planner(t, ws, profiles(audit, urgent), WithHeadroom(10*time.Second, 1), WithIdleBound(2*time.Second))
	p.SetEvacuated(func(d string) bool { return evacuated[d] })
	whole := shape(1, 8, fleet.LevelWorker)
	total := len(ws)
	for i := range total {
		require.NoError(t, p.Submit(job(fmt.Sprintf("long%02d", i), "Gear", "Audit", whole)))
	}
	d := p.Pass(start)
	require.Len(t, d.Starts, total)
	run(p, d, start)
	evacuated["a"] = true
	at := start.Add(time.Second)
	for i := range total {
		p.Ended(Ended{Job: fmt.Sprintf("long%02d", i), Result: ResultDone, At: at})
	}
	for i := range total {
		require.NoError(t, p.Submit(job(fmt.Sprintf("next%02d", i), "Gear", "Audit", whole)))
	}
	for now := at; now.Before(at.Add(4 * time.Second)); now = now.Add(50 * time.Millisecond) {
		d = p.Pass(now)
		for _, s := range d.Starts {
			require.Equal(t, "b", p.ledger.Get(s.Placement[0].Worker).Worker.Domain)
		}
		run(p, d, now)
	}
	used, open := p.Load()
	require.Equal(t, 8*total/2, open.Accelerators)
	require.Equal(t, open.Accelerators, used.Accelerators)
	require.Equal(t, open.Accelerators, p.capacity.Accelerators)
	require.Len(t, p.headrooms, 1)
	for _, h := range p.headrooms {
		require.Zero(t, h.free)
	}
	require.False(t, p.FitsTwice(fmt.Sprintf("next%02d", total-1)))
	evacuated["a"] = false
	require.Len(t, p.Pass(at.Add(5*time.Second)).Starts, total/2)
}
