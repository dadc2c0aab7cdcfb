package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/hold"
	"github.com/stretchr/testify/require"
)

// TestIdleFitAgreesWithReservations verifies that a shape fits idle workers exactly if they can hold a guaranteed gang of it.
func TestIdleFitAgreesWithReservations(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	fitting := 0
	for range 2000 {
		p := New("north-quay")
		var ws []fleet.Worker
		for i := range 1 + r.IntN(12) {
			w := fleet.Worker{
				Name: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", r.IntN(4)), Domain: "north-quay",
				Slots: 1 + r.IntN(8), Accelerators: r.IntN(9), Processors: 1 + r.IntN(64), Memory: fleet.Bytes(1+r.IntN(64)) * fleet.Gigabyte,
			}
			ws = append(ws, w)
			p.PutWorker(w)
		}
		s := fleet.Shape{
			Tasks: 1 + r.IntN(12), Accelerators: r.IntN(4), Processors: 1 + r.IntN(16), Memory: fleet.Bytes(r.IntN(16)) * fleet.Gigabyte,
			Adjacent: []fleet.Level{fleet.LevelWorker, fleet.LevelRack, fleet.LevelDomain}[r.IntN(3)],
		}
		want := len(hold.Fits(ws, []hold.Need{{Gangs: 1, Shape: s}})) == 0
		require.Equal(t, want, p.fitsIdle(s), "%s on %v", s, ws)
		if want {
			fitting++
		}
	}
	require.Greater(t, fitting, 500)
	require.Less(t, fitting, 1500)
}

// BenchmarkSubmitManyShapes measures the submission of a job of a new shape.
func BenchmarkSubmitManyShapes(b *testing.B) {
	p := New("north-quay")
	p.Configure(profiles(audit))
	for _, w := range workers(55, 20) {
		p.PutWorker(w)
	}
	n := 0
	for b.Loop() {
		n++
		j := job(fmt.Sprintf("j%07d", n), "Gear", "Audit", shape(1, 1, fleet.LevelDomain))
		j.Shape.Memory += fleet.Bytes(n)
		if err := p.Submit(j); err != nil {
			b.Fatal(err)
		}
		p.Cancel([]string{j.ID})
	}
}
