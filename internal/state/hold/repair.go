package hold

import (
	"fmt"
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// viewStable is the view of unreserved resources on workers that are expected to stay: not on probation, not recently
// joined and without a planned stop.
func viewStable(s *place.Site) place.Resources {
	if s.Closed || s.OnProbation || s.Ramping || !s.StopFrom.IsZero() {
		return place.Resources{}
	}
	return s.Uncommitted()
}

// viewPresent is the view of unreserved resources on all workers that can run work now, including those that joined
// recently or have a planned stop.
func viewPresent(s *place.Site) place.Resources {
	if s.Closed || s.OnProbation {
		return place.Resources{}
	}
	return s.Uncommitted()
}

// Repair reserves places for every idle gang that has no reservation, if possible on workers that are expected to stay.
// It returns false if some gang still has no reservation.
func (r *Reservations) Repair() bool {
	r.unplaceLost()
	if r.fill(r.unplaced(), viewStable) {
		return true
	}
	if r.repack(viewStable) {
		return true
	}
	return r.fill(r.unplaced(), viewPresent) || r.repack(viewPresent)
}

// unplaceLost cancels the reservations of idle gangs on sites that are lost or have a planned stop. In a gang in
// which jobs run, only the idle places on lost sites are moved.
func (r *Reservations) unplaceLost() {
	for _, g := range r.gangs {
		if g.taken == 0 {
			if slices.ContainsFunc(g.Places, func(p Place) bool { return isLost(p.Site) || !p.Site.StopFrom.IsZero() }) {
				claim := g.Claim
				r.unplace(g)
				g.Claim = claim
			}
			continue
		}
		r.replaceLost(g)
	}
}

// isLost reports whether a site cannot hold its reservations: it is closed, on probation or overcommitted.
func isLost(s *place.Site) bool {
	return s.Closed || s.OnProbation || !s.Committed.IsWithin(s.Capacity)
}

// replaceLost moves lost idle places of a gang in which jobs run to workers that keep its adjacency.
func (r *Reservations) replaceLost(g *Gang) {
	for i, p := range g.Places {
		if p.Job != "" || !isLost(p.Site) {
			continue
		}
		one := g.Need.Shape
		one.Tasks = 1
		one.Adjacent = fleet.LevelWorker
		near := r.adjacentTo(g)
		to := r.ledger.Fit(place.Search{Shape: one, View: func(s *place.Site) place.Resources {
			if !near(s) {
				return place.Resources{}
			}
			return viewStable(s)
		}})
		if to == nil {
			continue
		}
		p.Site.Committed = p.Site.Committed.Minus(g.room())
		to[0].Committed = to[0].Committed.Plus(g.room())
		g.Places[i].Site = to[0]
	}
}

// adjacentTo returns a predicate for sites that are adjacent to the places of a gang in which a job runs.
func (r *Reservations) adjacentTo(g *Gang) func(s *place.Site) bool {
	i := slices.IndexFunc(g.Places, func(p Place) bool { return p.Job != "" })
	at := g.Places[i].Site
	switch g.Need.Shape.Adjacent {
	case fleet.LevelWorker:
		return func(s *place.Site) bool { return s == at }
	case fleet.LevelRack:
		return func(s *place.Site) bool { return s.Rack() == at.Rack() }
	default:
		return func(*place.Site) bool { return true }
	}
}

// unplaced returns the gangs without a reservation, the most urgent first.
func (r *Reservations) unplaced() []*Gang {
	var gs []*Gang
	for _, g := range r.gangs {
		if len(g.Places) == 0 {
			gs = append(gs, g)
		}
	}
	slices.SortStableFunc(gs, byRank)
	return gs
}

// fill reserves places for the gangs in the given order and reports whether all of them fit.
func (r *Reservations) fill(gs []*Gang, v place.View) bool {
	all := true
	for _, g := range gs {
		if to := r.ledger.Fit(place.Search{Shape: g.Need.Shape, View: v}); to != nil {
			r.Reserve(g, to)
			continue
		}
		all = false
	}
	return all
}

// layout maps gangs to the sites of their reservations.
type layout map[*Gang][]*place.Site

// repack places all idle gangs again in several orders. It keeps the first layout that holds all of them; if none
// does, it keeps the layout that holds the most gangs.
func (r *Reservations) repack(v place.View) bool {
	var idle []*Gang
	best := layout{}
	for _, g := range r.gangs {
		if !g.IsIdle() {
			continue
		}
		idle = append(idle, g)
		if len(g.Places) > 0 {
			best[g] = sitesOf(g)
		}
	}
	for _, by := range []func(x, y *Gang) int{bySize, byAdjacency, byTaskSize, byRank} {
		r.unplaceAll(idle)
		slices.SortStableFunc(idle, by)
		if r.fill(idle, v) {
			return true
		}
		if l := r.layoutOf(idle); len(l) > len(best) {
			best = l
		}
	}
	r.unplaceAll(idle)
	for g, ss := range best {
		r.Reserve(g, ss)
	}
	return false
}

// unplaceAll cancels the reservations of the gangs and keeps their claims.
func (r *Reservations) unplaceAll(gs []*Gang) {
	for _, g := range gs {
		claim := g.Claim
		r.unplace(g)
		g.Claim = claim
	}
}

func (r *Reservations) layoutOf(gs []*Gang) layout {
	l := layout{}
	for _, g := range gs {
		if len(g.Places) > 0 {
			l[g] = sitesOf(g)
		}
	}
	return l
}

// unmetReason returns a message that explains why no reservation for a shape is possible.
func (r *Reservations) unmetReason(s fleet.Shape) string {
	most, unavailable := 0, 0
	group := "in the failure domain"
	n := place.TaskResources(s)
	for _, rack := range r.ledger.Racks() {
		sum := 0
		for _, x := range rack.Sites {
			if x.Closed || x.OnProbation {
				unavailable++
			}
			c := viewPresent(x).Holds(n)
			sum += c
			if s.Adjacent == fleet.LevelWorker {
				most = max(most, c)
				group = "on one worker"
			}
		}
		switch s.Adjacent {
		case fleet.LevelRack:
			most = max(most, sum)
			group = "in one rack"
		case fleet.LevelDomain:
			most += sum
		default:
		}
	}
	return fmt.Sprintf("needs room for %d tasks %s, at most %d fit beside other guarantees and non-preemptible work; %d workers are closed or on probation",
		s.Tasks, group, most, unavailable)
}
