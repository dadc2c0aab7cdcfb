package place

import (
	"cmp"
	"slices"
	"strings"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Target is a shape that should stay placeable, with its weight in the score.
type Target struct {
	Shape  fleet.Shape
	Weight float64
}

// NewTargets returns the distinct shapes that need accelerators, the largest first. Weights are proportional to the
// accelerators of a whole gang and add up to 1. A limit above 0 keeps only that many of the largest.
func NewTargets(ss []fleet.Shape, limit int) []Target {
	seen := make(map[fleet.Shape]bool, shapesHint)
	var ts []Target
	for _, s := range ss {
		if s.Accelerators == 0 || seen[s] {
			continue
		}
		seen[s] = true
		ts = append(ts, Target{Shape: s, Weight: float64(s.TotalAccelerators())})
	}
	slices.SortFunc(ts, func(x, y Target) int {
		return cmp.Or(cmp.Compare(y.Weight, x.Weight), strings.Compare(x.Shape.String(), y.Shape.String()))
	})
	if limit > 0 && len(ts) > limit {
		ts = ts[:limit]
	}
	sum := 0.0
	for _, t := range ts {
		sum += t.Weight
	}
	for i := range ts {
		ts[i].Weight /= sum
	}
	return ts
}

// shapesHint is the initial capacity for distinct shapes.
const shapesHint = 64

// Fragmentation measures how much of the free accelerators the targets cannot use.
type Fragmentation struct {
	Free int
	// Stranded is the number of free accelerators that no target can use.
	Stranded int
	// Scattered is a fraction of gangs. For each target it counts the whole gangs for which the total of free
	// accelerators would be enough, and takes the fraction of them that do not fit because the free accelerators are
	// not close enough together. Scattered is the weighted mean over the targets with at least one such gang.
	Scattered float64
	// HasScattered is set if there are enough free accelerators for at least one gang of a weighted target, so that
	// Scattered is defined.
	HasScattered bool
}

// Share returns the stranded fraction of the free accelerators, between 0 and 1.
func (f Fragmentation) Share() float64 {
	if f.Free == 0 {
		return 0
	}
	return float64(f.Stranded) / float64(f.Free)
}

// Fragmentation measures the resources that the view returns. An accelerator is usable by a shape if some placement of
// one whole gang of that shape includes it.
func (l *Ledger) Fragmentation(ts []Target, v View) Fragmentation {
	var f Fragmentation
	if len(ts) == 0 {
		return f
	}
	usable := map[*Site]int{}
	weights, missed := 0.0, 0.0
	for _, t := range ts {
		sum, free := 0, 0
		for _, r := range l.racks {
			free += l.count(r, t, v)
			sum += r.fit
		}
		got := 0
		for _, r := range l.racks {
			for _, s := range r.Sites {
				usable[s] = max(usable[s], t.usable(s.fit, s.rack.fit, sum))
			}
			got += t.gangsIn(r)
		}
		if t.Shape.Adjacent == fleet.LevelDomain {
			got = sum / t.Shape.Tasks
		}
		if could := free / max(t.Shape.TotalAccelerators(), 1); could > 0 && t.Weight > 0 {
			weights += t.Weight
			missed += t.Weight * float64(max(could-got, 0)) / float64(could)
		}
	}
	for _, r := range l.racks {
		for _, s := range r.Sites {
			a := max(v(s).Accelerators, 0)
			f.Free += a
			f.Stranded += a - usable[s]
		}
	}
	if weights > 0 {
		f.Scattered, f.HasScattered = missed/weights, true
	}
	return f
}

// count computes how many tasks of the target fit on each site of the rack, and returns the rack's free accelerators.
func (l *Ledger) count(r *Rack, t Target, v View) int {
	r.fit = 0
	free := 0
	n := TaskResources(t.Shape)
	for _, s := range r.Sites {
		x := v(s)
		free += max(x.Accelerators, 0)
		s.fit = x.Holds(n)
		r.fit += s.fit
	}
	return free
}

// gangsIn returns how many whole gangs of the target fit into a rack at the same time.
func (t Target) gangsIn(r *Rack) int {
	if t.Shape.Adjacent == fleet.LevelRack {
		return r.fit / t.Shape.Tasks
	}
	n := 0
	for _, s := range r.Sites {
		n += s.fit / t.Shape.Tasks
	}
	return n
}

// usable returns how many accelerators of a site the target can use, given how many tasks of the target fit on the site
// (n), into its rack and into the failure domain. It returns zero if a whole gang does not fit at the level of adjacency.
func (t Target) usable(n, rack, domain int) int {
	group := domain
	switch t.Shape.Adjacent {
	case fleet.LevelWorker:
		group = n
	case fleet.LevelRack:
		group = rack
	default:
	}
	if group < t.Shape.Tasks {
		return 0
	}
	return n * t.Shape.Accelerators
}

// score returns the cost of the rack plus the weighted accelerators that the targets lose if the gang takes the given
// sites of it.
func (q Search) score(r *Rack, sites []*Site) float64 {
	x := 0.0
	if q.Cost != nil {
		x = q.Cost(r)
	}
	if len(q.Targets) == 0 {
		return x
	}
	for _, s := range r.Sites {
		s.taken = 0
	}
	for _, s := range sites {
		s.taken++
	}
	n := TaskResources(q.Shape)
	for _, t := range q.Targets {
		before, after := 0, 0
		sumBefore, sumAfter := 0, 0
		m := TaskResources(t.Shape)
		for _, s := range r.Sites {
			v := q.View(s)
			k := v.Holds(m)
			l := k
			if s.taken > 0 {
				l = v.Minus(n.Times(s.taken)).Holds(m)
			}
			sumBefore += k
			sumAfter += l
			if t.Shape.Adjacent == fleet.LevelWorker {
				before += t.usable(k, k, k)
				after += t.usable(l, l, l)
			}
		}
		if t.Shape.Adjacent == fleet.LevelRack {
			before = t.usable(sumBefore, sumBefore, sumBefore)
			after = t.usable(sumAfter, sumAfter, sumAfter)
		}
		if t.Shape.Adjacent == fleet.LevelDomain {
			before = sumBefore * t.Shape.Accelerators
			after = sumAfter * t.Shape.Accelerators
		}
		x += t.Weight * float64(before-after)
	}
	return x
}
