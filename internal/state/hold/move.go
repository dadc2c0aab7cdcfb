package hold

import (
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// maxMakeRoomTries limits how many placements MakeRoom tries for one gang, since each try may repack all reservations.
const maxMakeRoomTries = 6

// Move moves the reservation of an idle gang to the best placement of the search. If the search finds no placement,
// Move returns false and leaves the reservation unchanged.
func (r *Reservations) Move(g *Gang, q place.Search) bool {
	if !g.IsIdle() {
		return false
	}
	old, claim := sitesOf(g), g.Claim
	r.unplace(g)
	g.Claim = claim
	to := r.ledger.Fit(q)
	if to == nil {
		r.Reserve(g, old)
		return false
	}
	r.Reserve(g, to)
	return true
}

// MakeRoom finds sites for a non-preemptible gang and moves idle reservations off them if necessary; the caller
// allocates the gang. If not every guarantee would fit afterwards, it returns nil and changes nothing.
func (r *Reservations) MakeRoom(q place.Search) []*place.Site {
	view := q.View
	q.View = func(s *place.Site) place.Resources { return view(s).Min(s.Uncommitted()) }
	if to := r.ledger.Fit(q); to != nil {
		return to
	}
	if len(r.unplaced()) > 0 {
		return nil
	}
	movable := r.movableRoom()
	tried := map[*place.Rack]bool{}
	q.View = func(s *place.Site) place.Resources {
		if tried[s.Rack()] {
			return place.Resources{}
		}
		return view(s).Min(s.Uncommitted().Plus(movable[s]))
	}
	for range maxMakeRoomTries {
		to := r.ledger.Fit(q)
		if to == nil {
			return nil
		}
		if r.moveAside(to, place.TaskResources(q.Shape)) {
			return to
		}
		if q.Shape.Adjacent == fleet.LevelDomain {
			return nil
		}
		tried[to[0].Rack()] = true
	}
	return nil
}

// movableRoom returns the resources of the reservations that can move, by site.
func (r *Reservations) movableRoom() map[*place.Site]place.Resources {
	out := map[*place.Site]place.Resources{}
	for _, g := range r.gangs {
		if !g.IsIdle() || g.Claim != "" {
			continue
		}
		for _, p := range g.Places {
			out[p.Site] = out[p.Site].Plus(g.room())
		}
	}
	return out
}

// moveAside moves idle reservations off the sites so that one task that needs n fits for each entry of sites. If not
// all gangs fit afterwards, it restores all reservations and returns false.
func (r *Reservations) moveAside(sites []*place.Site, n place.Resources) bool {
	before := r.layoutOf(r.gangs)
	for _, s := range sites {
		s.Committed = s.Committed.Plus(n)
	}
	ok := r.relocateDisplaced()
	for _, s := range sites {
		s.Committed = s.Committed.Minus(n)
	}
	if ok {
		return true
	}
	for _, g := range r.gangs {
		if !g.IsIdle() || g.Claim != "" {
			continue
		}
		r.unplace(g)
	}
	for _, g := range r.gangs {
		if len(g.Places) == 0 {
			r.Reserve(g, before[g])
		}
	}
	return false
}

// relocateDisplaced moves idle, unclaimed reservations off overcommitted sites and reports whether all gangs fit.
func (r *Reservations) relocateDisplaced() bool {
	var moved []*Gang
	for _, g := range r.gangs {
		if !g.IsIdle() || g.Claim != "" || !slices.ContainsFunc(g.Places, func(p Place) bool { return isLost(p.Site) }) {
			continue
		}
		r.unplace(g)
		moved = append(moved, g)
	}
	slices.SortStableFunc(moved, bySize)
	if r.fill(moved, viewStable) {
		return true
	}
	return r.repackUnclaimed(viewStable)
}

// repackUnclaimed places all idle, unclaimed gangs again in several orders until all fit, and reports whether they do.
func (r *Reservations) repackUnclaimed(v place.View) bool {
	var gs []*Gang
	for _, g := range r.gangs {
		if g.IsIdle() && g.Claim == "" {
			gs = append(gs, g)
		}
	}
	for _, by := range []func(x, y *Gang) int{bySize, byAdjacency, byTaskSize} {
		for _, g := range gs {
			r.unplace(g)
		}
		slices.SortStableFunc(gs, by)
		if r.fill(gs, v) {
			return true
		}
	}
	return false
}

// Unreserve cancels the reservation of an idle gang, keeps its claim and returns the sites, so that Reserve can restore
// it.
func (r *Reservations) Unreserve(g *Gang) []*place.Site {
	sites, claim := sitesOf(g), g.Claim
	r.unplace(g)
	g.Claim = claim
	return sites
}

// MoveTo moves the reservation of an idle gang to the given sites.
func (r *Reservations) MoveTo(g *Gang, sites []*place.Site) {
	r.Unreserve(g)
	r.Reserve(g, sites)
}
