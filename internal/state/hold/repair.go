package hold

import (
	"fmt"
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// steady is the room for reservations on workers that stay.
func steady(s *place.Site) place.Room {
	if s.Closed || s.Probe || s.Joined || !s.StopFrom.IsZero() {
		return place.Room{}
	}
	return s.FreeHard()
}

// usable is the room for reservations on workers that are there now, though a stop of them may be planned.
func usable(s *place.Site) place.Room {
	if s.Closed || s.Probe {
		return place.Room{}
	}
	return s.FreeHard()
}

// Repair gives every idle gang places where it can; it returns false while some gang cannot be kept.
func (k *Keeper) Repair() bool {
	k.release()
	if k.fill(k.unplaced(), steady) {
		return true
	}
	if k.repack(steady) {
		return true
	}
	return k.fill(k.unplaced(), usable) || k.repack(usable)
}

// release takes back places of idle gangs on workers that went, close, or carry more than they have.
func (k *Keeper) release() {
	for _, g := range k.gangs {
		if g.taken == 0 {
			if slices.ContainsFunc(g.Places, func(p Place) bool { return isLost(p.Site) || !p.Site.StopFrom.IsZero() }) {
				claim := g.Claim
				k.unplace(g)
				g.Claim = claim
			}
			continue
		}
		k.mend(g)
	}
}

func isLost(s *place.Site) bool {
	return s.Closed || s.Probe || !s.Hard.IsWithin(s.Capacity)
}

// mend replaces lost idle places of a gang in which jobs run, next to the others.
func (k *Keeper) mend(g *Gang) {
	for i, p := range g.Places {
		if p.Job != "" || !isLost(p.Site) {
			continue
		}
		one := g.Need.Shape
		one.Tasks = 1
		one.Adjacent = fleet.LevelWorker
		near := k.near(g)
		to := k.books.Fit(place.Search{Shape: one, View: func(s *place.Site) place.Room {
			if !near(s) {
				return place.Room{}
			}
			return steady(s)
		}})
		if to == nil {
			continue
		}
		p.Site.Hard = p.Site.Hard.Minus(g.room())
		to[0].Hard = to[0].Hard.Plus(g.room())
		g.Places[i].Site = to[0]
	}
}

// near returns a test for workers that are adjacent to the taken places of a gang.
func (k *Keeper) near(g *Gang) func(s *place.Site) bool {
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

func (k *Keeper) unplaced() []*Gang {
	var gs []*Gang
	for _, g := range k.gangs {
		if len(g.Places) == 0 {
			gs = append(gs, g)
		}
	}
	slices.SortStableFunc(gs, byRank)
	return gs
}

// fill places the gangs in the given order and reports whether all found room.
func (k *Keeper) fill(gs []*Gang, v place.View) bool {
	all := true
	for _, g := range gs {
		if to := k.books.Fit(place.Search{Shape: g.Need.Shape, View: v}); to != nil {
			k.Place(g, to)
			continue
		}
		all = false
	}
	return all
}

type layout map[*Gang][]*place.Site

// repack places all idle gangs anew in several orders and keeps the first layout that holds all of them,
// or the one that holds the most.
func (k *Keeper) repack(v place.View) bool {
	var idle []*Gang
	best := layout{}
	for _, g := range k.gangs {
		if !g.IsIdle() {
			continue
		}
		idle = append(idle, g)
		if len(g.Places) > 0 {
			best[g] = sitesOf(g)
		}
	}
	for _, by := range []func(x, y *Gang) int{bySize, byCloseness, byTask, byRank} {
		k.clear(idle)
		slices.SortStableFunc(idle, by)
		if k.fill(idle, v) {
			return true
		}
		if l := k.layout(idle); len(l) > len(best) {
			best = l
		}
	}
	k.clear(idle)
	for g, ss := range best {
		k.Place(g, ss)
	}
	return false
}

func (k *Keeper) clear(gs []*Gang) {
	for _, g := range gs {
		claim := g.Claim
		k.unplace(g)
		g.Claim = claim
	}
}

func (k *Keeper) layout(gs []*Gang) layout {
	l := layout{}
	for _, g := range gs {
		if len(g.Places) > 0 {
			l[g] = sitesOf(g)
		}
	}
	return l
}

// why says what a shape that cannot be kept lacks.
func (k *Keeper) why(s fleet.Shape) string {
	most, gone := 0, 0
	group := "in the failure domain"
	n := place.TaskRoom(s)
	for _, r := range k.books.Racks() {
		sum := 0
		for _, x := range r.Sites {
			if x.Closed || x.Probe {
				gone++
			}
			c := usable(x).Holds(n)
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
	return fmt.Sprintf("needs room for %d tasks %s, at most %d are left beside other guarantees and work that cannot be stopped; %d workers closed",
		s.Tasks, group, most, gone)
}
