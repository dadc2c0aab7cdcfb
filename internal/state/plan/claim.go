package plan

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/hold"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// claim lets a job take a gang of its guarantee, and reports whether it did or waits for borrowers to leave.
func (p *Planner) claim(e *entry, d *Decisions) bool {
	if g := e.gang; g != nil {
		p.pend(e, -1)
		e.want = nil
		if len(g.Places) > 0 {
			if p.take(e, g, d) || p.reclaim(e, g) {
				return true
			}
		}
		g.Claim = ""
		e.gang = nil
	}
	gs := p.keeper.Find(e.job.Organisation, e.job.Profile, e.shape)
	for _, g := range gs {
		if p.take(e, g, d) {
			return true
		}
	}
	for _, g := range gs {
		if p.reclaim(e, g) {
			return true
		}
	}
	return false
}

// take starts a job in a gang whose places, or others like them, are free now.
func (p *Planner) take(e *entry, g *hold.Gang, d *Decisions) bool {
	end := p.now.Add(p.runTime(e))
	free := p.open(e, end, (*place.Site).FreeForClaim)
	if g.IsIdle() && e.shape.Tasks == g.Need.Shape.Tasks {
		q := place.Search{Shape: g.Need.Shape, Targets: p.scored()}
		q.View = p.open(e, end, func(s *place.Site) place.Room {
			if s.Joined {
				return place.Room{}
			}
			return s.FreeBothForClaim()
		})
		if !p.keeper.Move(g, q) {
			return p.takeInPlace(e, g, free, d)
		}
		clear(p.pass.failed)
	}
	return p.takeInPlace(e, g, free, d)
}

// takeInPlace starts a job in idle places of a gang where they are.
func (p *Planner) takeInPlace(e *entry, g *hold.Gang, free place.View, d *Decisions) bool {
	sites := p.pick(e, g, free)
	if sites == nil || !p.keeper.Take(g, e.job.ID, sites) {
		return false
	}
	g.Claim = ""
	e.gang = g
	p.start(e, sites, "in the reservation of its guarantee", d)
	return true
}

// pick returns idle places of the gang, one per task, that have room in the view.
func (p *Planner) pick(e *entry, g *hold.Gang, v place.View) []*place.Site {
	left := map[*place.Site]int{}
	var out []*place.Site
	for _, x := range g.Places {
		if x.Job != "" {
			continue
		}
		n, ok := left[x.Site]
		if !ok {
			n = v(x.Site).Holds(e.need)
		}
		left[x.Site] = n - 1
		if n < 1 {
			continue
		}
		out = append(out, x.Site)
		if len(out) == e.shape.Tasks {
			return out
		}
	}
	return nil
}

// reclaim picks the places of a gang from which borrowers leave with the least loss of work, and has them stopped.
func (p *Planner) reclaim(e *entry, g *hold.Gang) bool {
	end := p.now.Add(p.runTime(e))
	var c clearing
	if g.IsIdle() && e.shape.Tasks == g.Need.Shape.Tasks {
		c = p.cheapest(e, g, end)
	} else {
		c = p.clear(p.idlePlaces(e, g, end), e, (*place.Site).FreeForClaim, anyBorrower)
	}
	if !c.ok {
		return false
	}
	if g.IsIdle() && e.shape.Tasks == g.Need.Shape.Tasks {
		p.keeper.Shift(g, c.sites)
	}
	g.Claim = e.job.ID
	e.gang = g
	p.await(e, c, fmt.Sprintf("%s claims guaranteed capacity that this job borrowed", e.label()))
	clear(p.pass.failed)
	return true
}

// await has the borrowers of a clearing stopped and keeps its sites for the job.
func (p *Planner) await(e *entry, c clearing, reason string) {
	e.want = c.sites
	p.pend(e, 1)
	for _, b := range c.stops {
		p.doom(b, reason)
	}
	racks, jobs := countBorrowed(p, c.sites)
	e.why = why{code: whyReclaim, a: racks, b: jobs}
}

func anyBorrower(*entry) bool { return true }

// idlePlaces returns the room of the idle places of a gang by site.
func (p *Planner) idlePlaces(e *entry, g *hold.Gang, end time.Time) []scope {
	var out []scope
	for _, x := range g.Places {
		if x.Job != "" || !p.isOpen(e, x.Site, end) {
			continue
		}
		out = addScope(out, x.Site, 1)
	}
	return out
}

func countBorrowed(p *Planner, sites []*place.Site) (racks, jobs int) {
	rs := map[*place.Rack]bool{}
	js := map[*entry]bool{}
	for _, s := range sites {
		for _, b := range p.on[s] {
			if b.soft && b.gang == nil {
				rs[s.Rack()] = true
				js[b] = true
			}
		}
	}
	return len(rs), len(js)
}
