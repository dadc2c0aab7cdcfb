package place

import (
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Target is a shape for which room should be left, with its weight.
type Target struct {
	Shape  fleet.Shape
	Weight float64
}

// Fragmentation tells how much of the free accelerators the targets can use.
type Fragmentation struct {
	Free int
	// Stranded counts the free accelerators that not one target can use.
	Stranded int
	// Weighted is the share of free accelerators that a target cannot use, averaged over the targets by weight.
	Weighted float64
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
		sum := 0
		for _, r := range b.racks {
			b.count(r, t, v)
			sum += r.sum
		}
		got := 0
		for _, r := range b.racks {
			for _, s := range r.Sites {
				k := t.usable(s.n, s.rack.sum, sum)
				usable[s] = max(usable[s], k)
				got += k
			}
		}
		weights += t.Weight
		missed -= t.Weight * float64(got)
	}
	for _, r := range b.racks {
		for _, s := range r.Sites {
			a := max(v(s).Accelerators, 0)
			f.Free += a
			f.Stranded += a - usable[s]
		}
	}
	if f.Free > 0 && weights > 0 {
		f.Weighted = 1 + missed/weights/float64(f.Free)
	}
	return f
}

func (b *Books) count(r *Rack, t Target, v View) {
	r.sum = 0
	n := TaskRoom(t.Shape)
	for _, s := range r.Sites {
		s.n = v(s).Holds(n)
		r.sum += s.n
	}
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
