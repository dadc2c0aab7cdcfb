package hold

import (
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

const maxMoveTries = 6

// Move places an idle gang where the view offers room for all of it, and reports whether there is any.
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

// MakeRoom finds sites for a gang that cannot be stopped, moving idle reservations out of its way; the caller books
// the gang. It returns nil, and leaves all as it was, when not every guarantee would fit afterwards.
func (k *Keeper) MakeRoom(q place.Search) []*place.Site {
	view := q.View
	q.View = func(s *place.Site) place.Room { return view(s).Least(s.FreeHard()) }
	if to := k.books.Fit(q); to != nil {
		return to
	}
	if len(k.unplaced()) > 0 {
		return nil
	}
	loose := k.idleRoom()
	tried := map[*place.Rack]bool{}
	q.View = func(s *place.Site) place.Room {
		if tried[s.Rack()] {
			return place.Room{}
		}
		return view(s).Least(s.FreeHard().Plus(loose[s]))
	}
	for range maxMoveTries {
		to := k.books.Fit(q)
		if to == nil {
			return nil
		}
		if k.evade(to, place.TaskRoom(q.Shape)) {
			return to
		}
		if q.Shape.Adjacent == fleet.LevelDomain {
			return nil
		}
		tried[to[0].Rack()] = true
	}
	return nil
}

func (k *Keeper) idleRoom() map[*place.Site]place.Room {
	out := map[*place.Site]place.Room{}
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

// evade moves idle gangs off the sites so that n fits on each, and reports whether all gangs still have places.
func (k *Keeper) evade(sites []*place.Site, n place.Room) bool {
	before := k.layout(k.gangs)
	for _, s := range sites {
		s.Hard = s.Hard.Plus(n)
	}
	ok := k.settle()
	for _, s := range sites {
		s.Hard = s.Hard.Minus(n)
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

// settle re-places idle gangs until no site carries more than it has.
func (k *Keeper) settle() bool {
	var moved []*Gang
	for _, g := range k.gangs {
		if !g.IsIdle() || g.Claim != "" || !slices.ContainsFunc(g.Places, func(p Place) bool { return isLost(p.Site) }) {
			continue
		}
		k.unplace(g)
		moved = append(moved, g)
	}
	slices.SortStableFunc(moved, bySize)
	if k.fill(moved, steady) {
		return true
	}
	return k.repackUnclaimed(steady)
}

// repackUnclaimed places all gangs that are idle and unclaimed anew and reports whether all found room.
func (k *Keeper) repackUnclaimed(v place.View) bool {
	var gs []*Gang
	for _, g := range k.gangs {
		if g.IsIdle() && g.Claim == "" {
			gs = append(gs, g)
		}
	}
	for _, by := range []func(x, y *Gang) int{bySize, byCloseness, byTask} {
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

// Lift takes the reservation of an idle gang out of the books and returns its sites, to be booked again by Place.
func (k *Keeper) Lift(g *Gang) []*place.Site {
	sites, claim := sitesOf(g), g.Claim
	k.unplace(g)
	g.Claim = claim
	return sites
}

// Shift moves the reservation of an idle gang to other sites.
func (k *Keeper) Shift(g *Gang, sites []*place.Site) {
	k.Lift(g)
	k.Place(g, sites)
}
