package plan

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/place"
)

const (
	// minMovedGang is the smallest gang, in accelerators, for which other work is moved.
	minMovedGang = 8
	// maxMoves bounds the gangs for which work is moved in one pass.
	maxMoves = 2
	// settleTime is how long a job runs before it is moved.
	settleTime = 2 * time.Minute
)

// rearrange moves work that can be stopped out of the way of a blocked gang: only work that fits elsewhere at once,
// and only when the gang's wait until at costs more than the checkpoints and restarts.
func (p *Planner) rearrange(e *entry, at time.Time) bool {
	accs := e.shape.TotalAccelerators()
	if p.weight == 0 || accs < minMovedGang || p.pass.moves >= maxMoves || !p.pass.hasMovable {
		return false
	}
	p.pass.moves++
	end := p.now.Add(p.runTime(e))
	v := p.unheld(e, end, (*place.Site).FreeHard)
	if e.soft {
		v = p.unheld(e, end, func(s *place.Site) place.Room { return s.Capacity })
	}
	c := p.cheapestSpot(e, e.shape, e.need, v, (*place.Site).Free, func(b *entry) bool {
		return b.rank() >= e.rank() && p.isMovable(b)
	})
	gain := p.weight * float64(accs) * at.Sub(p.now).Seconds()
	if !c.ok || c.cost >= gain || !p.fitElsewhere(c, e) {
		return false
	}
	p.await(e, c, fmt.Sprintf("moves to make room for a gang, %s", e.label()))
	return true
}

// isMovable reports whether a job has run long enough to be moved.
func (p *Planner) isMovable(e *entry) bool {
	return e.state == StateRunning && p.now.Sub(e.since) >= settleTime
}

// fitElsewhere reports whether all stopped gangs could start again at once besides the sites of the clearing.
func (p *Planner) fitElsewhere(c clearing, e *entry) bool {
	for _, s := range c.sites {
		s.Pending = s.Pending.Plus(e.need)
	}
	var booked []*entry
	var at [][]*place.Site
	ok := true
	for _, b := range c.stops {
		to := p.books.Fit(place.Search{Shape: b.shape, View: p.unheld(b, p.endOf(b), (*place.Site).Free)})
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
