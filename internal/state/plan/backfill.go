package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// maxGangSizeRatio limits reservations to gangs of at least 1/maxGangSizeRatio of the largest queued gang.
const maxGangSizeRatio = 4

// rackSwitchMargin is a fraction of the wait: a blocked gang is planned in another rack only if it starts earlier there
// than in the previously planned rack by more than this fraction.
const rackSwitchMargin = 0.1

// reserveForBlocked plans the start of a blocked gang and reserves its sites: backfilled work must end before that
// start.
func (p *Planner) reserveForBlocked(e *entry) {
	if p.noReservations || p.pass.reservations >= min(max(len(p.ledger.Racks())/racksPerReservation, 1), maxReservations) {
		return
	}
	// Small gangs find room without a reservation. Reserving for them would use up the limited number of reservations.
	if maxGangSizeRatio*e.shape.TotalAccelerators() < p.pass.largestGang {
		return
	}
	sites, at := p.earliestStart(e)
	if sites == nil {
		at = p.now.Add(defaultRunTime)
	}
	if p.defragment(e, at) || sites == nil {
		return
	}
	p.pass.reservations++
	e.expected = at
	e.plannedRack = sites[0].Rack()
	for _, s := range sites {
		if s.BackfillUntil.IsZero() || at.Before(s.BackfillUntil) {
			s.BackfillUntil = at
		}
	}
	racks := map[*place.Rack]bool{}
	for _, s := range sites {
		racks[s.Rack()] = true
	}
	e.reason = waitReason{code: reasonReserved, a: len(racks), text: e.plannedRack.Name}
}

// release is room that is expected to become free when a running gang ends.
type release struct {
	at   time.Time
	site *place.Site
	room place.Resources
}

// earliestStart returns the sites and the time at which a gang could start if running gangs end as expected.
func (p *Planner) earliestStart(e *entry) ([]*place.Site, time.Time) {
	n := e.need
	room := map[*place.Site]place.Resources{}
	view := func(s *place.Site) place.Resources { return p.limitPerWorker(e, s, room[s]) }
	var all []release
	var best []*place.Site
	var bestAt time.Time
	for _, r := range p.ledger.Racks() {
		rs := p.releases(e, r, room)
		if e.shape.Adjacent == fleet.LevelDomain {
			all = append(all, rs...)
			continue
		}
		at, ok := p.earliestFit(e, n, rs, room, r.Sites)
		if !ok {
			continue
		}
		if r == e.plannedRack {
			at = p.now.Add(time.Duration(float64(at.Sub(p.now)) * (1 - rackSwitchMargin)))
		}
		if best == nil || at.Before(bestAt) {
			if to := p.fitInRack(r, e, view); to != nil {
				best, bestAt = to, at
			}
		}
	}
	if e.shape.Adjacent != fleet.LevelDomain {
		return best, bestAt
	}
	var sites []*place.Site
	for _, r := range p.ledger.Racks() {
		sites = append(sites, r.Sites...)
	}
	at, ok := p.earliestFit(e, n, all, room, sites)
	if !ok {
		return nil, at
	}
	return p.ledger.Fit(place.Search{Shape: e.shape, View: view}), at
}

func (p *Planner) fitInRack(r *place.Rack, e *entry, v place.View) []*place.Site {
	return p.ledger.Fit(place.Search{Shape: e.shape, View: func(s *place.Site) place.Resources {
		if s.Rack() != r {
			return place.Resources{}
		}
		return v(s)
	}})
}

// releases sets the room that is free now on each usable site of a rack, and returns what running gangs free later.
func (p *Planner) releases(e *entry, r *place.Rack, room map[*place.Site]place.Resources) []release {
	var rs []release
	for _, s := range r.Sites {
		if s.Closed || s.OnProbation || !s.StopFrom.IsZero() || !s.BackfillUntil.IsZero() || slices.Contains(e.avoid, s.Worker.Name) ||
			!p.mayUse(e, s) {
			continue
		}
		room[s] = s.Free()
		if !e.isPreemptible {
			room[s] = s.Free().Min(s.Uncommitted())
		}
		for _, b := range p.gangsOn[s] {
			if b.gang != nil && !e.isPreemptible {
				// The places of a guaranteed gang stay reserved after its job ends.
				continue
			}
			rs = append(rs, release{at: p.endOf(b), site: s, room: b.roomOn(s)})
		}
	}
	return rs
}

// earliestFit applies releases in time order until the gang fits on the sites, and returns the time at which it does.
func (p *Planner) earliestFit(e *entry, n place.Resources, rs []release, room map[*place.Site]place.Resources, sites []*place.Site) (time.Time, bool) {
	slices.SortStableFunc(rs, func(x, y release) int { return cmp.Compare(x.at.UnixNano(), y.at.UnixNano()) })
	holds := func(s *place.Site) int { return p.limitPerWorker(e, s, room[s]).Holds(n) }
	have := 0
	enough := func(s *place.Site, sum int) bool {
		if e.shape.Adjacent == fleet.LevelWorker {
			return holds(s) >= e.shape.Tasks
		}
		return sum >= e.shape.Tasks
	}
	for _, s := range sites {
		have += holds(s)
		if enough(s, have) {
			return p.now, true
		}
	}
	for _, x := range rs {
		before := holds(x.site)
		after := room[x.site].Plus(x.room)
		if !e.isPreemptible {
			after = after.Min(x.site.Capacity)
		}
		room[x.site] = after
		have += holds(x.site) - before
		if enough(x.site, have) {
			return x.at, true
		}
	}
	return time.Time{}, false
}
