package place

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid so that every run checks the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func drawLedger(t *rapid.T) *Ledger {
	b := New()
	for r := range rapid.IntRange(1, 3).Draw(t, "racks") {
		for w := range rapid.IntRange(1, 3).Draw(t, "workers") {
			n := fmt.Sprintf("w%d%d", r, w)
			b.Put(fleet.Worker{Name: n, Rack: fmt.Sprintf("r%d", r), Slots: 4, Accelerators: 4})
			k := rapid.IntRange(0, 4).Draw(t, "used")
			b.Get(n).Used = Resources{Slots: k, Accelerators: k}
		}
	}
	return b
}

func drawTarget(t *rapid.T) fleet.Shape {
	return fleet.Shape{
		Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), Accelerators: 1,
		Adjacent: rapid.SampledFrom([]fleet.Level{fleet.LevelWorker, fleet.LevelRack}).Draw(t, "level"),
	}
}

// loss returns the weighted accelerators that the targets lose if a gang takes the sites, recomputed from all sites.
func loss(b *Ledger, ts []Target, n Resources, sites []*Site) float64 {
	count := func() float64 {
		x := 0.0
		for _, t := range ts {
			for _, r := range b.racks {
				b.count(r, t, (*Site).Free)
				for _, s := range r.Sites {
					x += t.Weight * float64(t.usable(s.fit, r.fit, 0))
				}
			}
		}
		return x
	}
	before := count()
	for _, s := range sites {
		s.Used = s.Used.Plus(n)
	}
	after := count()
	for _, s := range sites {
		s.Used = s.Used.Minus(n)
	}
	return before - after
}

// minLoss tries every placement of a gang in one rack, or on one worker, and returns the smallest loss.
func minLoss(b *Ledger, ts []Target, s fleet.Shape) (float64, bool) {
	best, found := 0.0, false
	n := TaskResources(s)
	var try func(left []*Site, sites []*Site)
	try = func(left []*Site, sites []*Site) {
		if len(sites) == s.Tasks {
			if x := loss(b, ts, n, sites); !found || x < best {
				best, found = x, true
			}
			return
		}
		if len(left) == 0 {
			return
		}
		for k := 0; k <= min(left[0].Free().Holds(n), s.Tasks-len(sites)); k++ {
			try(left[1:], append(sites[:len(sites):len(sites)], repeat(left[0], k)...))
		}
	}
	for _, r := range b.racks {
		if s.Adjacent == fleet.LevelRack {
			try(r.Sites, nil)
			continue
		}
		for _, x := range r.Sites {
			try([]*Site{x}, nil)
		}
	}
	return best, found
}

// TestLeastFragmentationAsExhaustiveSearch guards against placements that fragment the ledger more than necessary. The
// search scores only a few fillings per rack, so its loss is compared with that of an exhaustive search and of best fit
// without scoring.
func TestLeastFragmentationAsExhaustiveSearch(t *testing.T) {
	cases, optimal, bestFitOptimal := 0, 0, 0
	var chosenLoss, minimumLoss, bestFitLoss float64
	rapid.Check(t, func(t *rapid.T) {
		b := drawLedger(t)
		s := drawTarget(t)
		ts := NewTargets([]fleet.Shape{drawTarget(t), drawTarget(t), drawTarget(t)}, 0)
		want, fits := minLoss(b, ts, s)
		got := b.Fit(Search{Shape: s, View: (*Site).Free, Targets: ts})
		if fits != (got != nil) {
			t.Fatalf("search found a placement: %v; exhaustive search found one: %v", got != nil, fits)
		}
		if !fits {
			return
		}
		x := loss(b, ts, TaskResources(s), got)
		y := loss(b, ts, TaskResources(s), b.Fit(Search{Shape: s, View: (*Site).Free}))
		if x < want-1e-9 {
			t.Fatalf("loss %f is below the minimum %f of the exhaustive search", x, want)
		}
		cases++
		chosenLoss, minimumLoss, bestFitLoss = chosenLoss+x, minimumLoss+want, bestFitLoss+y
		if x < want+1e-9 {
			optimal++
		}
		if y < want+1e-9 {
			bestFitOptimal++
		}
	})
	t.Logf("%d placements: %d optimal, best fit without scoring %d; loss %.1f, minimum %.1f, best fit %.1f",
		cases, optimal, bestFitOptimal, chosenLoss, minimumLoss, bestFitLoss)
	require.GreaterOrEqual(t, float64(optimal), 0.9*float64(cases))
	require.Less(t, chosenLoss, bestFitLoss)
}
