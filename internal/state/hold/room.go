package hold

import (
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// maxMakeRoomTries bounds the placements that MakeRoom tries for one gang, as each may repack all reservations.
const maxMakeRoomTries = 6

// Move moves the reservation of an idle gang to the best placement of the search. If there is none, it returns false and
// the reservation stays.
func (k *Keeper) Move(g *Gang, q place.Search) bool {
	if !g.IsIdle() {
		return false
	}
	old, claim := sitesOf(g), g.Claim
	k.unplace(g)
	g.Claim = claim
	to := k.books.Fit(q)
	if to == nil {
		k.Place(g, old)
		return false
	}
	k.Place(g, to)
	return true
}

// MakeRoom finds sites for a non-preemptible gang and moves idle reservations off them if necessary; the caller
// allocates the gang. If not every guarantee would fit afterwards, it returns nil and changes nothing.
func (k *Keeper) MakeRoom(q place.Search) []*place.Site {
	view := q.View
	q.View = func(s *place.Site) place.Resources { return view(s).Min(s.Uncommitted()) }
	if to := k.books.Fit(q); to != nil {
		return to
	}
	if len(k.unplaced()) > 0 {
		return nil
	}
	movable := k.movableRoom()
	tried := map[*place.Rack]bool{}
	q.View = func(s *place.Site) place.Resources {
		if tried[s.Rack()] {
			return place.Resources{}
		}
		return view(s).Min(s.Uncommitted().Plus(movable[s]))
	}
	for range maxMakeRoomTries {
		to := k.books.Fit(q)
		if to == nil {
			return nil
		}
		if k.moveAside(to, place.TaskResources(q.Shape)) {
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
func (k *Keeper) movableRoom() map[*place.Site]place.Resources {
	out := map[*place.Site]place.Resources{}
	for _, g := range k.gangs {
		if !g.IsIdle() || g.Claim != "" {
			continue
		}
		for _, p := range g.Places {
			out[p.Site] = out[p.Site].Plus(g.room())
		}
	}
	return out
}

// moveAside moves idle reservations off the sites so that n fits on each entry. If not all gangs fit, it restores all
// reservations and returns false.
func (k *Keeper) moveAside(sites []*place.Site, n place.Resources) bool {
	before := k.layoutOf(k.gangs)
	for _, s := range sites {
		s.Committed = s.Committed.Plus(n)
	}
	ok := k.relocateDisplaced()
	for _, s := range sites {
		s.Committed = s.Committed.Minus(n)
	}
	if ok {
		return true
	}
	for _, g := range k.gangs {
		if !g.IsIdle() || g.Claim != "" {
			continue
		}
		k.unplace(g)
	}
	for _, g := range k.gangs {
		if len(g.Places) == 0 {
			k.Place(g, before[g])
		}
	}
	return false
}

// relocateDisplaced moves idle, unclaimed reservations off overcommitted sites and reports whether all gangs fit.
func (k *Keeper) relocateDisplaced() bool {
	var moved []*Gang
	for _, g := range k.gangs {
		if !g.IsIdle() || g.Claim != "" || !slices.ContainsFunc(g.Places, func(p Place) bool { return isLost(p.Site) }) {
			continue
		}
		k.unplace(g)
		moved = append(moved, g)
	}
	slices.SortStableFunc(moved, bySize)
	if k.fill(moved, viewStable) {
		return true
	}
	return k.repackUnclaimed(viewStable)
}

// repackUnclaimed places all idle, unclaimed gangs again in several orders until all fit, and reports whether they do.
func (k *Keeper) repackUnclaimed(v place.View) bool {
	var gs []*Gang
	for _, g := range k.gangs {
		if g.IsIdle() && g.Claim == "" {
			gs = append(gs, g)
		}
	}
	for _, by := range []func(x, y *Gang) int{bySize, byAdjacency, byTaskSize} {
		for _, g := range gs {
			k.unplace(g)
		}
		slices.SortStableFunc(gs, by)
		if k.fill(gs, v) {
			return true
		}
	}
	return false
}

// Lift cancels the reservation of an idle gang, keeps its claim and returns the sites, so that Place can restore it.
func (k *Keeper) Lift(g *Gang) []*place.Site {
	sites, claim := sitesOf(g), g.Claim
	k.unplace(g)
	g.Claim = claim
	return sites
}

// Shift moves the reservation of an idle gang to the given sites.
func (k *Keeper) Shift(g *Gang, sites []*place.Site) {
	k.Lift(g)
	k.Place(g, sites)
}
