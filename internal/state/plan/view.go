package plan

import (
	"math"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/place"
)

// backfillView restricts a view to sites where the job can run now without delaying a blocked gang.
func (p *Planner) backfillView(e *entry, end time.Time, v place.View) place.View {
	open := p.openView(e, end, v)
	return func(s *place.Site) place.Resources {
		if !s.BackfillUntil.IsZero() && p.endOn(s, end).After(s.BackfillUntil) {
			return place.Resources{}
		}
		if s.Ramping && (len(p.gangsOn[s]) > 0 || e.job.IsOnce()) {
			return place.Resources{}
		}
		return open(s)
	}
}

// openView restricts a view to sites that accept the job now.
func (p *Planner) openView(e *entry, end time.Time, v place.View) place.View {
	return func(s *place.Site) place.Resources {
		if !p.isOpen(e, s, end) {
			return place.Resources{}
		}
		return p.limitPerWorker(e, s, v(s))
	}
}

// limitPerWorker limits the room of a site to the tasks that the job, together with its group, may have on one worker.
func (p *Planner) limitPerWorker(e *entry, s *place.Site, r place.Resources) place.Resources {
	r.Slots = min(r.Slots, p.tasksLeft(e, s))
	return r
}

// tasksLeft returns how many tasks the limit of a job and its group leaves on a worker.
func (p *Planner) tasksLeft(e *entry, s *place.Site) int {
	if e.job.PerWorker == 0 {
		return math.MaxInt
	}
	left := e.job.PerWorker
	for _, b := range p.gangsOn[s] {
		if b != e && e.job.Group != "" && b.job.Group == e.job.Group {
			left -= b.roomOn(s).Slots
		}
	}
	return max(left, 0)
}

// isOpen reports whether a site accepts the job now.
func (p *Planner) isOpen(e *entry, s *place.Site, end time.Time) bool {
	if s.Closed || s.OnProbation && (len(p.gangsOn[s]) > 0 || e.job.IsOnce()) {
		return false
	}
	if !s.StopFrom.IsZero() && p.endOn(s, end).After(s.StopFrom) {
		return false
	}
	if !p.mayUse(e, s) {
		return false
	}
	return len(e.avoid) == 0 || !slices.Contains(e.avoid, s.Worker.Name)
}

// mayUse reports whether a worker belongs to the service of the job, and has the label that the job requires, if any.
func (p *Planner) mayUse(e *entry, s *place.Site) bool {
	return isServedBy(e.profile.Service, s) && (e.job.Label == "" || s.HasLabel(e.job.Label))
}

// isServedBy reports whether a worker runs the jobs of a service, as far as both are known.
func isServedBy(service string, s *place.Site) bool {
	return service == "" || s.Worker.Service == "" || s.Worker.Service == service
}
