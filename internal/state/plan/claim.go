package plan

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/hold"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// claim starts a job in a gang of its organisation's guarantee, or has the borrowers there stopped. It reports whether
// the job started or waits for such a stop.
func (p *Planner) claim(e *entry, d *Decisions) bool {
	if g := e.gang; g != nil {
		p.bookPending(e, -1)
		p.noteDropped(e, e.awaited)
		e.awaited = nil
		if len(g.Places) > 0 {
			if p.startInGang(e, g, d) || p.startOverdue(e, d) || p.reclaim(e, g) {
				return true
			}
		}
		p.withdrawClaim(e)
	}
	gs := p.reservations.Find(e.job.Organisation, e.job.Profile, e.shape)
	for _, g := range gs {
		if p.startInGang(e, g, d) {
			return true
		}
	}
	if len(gs) > 0 && p.startOverdue(e, d) {
		return true
	}
	for _, g := range gs {
		if p.reclaim(e, g) {
			return true
		}
	}
	return false
}

// withdrawClaim ends the claim of a queued job on a guaranteed gang, if it has one.
func (p *Planner) withdrawClaim(e *entry) {
	if e.gang == nil {
		return
	}
	e.gang.Claim = ""
	e.gang = nil
}

// startInGang starts a job in a guaranteed gang if its places are free now, or if the gang is idle and can move to
// free places.
func (p *Planner) startInGang(e *entry, g *hold.Gang, d *Decisions) bool {
	end := p.now.Add(p.runTime(e))
	free := p.openView(e, end, (*place.Site).FreeForClaim)
	if g.IsIdle() && e.shape.Tasks == g.Need.Shape.Tasks {
		q := place.Search{Shape: g.Need.Shape, Targets: p.scoringTargets()}
		q.View = p.openView(e, end, func(s *place.Site) place.Resources {
			if s.Ramping {
				return place.Resources{}
			}
			return s.FreeUncommittedForClaim()
		})
		if !p.reservations.Move(g, q) {
			return p.startInIdlePlaces(e, g, free, d)
		}
		clear(p.pass.failed)
	}
	return p.startInIdlePlaces(e, g, free, d)
}

// startInIdlePlaces starts a job in idle places of a gang without moving them.
func (p *Planner) startInIdlePlaces(e *entry, g *hold.Gang, free place.View, d *Decisions) bool {
	sites := p.pickPlaces(e, g, free)
	if sites == nil || !p.reservations.Take(g, e.job.ID, sites) {
		return false
	}
	g.Claim = ""
	e.gang = g
	p.start(e, sites, "in the reservation of its guarantee", d)
	return true
}

// pickPlaces returns idle places of the gang, one per task, for which the view has room, or nil.
func (p *Planner) pickPlaces(e *entry, g *hold.Gang, v place.View) []*place.Site {
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

// reclaim selects the places of a gang whose borrowers lose the least work when stopped, and requests their stop.
func (p *Planner) reclaim(e *entry, g *hold.Gang) bool {
	end := p.now.Add(p.runTime(e))
	var c preemption
	if g.IsIdle() && e.shape.Tasks == g.Need.Shape.Tasks {
		c = p.cheapestForGang(e, g, end)
	} else {
		c = p.preemptByLoss(p.idlePlaces(e, g, end), e, (*place.Site).FreeForClaim, anyBorrower)
	}
	if !c.ok {
		return false
	}
	if g.IsIdle() && e.shape.Tasks == g.Need.Shape.Tasks {
		p.reservations.MoveTo(g, c.sites)
	}
	g.Claim = e.job.ID
	e.gang = g
	p.awaitStops(e, c, fmt.Sprintf("%s claims guaranteed capacity that this job borrowed", e.describe()))
	clear(p.pass.failed)
	return true
}

// awaitStops requests the stops of a preemption and books the room on the sites of the preemption for job e.
func (p *Planner) awaitStops(e *entry, c preemption, reason string) {
	e.awaited = c.sites
	p.bookPending(e, 1)
	p.pass.scarcity.awaited += e.shape.TotalAccelerators()
	for _, b := range c.stops {
		p.requestStop(b, reason)
	}
	racks, jobs := countBorrowed(p, c.sites)
	e.reason = waitReason{code: reasonReclaim, a: racks, b: jobs}
}

func anyBorrower(*entry) bool { return true }

// idlePlaces returns the number of idle places of a gang on each open site.
func (p *Planner) idlePlaces(e *entry, g *hold.Gang, end time.Time) []siteLimit {
	var out []siteLimit
	for _, x := range g.Places {
		if x.Job != "" || !p.isOpen(e, x.Site, end) {
			continue
		}
		out = addSiteLimit(out, x.Site, 1)
	}
	return out
}

func countBorrowed(p *Planner, sites []*place.Site) (racks, jobs int) {
	rs := map[*place.Rack]bool{}
	js := map[*entry]bool{}
	for _, s := range sites {
		for _, b := range p.gangsOn[s] {
			if b.isPreemptible && b.gang == nil {
				rs[s.Rack()] = true
				js[b] = true
			}
		}
	}
	return len(rs), len(js)
}
