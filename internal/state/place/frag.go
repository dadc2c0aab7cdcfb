package place

import (
	"cmp"
	"slices"
	"strings"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Target is a shape for which room should be left, with its weight.
type Target struct {
	Shape  fleet.Shape
	Weight float64
}

// NewTargets returns the shapes once each, those with the most accelerators first, weighed by these so that the
// weights add up to 1; a limit above 0 keeps only the first.
func NewTargets(ss []fleet.Shape, limit int) []Target {
	seen := make(map[fleet.Shape]bool, maxKinds)
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

const maxKinds = 64

// Fragmentation tells how much of the free accelerators the targets can use.
type Fragmentation struct {
	Free int
	// Stranded counts the free accelerators that not one target can use.
	Stranded int
	// Scattered is the share of the whole gangs for which there are enough free accelerators, but not close enough
	// together, averaged by weight over the targets for which there are enough.
	Scattered float64
	// HasScattered is set when there are enough free accelerators for a gang of some target.
	HasScattered bool
}

// Share returns the stranded part of the free accelerators, between 0 and 1.
func (f Fragmentation) Share() float64 {
	if f.Free == 0 {
		return 0
	}
	return float64(f.Stranded) / float64(f.Free)
}

// Fragmentation measures the open sites; an accelerator is usable by a shape when some placement of one whole gang
// of that shape takes it.
func (b *Books) Fragmentation(ts []Target, v View) Fragmentation {
	var f Fragmentation
	if len(ts) == 0 {
		return f
	}
	usable := map[*Site]int{}
	weights, missed := 0.0, 0.0
	for _, t := range ts {
		sum, free := 0, 0
		for _, r := range b.racks {
			free += b.count(r, t, v)
			sum += r.sum
		}
		got := 0
		for _, r := range b.racks {
			for _, s := range r.Sites {
				usable[s] = max(usable[s], t.usable(s.n, s.rack.sum, sum))
			}
			got += t.gangs(r)
		}
		if t.Shape.Adjacent == fleet.LevelDomain {
			got = sum / t.Shape.Tasks
		}
		if could := free / max(t.Shape.TotalAccelerators(), 1); could > 0 && t.Weight > 0 {
			weights += t.Weight
			missed += t.Weight * float64(max(could-got, 0)) / float64(could)
		}
	}
	for _, r := range b.racks {
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

// count fills in the tasks of the target that each site of the rack holds, and returns its free accelerators.
func (b *Books) count(r *Rack, t Target, v View) int {
	r.sum = 0
	free := 0
	n := TaskRoom(t.Shape)
	for _, s := range r.Sites {
		x := v(s)
		free += max(x.Accelerators, 0)
		s.n = x.Holds(n)
		r.sum += s.n
	}
	return free
}

// gangs returns the whole gangs of a target that fit into a rack at once.
func (t Target) gangs(r *Rack) int {
	if t.Shape.Adjacent == fleet.LevelRack {
		return r.sum / t.Shape.Tasks
	}
	n := 0
	for _, s := range r.Sites {
		n += s.n / t.Shape.Tasks
	}
	return n
}

// usable returns the accelerators of a site with room for n tasks that the target can use.
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

// score returns the weighted accelerators that the targets lose when the gang takes the given sites of a rack.
func (q Search) score(r *Rack, sites []*Site) float64 {
	x := 0.0
	if q.Cost != nil {
		x = q.Cost(r)
	}
	if len(q.Targets) == 0 {
		return x
	}
	for _, s := range r.Sites {
		s.take = 0
	}
	for _, s := range sites {
		s.take++
	}
	n := TaskRoom(q.Shape)
	for _, t := range q.Targets {
		before, after := 0, 0
		sumBefore, sumAfter := 0, 0
		m := TaskRoom(t.Shape)
		for _, s := range r.Sites {
			v := q.View(s)
			k := v.Holds(m)
			l := k
			if s.take > 0 {
				l = v.Minus(n.Times(s.take)).Holds(m)
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
