package place

import (
	"cmp"
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// View returns the resources of a site that a search may use.
type View func(s *Site) Resources

// Search is a request to place one gang.
type Search struct {
	Shape fleet.Shape
	View  View
	// Targets are the shapes whose usable accelerators the placement should preserve.
	Targets []Target
	// Cost returns a penalty in accelerators that is added to the score of a rack; nil means no penalty.
	Cost func(r *Rack) float64
}

// Fit returns one site per task, or nil if the gang does not fit. The placement with the lowest score wins, then the
// one on the fullest rack or worker.
func (l *Ledger) Fit(q Search) []*Site {
	n := TaskResources(q.Shape)
	total := 0
	for _, r := range l.racks {
		r.fit = 0
		for _, s := range r.Sites {
			s.fit = q.View(s).Holds(n)
			r.fit += s.fit
		}
		total += r.fit
	}
	if total < q.Shape.Tasks {
		return nil
	}
	switch q.Shape.Adjacent {
	case fleet.LevelWorker:
		return l.fitWorker(q)
	case fleet.LevelRack:
		return l.fitRack(q)
	default:
		return l.fitDomain(q)
	}
}

type candidate struct {
	sites []*Site
	score float64
	spare int
}

func (c candidate) isBetter(o candidate) bool {
	if o.sites == nil || c.score != o.score {
		return o.sites == nil || c.score < o.score
	}
	return c.spare < o.spare
}

func (l *Ledger) fitWorker(q Search) []*Site {
	var best candidate
	for _, r := range l.racks {
		if r.fit < q.Shape.Tasks {
			continue
		}
		for _, s := range r.Sites {
			if s.fit < q.Shape.Tasks {
				continue
			}
			c := candidate{sites: repeat(s, q.Shape.Tasks), spare: s.fit}
			c.score = q.score(r, c.sites)
			if c.isBetter(best) {
				best = c
			}
		}
	}
	return best.sites
}

func (l *Ledger) fitRack(q Search) []*Site {
	var best candidate
	for _, r := range l.racks {
		if r.fit < q.Shape.Tasks {
			continue
		}
		for _, f := range fills(r, q.Shape.Tasks) {
			c := candidate{sites: f, spare: r.fit, score: q.score(r, f)}
			if c.isBetter(best) {
				best = c
			}
		}
	}
	return best.sites
}

// fitDomain fills the racks that hold the most tasks first, which uses the fewest racks. The rack for the remaining
// tasks is chosen by score and then by best fit.
func (l *Ledger) fitDomain(q Search) []*Site {
	rs := slices.Clone(l.racks)
	slices.SortStableFunc(rs, func(x, y *Rack) int { return cmp.Compare(y.fit, x.fit) })
	var out []*Site
	for i, r := range rs {
		left := q.Shape.Tasks - len(out)
		if r.fit < left {
			out = append(out, fill(r, r.fit, false)...)
			continue
		}
		var best candidate
		for _, o := range rs[i:] {
			if o.fit < left {
				break
			}
			for _, f := range fills(o, left) {
				c := candidate{sites: f, spare: o.fit, score: q.score(o, f)}
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

// fills returns the candidate fillings of a rack to score: one that fills the workers with room for the fewest tasks
// first, and one that fills the workers with room for the most tasks first.
func fills(r *Rack, tasks int) [][]*Site {
	f := fill(r, tasks, false)
	if r.fit == tasks || len(r.Sites) == 1 {
		return [][]*Site{f}
	}
	return [][]*Site{f, fill(r, tasks, true)}
}

// fill assigns tasks to the sites of a rack. If mostFree is set, sites with room for the most tasks come first, else
// sites with room for the fewest.
func fill(r *Rack, tasks int, mostFree bool) []*Site {
	ss := slices.Clone(r.Sites)
	slices.SortStableFunc(ss, func(x, y *Site) int {
		if mostFree {
			return cmp.Compare(y.fit, x.fit)
		}
		return cmp.Compare(x.fit, y.fit)
	})
	out := make([]*Site, 0, tasks)
	for _, s := range ss {
		if mostFree && s.fit > 0 {
			// Prefer a worker that has room for exactly the remaining tasks, so that no other worker is filled in part.
			left := tasks - len(out)
			for _, o := range ss {
				if o.fit == left && !slices.Contains(out, o) {
					return append(out, repeat(o, left)...)
				}
			}
		}
		k := min(s.fit, tasks-len(out))
		out = append(out, repeat(s, k)...)
		if len(out) == tasks {
			break
		}
	}
	return out
}
