package hold

import (
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// Reservations holds the reservations of a failure domain, one for each guaranteed gang. The reserved resources are
// counted in Site.Committed.
type Reservations struct {
	ledger *place.Ledger
	gangs  []*Gang
}

// New returns Reservations without gangs.
func New(l *place.Ledger) *Reservations {
	return &Reservations{ledger: l}
}

// Gangs returns all guaranteed gangs; the caller must not change the slice.
func (r *Reservations) Gangs() []*Gang {
	return r.gangs
}

// SetNeeds replaces the needs and returns the ids of the jobs in the reservations of gangs that were removed.
func (r *Reservations) SetNeeds(ns []Need) []string {
	var kept []*Gang
	old := slices.Clone(r.gangs)
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
		r.unplace(g)
	}
	r.gangs = kept
	return jobs
}

// Find returns the unclaimed gangs of an organisation and profile whose idle places can hold a job of the shape, those
// with the fewest idle places first.
func (r *Reservations) Find(org, profile string, s fleet.Shape) []*Gang {
	var gs []*Gang
	for _, g := range r.gangs {
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
func (r *Reservations) FindUnkept() []Unkept {
	var us []Unkept
	for _, g := range r.gangs {
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
			Reason: r.unmetReason(g.Need.Shape),
		})
	}
	return us
}

// Take assigns a job to idle places of a gang, one per entry of sites. It returns false and assigns nothing if the gang
// has no such idle places.
func (r *Reservations) Take(g *Gang, job string, sites []*place.Site) bool {
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
func (r *Reservations) Release(g *Gang, job string) {
	for i := range g.Places {
		if g.Places[i].Job == job {
			g.Places[i].Job = ""
			g.taken--
		}
	}
}

// ReleaseAt marks one place of a job on a site as idle.
func (r *Reservations) ReleaseAt(g *Gang, job string, s *place.Site) {
	i := slices.IndexFunc(g.Places, func(p Place) bool { return p.Site == s && p.Job == job })
	if i >= 0 {
		g.Places[i].Job = ""
		g.taken--
	}
}

// Reserve reserves the sites, one per task, for a gang without a reservation.
func (r *Reservations) Reserve(g *Gang, sites []*place.Site) {
	g.Places = make([]Place, len(sites))
	for i, s := range sites {
		g.Places[i].Site = s
		s.Committed = s.Committed.Plus(g.room())
	}
}

// unplace cancels the reservation of a gang and its claim.
func (r *Reservations) unplace(g *Gang) {
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

// ReserveFor moves the reservation of a gang to the sites on which a job runs already, and assigns it to that job.
func (r *Reservations) ReserveFor(g *Gang, job string, sites []*place.Site) {
	r.unplace(g)
	r.Reserve(g, sites)
	for i := range g.Places {
		g.Places[i].Job = job
	}
	g.taken = len(g.Places)
}

// HasUnplaced reports whether some gang has no reservation.
func (r *Reservations) HasUnplaced() bool {
	return slices.ContainsFunc(r.gangs, func(g *Gang) bool { return len(g.Places) == 0 })
}
