package plan

import (
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/place"
)

// Vacate records that one task of a job that is being stopped has ended, and releases its resources.
func (p *Planner) Vacate(id string, task int) {
	e, ok := p.jobs[id]
	if !ok || e.state != StateStopping || task < 0 || task >= len(e.sites) || e.vacated[task] {
		return
	}
	s := e.sites[task]
	p.releaseExtraMemoryOf(e, taskRef{task: task, site: s})
	p.deallocateTask(e, s)
	if e.vacated == nil {
		e.vacated = map[int]bool{}
	}
	e.vacated[task] = true
	if !slices.Contains(e.heldSites(), s) {
		p.unlistGang(e, s)
	}
	if e.gang != nil {
		p.reservations.ReleaseAt(e.gang, e.job.ID, s)
	}
	p.dirty = p.dirty || s.Closed || !s.StopFrom.IsZero() || p.reservations.HasUnplaced()
}

// heldSites returns the sites of the tasks of a started gang that have not ended.
func (e *entry) heldSites() []*place.Site {
	if len(e.vacated) == 0 {
		return e.sites
	}
	out := make([]*place.Site, 0, len(e.sites))
	for i, s := range e.sites {
		if !e.vacated[i] {
			out = append(out, s)
		}
	}
	return out
}
