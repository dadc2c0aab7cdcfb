package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// idleBound is how long an accepted job may have nothing running while the workers have room for it twice over.
const idleBound = 3 * time.Second

// requireStart makes passes every 50 ms until the job starts, and fails if that takes longer than idleBound.
func requireStart(t *testing.T, p *Planner, id string, at time.Time) {
	t.Helper()
	for now := at; !now.After(at.Add(idleBound)); now = now.Add(50 * time.Millisecond) {
		for _, s := range p.Pass(now).Starts {
			p.Started(s.Job.ID, now)
			if s.Job.ID == id {
				return
			}
		}
		require.True(t, p.FitsTwice(id), "%s no longer fits twice, %v after the first pass", id, now.Sub(at))
	}
	s, err := p.Status(id)
	require.NoError(t, err)
	t.Fatalf("%s is still queued after %v beside room for two of it: %s, %s", id, idleBound, p.WaitCause(id), s.Reason)
}

// TestJobDoesNotIdleBesideHeadroom guards against accepted jobs that run nothing for as long as the headroom for urgent work
// takes to decay.
func TestJobDoesNotIdleBesideHeadroom(t *testing.T) {
	p := planner(t, workers(6, 8), profiles(audit, urgent), WithHeadroom(10*time.Second, 1))
	whole := shape(1, 8, fleet.LevelWorker)
	for i := range 30 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("long%02d", i), "Gear", "Audit", whole)))
	}
	for i := range 18 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("burst%02d", i), "CW", "Urgent", whole)))
	}
	d := p.Pass(start)
	require.Len(t, d.Starts, 48)
	run(p, d, start)
	at := start.Add(time.Second)
	for i := range 18 {
		p.Ended(Ended{Job: fmt.Sprintf("burst%02d", i), Result: ResultDone, At: at})
	}
	for i := range 8 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("late%02d", i), "Gear", "Audit", whole)))
	}
	d = p.Pass(at)
	require.Len(t, d.Starts, 8)
	run(p, d, at)
	j := volatile("small", "Audit", whole)
	j.Submitted = at
	require.NoError(t, p.Submit(j))
	requireStart(t, p, "small", at)
}
