package place

import (
	"cmp"
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// View returns the room of a site that a search may use.
type View func(s *Site) Room

// Search finds places for one gang.
type Search struct {
	Shape fleet.Shape
	View  View
	// Targets are the shapes that should still fit afterwards.
	Targets []Target
	// Cost adds to the score of a rack, in accelerators; nil means nothing.
	Cost func(r *Rack) float64
}

// Fit returns one site per task, or nil when the gang does not fit.
func (b *Books) Fit(q Search) []*Site {
	n := TaskRoom(q.Shape)
	total := 0
	for _, r := range b.racks {
		r.sum = 0
		for _, s := range r.Sites {
			s.n = q.View(s).Holds(n)
			r.sum += s.n
		}
		total += r.sum
	}
	if total < q.Shape.Tasks {
		return nil
	}
	switch q.Shape.Adjacent {
	case fleet.LevelWorker:
		return b.fitWorker(q)
	case fleet.LevelRack:
		return b.fitRack(q)
	default:
		return b.fitDomain(q)
	}
}

type choice struct {
	sites []*Site
	score float64
	spare int
}

func (c choice) isBetter(o choice) bool {
	if o.sites == nil || c.score != o.score {
		return o.sites == nil || c.score < o.score
	}
	return c.spare < o.spare
}

func (b *Books) fitWorker(q Search) []*Site {
	var best choice
	for _, r := range b.racks {
		if r.sum < q.Shape.Tasks {
			continue
		}
		for _, s := range r.Sites {
			if s.n < q.Shape.Tasks {
				continue
			}
			c := choice{sites: repeat(s, q.Shape.Tasks), spare: s.n}
			c.score = q.score(r, c.sites)
			if c.isBetter(best) {
				best = c
			}
		}
	}
	return best.sites
}

func (b *Books) fitRack(q Search) []*Site {
	var best choice
	for _, r := range b.racks {
		if r.sum < q.Shape.Tasks {
			continue
		}
		for _, f := range fills(r, q.Shape.Tasks) {
			c := choice{sites: f, spare: r.sum, score: q.score(r, f)}
			if c.isBetter(best) {
				best = c
			}
		}
	}
	return best.sites
}

// fitDomain takes the racks with most room first, which uses the fewest; the last rack is the tightest that will do.
func (b *Books) fitDomain(q Search) []*Site {
	rs := slices.Clone(b.racks)
	slices.SortStableFunc(rs, func(x, y *Rack) int { return cmp.Compare(y.sum, x.sum) })
	var out []*Site
	for i, r := range rs {
		left := q.Shape.Tasks - len(out)
		if r.sum < left {
			out = append(out, fill(r, r.sum, false)...)
			continue
		}
		var best choice
		for _, o := range rs[i:] {
			if o.sum < left {
				break
			}
			for _, f := range fills(o, left) {
				c := choice{sites: f, spare: o.sum, score: q.score(o, f)}
				if c.isBetter(best) {
					best = c
				}
			}
		}
		return append(out, best.sites...)
	}
	return nil
}

func repeat(s *Site, n int) []*Site {
	out := make([]*Site, n)
	for i := range out {
		out[i] = s
	}
	return out
}

// fills returns the ways to fill a rack that are worth scoring: small remainders first, and whole workers first.
func fills(r *Rack, tasks int) [][]*Site {
	f := fill(r, tasks, false)
	if r.sum == tasks || len(r.Sites) == 1 {
		return [][]*Site{f}
	}
	return [][]*Site{f, fill(r, tasks, true)}
}

func fill(r *Rack, tasks int, most bool) []*Site {
	ss := slices.Clone(r.Sites)
	slices.SortStableFunc(ss, func(x, y *Site) int {
		if most {
			return cmp.Compare(y.n, x.n)
		}
		return cmp.Compare(x.n, y.n)
	})
	out := make([]*Site, 0, tasks)
	for _, s := range ss {
		if most && s.n > 0 {
			// A worker that the rest fills exactly leaves no new remainder.
			left := tasks - len(out)
			for _, o := range ss {
				if o.n == left && !slices.Contains(out, o) {
					return append(out, repeat(o, left)...)
				}
			}
		}
		k := min(s.n, tasks-len(out))
		out = append(out, repeat(s, k)...)
		if len(out) == tasks {
			break
		}
	}
	return out
}
