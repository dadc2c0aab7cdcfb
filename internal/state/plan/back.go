package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// largePart is the largest queued gang over the smallest for which capacity is held back.
const largePart = 4

// stickiness is the part of the wait by which a new spot must be earlier than the former one.
const stickiness = 0.1

// holdBack plans the start of a blocked gang and holds its sites back from work that would still run then.
func (p *Planner) holdBack(e *entry) {
	if p.greedy || p.pass.heads >= min(max(len(p.books.Racks())/racksPerHead, 1), maxHeads) {
		return
	}
	// Small gangs find room by themselves, and would use up what may be held back.
	if largePart*e.shape.TotalAccelerators() < p.pass.largest {
		return
	}
	sites, at := p.earliest(e)
	if sites == nil {
		at = p.now.Add(defaultRunTime)
	}
	if p.rearrange(e, at) || sites == nil {
		return
	}
	p.pass.heads++
	e.expected = at
	e.spot = sites[0].Rack()
	for _, s := range sites {
		if s.HeldFrom.IsZero() || at.Before(s.HeldFrom) {
			s.HeldFrom = at
		}
	}
	racks := map[*place.Rack]bool{}
	for _, s := range sites {
		racks[s.Rack()] = true
	}
	e.why = why{code: whyHeld, a: len(racks), text: e.spot.Name}
}

// release is room that running work is expected to give back.
type release struct {
	at   time.Time
	site *place.Site
	room place.Room
}

// earliest finds when and where a gang could start if running work ends as expected.
func (p *Planner) earliest(e *entry) ([]*place.Site, time.Time) {
	n := e.need
	room := map[*place.Site]place.Room{}
	view := func(s *place.Site) place.Room { return p.spread(e, s, room[s]) }
	var all []release
	var best []*place.Site
	var bestAt time.Time
	for _, r := range p.books.Racks() {
		rs := p.releases(e, r, room)
		if e.shape.Adjacent == fleet.LevelDomain {
			all = append(all, rs...)
			continue
		}
		at, ok := p.countUp(e, n, rs, room, r.Sites)
		if !ok {
			continue
		}
		if r == e.spot {
			at = p.now.Add(time.Duration(float64(at.Sub(p.now)) * (1 - stickiness)))
		}
		if best == nil || at.Before(bestAt) {
			if to := p.fitIn(r, e, view); to != nil {
				best, bestAt = to, at
			}
		}
	}
	if e.shape.Adjacent != fleet.LevelDomain {
		return best, bestAt
	}
	var sites []*place.Site
	for _, r := range p.books.Racks() {
		sites = append(sites, r.Sites...)
	}
	at, ok := p.countUp(e, n, all, room, sites)
	if !ok {
		return nil, at
	}
	return p.books.Fit(place.Search{Shape: e.shape, View: view}), at
}

func (p *Planner) fitIn(r *place.Rack, e *entry, v place.View) []*place.Site {
	return p.books.Fit(place.Search{Shape: e.shape, View: func(s *place.Site) place.Room {
		if s.Rack() != r {
			return place.Room{}
		}
		return v(s)
	}})
}

// releases fills in the room of a rack now and returns what running work gives back later.
func (p *Planner) releases(e *entry, r *place.Rack, room map[*place.Site]place.Room) []release {
	var rs []release
	for _, s := range r.Sites {
		if s.Closed || s.Probe || !s.StopFrom.IsZero() || !s.HeldFrom.IsZero() || slices.Contains(e.avoid, s.Worker.Name) ||
			!p.canUse(e, s) {
			continue
		}
		room[s] = s.Free()
		if !e.soft {
			room[s] = s.Free().Least(s.FreeHard())
		}
		for _, b := range p.on[s] {
			if b.gang != nil && !e.soft {
				// The places of a guaranteed gang stay reserved.
				continue
			}
			rs = append(rs, release{at: p.endOf(b), site: s, room: b.roomOn(s)})
		}
	}
	return rs
}

// countUp adds releases in time order until the gang fits on the sites.
func (p *Planner) countUp(e *entry, n place.Room, rs []release, room map[*place.Site]place.Room, sites []*place.Site) (time.Time, bool) {
	slices.SortStableFunc(rs, func(x, y release) int { return cmp.Compare(x.at.UnixNano(), y.at.UnixNano()) })
	holds := func(s *place.Site) int { return p.spread(e, s, room[s]).Holds(n) }
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
		if !e.soft {
			after = after.Least(x.site.Capacity)
		}
		room[x.site] = after
		have += holds(x.site) - before
		if enough(x.site, have) {
			return x.at, true
		}
	}
	return time.Time{}, false
}
