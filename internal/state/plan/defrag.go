package plan

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/place"
)

const (
	// minGangForMove is the smallest gang, in accelerators, for which other jobs are moved.
	minGangForMove = 8
	// maxMoves limits how many gangs may cause moves in one pass.
	maxMoves = 2
	// minRunBeforeMove is the run time before which a job is not moved.
	minRunBeforeMove = 2 * time.Minute
)

// defragment requests the stop of preemptible jobs to make room for a blocked gang. It does so only if these jobs can
// restart on other sites at once, and if the stops lose fewer accelerator seconds than the gang would lose by waiting
// until at, weighted by the fragmentation weight.
func (p *Planner) defragment(e *entry, at time.Time) bool {
	accs := e.shape.TotalAccelerators()
	if p.fragmentationWeight == 0 || accs < minGangForMove || p.pass.moves >= maxMoves || !p.pass.hasMovable {
		return false
	}
	p.pass.moves++
	end := p.now.Add(p.runTime(e))
	v := p.backfillView(e, end, (*place.Site).Uncommitted)
	if e.isPreemptible {
		v = p.backfillView(e, end, func(s *place.Site) place.Resources { return s.Capacity })
	}
	c := p.cheapestPlacement(e, e.shape, e.need, v, (*place.Site).Free, func(b *entry) bool {
		return b.rank() >= e.rank() && p.isMovable(b)
	})
	gain := p.fragmentationWeight * float64(accs) * at.Sub(p.now).Seconds()
	if !c.ok || c.cost >= gain || !p.fitElsewhere(c, e) {
		return false
	}
	p.awaitStops(e, c, fmt.Sprintf("moves to make room for a gang, %s", e.describe()))
	return true
}

// isMovable reports whether a job has been running for long enough to be moved.
func (p *Planner) isMovable(e *entry) bool {
	return e.state == StateRunning && p.now.Sub(e.since) >= minRunBeforeMove
}

// fitElsewhere reports whether all gangs to be stopped fit into room that is free now, beside the room planned for e.
func (p *Planner) fitElsewhere(c preemption, e *entry) bool {
	for _, s := range c.sites {
		s.Pending = s.Pending.Plus(e.need)
	}
	var booked []*entry
	var at [][]*place.Site
	ok := true
	for _, b := range c.stops {
		to := p.ledger.Fit(place.Search{Shape: b.shape, View: p.backfillView(b, p.endOf(b), (*place.Site).Free)})
		if to == nil {
			ok = false
			break
		}
		for _, s := range to {
			s.Pending = s.Pending.Plus(b.need)
		}
		booked, at = append(booked, b), append(at, to)
	}
	for i, b := range booked {
		for _, s := range at[i] {
			s.Pending = s.Pending.Minus(b.need)
		}
	}
	for _, s := range c.sites {
		s.Pending = s.Pending.Minus(e.need)
	}
	return ok
}
