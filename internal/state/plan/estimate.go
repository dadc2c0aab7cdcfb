package plan

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// defaultRunTime is assumed for jobs without a declared or estimated run time.
const defaultRunTime = time.Hour

// runTime returns the estimated run time that remains after the last checkpoint.
func (p *Planner) runTime(e *entry) time.Duration {
	d := e.declaredRunTime()
	if !p.disabled[RunTimes] {
		d = p.estimator.RunTime(e.kind(), d)
	}
	if d <= 0 {
		d = defaultRunTime
	}
	return max(d-e.job.Progress, time.Second)
}

// endOf returns the expected end of a started gang. A gang that overruns its estimate is expected to run for another
// half of the time that it has run so far.
func (p *Planner) endOf(e *entry) time.Time {
	if at, ok := p.pass.ends[e]; ok {
		return at
	}
	ran := p.now.Sub(e.since)
	left := p.runTimeOn(e, e.sites) - ran
	if left <= 0 {
		left = ran / 2
	}
	at := p.now.Add(left)
	if p.pass.ends != nil {
		p.pass.ends[e] = at
	}
	return at
}

// maxRecentShapes limits the remembered shapes of recent urgent gangs.
const maxRecentShapes = 32

// recordRecentShape remembers the shape of an urgent gang, as similar gangs are likely to follow.
func (p *Planner) recordRecentShape(e *entry) {
	if e.rank() > 0 || e.shape.Tasks < 2 {
		return
	}
	p.recentShapes = append(p.recentShapes, e.shape)
	if len(p.recentShapes) > maxRecentShapes {
		p.recentShapes = p.recentShapes[1:]
	}
}

// findTargets returns the shapes for which free accelerators should stay usable. They are taken from the guaranteed,
// queued and recent urgent gangs. Shapes with the most accelerators come first, and the weight of a shape is
// proportional to its accelerators.
func (p *Planner) findTargets(queue []*entry) []place.Target {
	var ss []fleet.Shape
	for _, g := range p.reservations.Gangs() {
		ss = append(ss, g.Need.Shape)
	}
	for _, e := range queue {
		ss = append(ss, e.job.Shape)
	}
	ss = append(ss, p.recentShapes...)
	return place.NewTargets(ss, maxTargets)
}
