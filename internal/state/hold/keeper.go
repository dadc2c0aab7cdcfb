package hold

import (
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// Keeper manages the reservations of a failure domain; they are part of Site.Committed.
type Keeper struct {
	books *place.Ledger
	gangs []*Gang
}

// New returns a Keeper without gangs.
func New(b *place.Ledger) *Keeper {
	return &Keeper{books: b}
}

// Gangs returns all guaranteed gangs; the caller must not change the slice.
func (k *Keeper) Gangs() []*Gang {
	return k.gangs
}

// SetNeeds replaces the needs and returns the ids of the jobs in the reservations of gangs that were removed.
func (k *Keeper) SetNeeds(ns []Need) []string {
	var kept []*Gang
	old := slices.Clone(k.gangs)
	// When a guarantee shrinks, gangs in use are kept in preference to idle ones.
	slices.SortStableFunc(old, func(x, y *Gang) int { return y.taken - x.taken })
	for _, n := range ns {
		for range n.Gangs {
			i := slices.IndexFunc(old, func(g *Gang) bool { return g.isSame(n) })
			if i < 0 {
				kept = append(kept, &Gang{Need: n})
				continue
			}
			old[i].Need = n
			kept = append(kept, old[i])
			old = slices.Delete(old, i, i+1)
		}
	}
	var jobs []string
	for _, g := range old {
		for _, p := range g.Places {
			if p.Job != "" && !slices.Contains(jobs, p.Job) {
				jobs = append(jobs, p.Job)
			}
		}
		k.unplace(g)
	}
	k.gangs = kept
	return jobs
}

// Find returns the unclaimed gangs of an organisation and profile whose idle places can hold a job of the shape, those
// with the fewest idle places first.
func (k *Keeper) Find(org, profile string, s fleet.Shape) []*Gang {
	var gs []*Gang
	for _, g := range k.gangs {
		if g.Need.Organisation != org || g.Need.Profile != profile || g.Claim != "" {
			continue
		}
		if len(g.Places) > 0 && g.Idle() >= s.Tasks && IsCover(g.Need.Shape, s) {
			gs = append(gs, g)
		}
	}
	slices.SortStableFunc(gs, func(x, y *Gang) int {
		return (x.Idle() - y.Idle())
	})
	return gs
}

// FindUnkept returns the guaranteed gangs that lack a complete reservation at present, grouped by guarantee.
func (k *Keeper) FindUnkept() []Unkept {
	var us []Unkept
	for _, g := range k.gangs {
		if g.hasPlaces() {
			continue
		}
		n := len(us)
		if n > 0 && us[n-1].Organisation == g.Need.Organisation && us[n-1].Profile == g.Need.Profile && us[n-1].Shape == g.Need.Shape {
			us[n-1].Gangs++
			continue
		}
		us = append(us, Unkept{
			Organisation: g.Need.Organisation, Profile: g.Need.Profile, Gangs: 1, Shape: g.Need.Shape,
			Reason: k.unmetReason(g.Need.Shape),
		})
	}
	return us
}

// Take assigns a job to idle places of a gang, one per entry of sites. It returns false and assigns nothing if the gang
// has no such idle places.
func (k *Keeper) Take(g *Gang, job string, sites []*place.Site) bool {
	var at []int
	for _, s := range sites {
		i := slices.IndexFunc(g.Places, func(p Place) bool { return p.Site == s && p.Job == "" })
		if i < 0 {
			for _, j := range at {
				g.Places[j].Job = ""
			}
			return false
		}
		g.Places[i].Job = job
		at = append(at, i)
	}
	g.taken += len(at)
	return true
}

// Release marks the places of a job as idle.
func (k *Keeper) Release(g *Gang, job string) {
	for i := range g.Places {
		if g.Places[i].Job == job {
			g.Places[i].Job = ""
			g.taken--
		}
	}
}

// Place reserves the sites, one per task, for a gang without a reservation.
func (k *Keeper) Place(g *Gang, sites []*place.Site) {
	g.Places = make([]Place, len(sites))
	for i, s := range sites {
		g.Places[i].Site = s
		s.Committed = s.Committed.Plus(g.room())
	}
}

// unplace cancels the reservation of a gang and its claim.
func (k *Keeper) unplace(g *Gang) {
	for _, p := range g.Places {
		p.Site.Committed = p.Site.Committed.Minus(g.room())
	}
	g.Places = nil
	g.taken = 0
	g.Claim = ""
}

func sitesOf(g *Gang) []*place.Site {
	out := make([]*place.Site, len(g.Places))
	for i, p := range g.Places {
		out[i] = p.Site
	}
	return out
}

// Seize moves the reservation of a gang to the sites on which a job runs already, and assigns it to that job.
func (k *Keeper) Seize(g *Gang, job string, sites []*place.Site) {
	k.unplace(g)
	k.Place(g, sites)
	for i := range g.Places {
		g.Places[i].Job = job
	}
	g.taken = len(g.Places)
}

// HasUnplaced reports whether some gang has no reservation.
func (k *Keeper) HasUnplaced() bool {
	return slices.ContainsFunc(k.gangs, func(g *Gang) bool { return len(g.Places) == 0 })
}
