package gang

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// TestObserveIgnoresReportsFromBeforeStart guards against treating a started task as lost because it is missing from a
// report that was requested between prepare and start.
func TestObserveIgnoresReportsFromBeforeStart(t *testing.T) {
	f := newFleet(1)
	g := New(WithResolve(f.resolve))
	j := fleet.Job{ID: "j", Attempt: 1, Shape: fleet.Shape{Tasks: 1, Adjacent: fleet.LevelWorker}}
	a := Attempt{Job: j, Placement: f.place(1, 1)}
	ps, err := g.validateAndSplit(a)
	require.NoError(t, err)
	r := g.addRun(a, ps)
	now := g.clock.Now()
	g.Observe(ps[0].worker, fleet.Report{}, now.Add(time.Millisecond))

	r.resetForStart(now.Add(2 * time.Millisecond))
	_, ended := r.evaluate(now.Add(3 * time.Millisecond))
	require.False(t, ended)
}
