package plan

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// defaultRunTime is planned for work of which nothing is known.
const defaultRunTime = time.Hour

// runTime returns how long the job is planned to run on from its last checkpoint.
func (p *Planner) runTime(e *entry) time.Duration {
	d := p.guess.RunTime(e.kind(), e.declared())
	if d <= 0 {
		d = defaultRunTime
	}
	return max(d-e.job.Progress, time.Second)
}

// endOf returns when a started gang is planned to end; one that outlives its plan is planned half as long again.
func (p *Planner) endOf(e *entry) time.Time {
	if at, ok := p.pass.ends[e]; ok {
		return at
	}
	ran := p.now.Sub(e.since)
	left := p.runTime(e) - ran
	if left <= 0 {
		left = ran / 2
	}
	at := p.now.Add(left)
	if p.pass.ends != nil {
		p.pass.ends[e] = at
	}
	return at
}

// maxRecent bounds the shapes of recent urgent gangs that are remembered.
const maxRecent = 32

// remember keeps the shape of an urgent gang, since others like it will come.
func (p *Planner) remember(e *entry) {
	if e.rank() > 0 || e.shape.Tasks < 2 {
		return
	}
	p.recent = append(p.recent, e.shape)
	if len(p.recent) > maxRecent {
		p.recent = p.recent[1:]
	}
}

// findTargets returns the shapes that the free accelerators should serve: the guaranteed, the queued and the recent
// urgent ones with the most accelerators, weighed by these.
func (p *Planner) findTargets(queue []*entry) []place.Target {
	var ss []fleet.Shape
	for _, g := range p.keeper.Gangs() {
		ss = append(ss, g.Need.Shape)
	}
	for _, e := range queue {
		ss = append(ss, e.job.Shape)
	}
	ss = append(ss, p.recent...)
	return place.NewTargets(ss, maxTargets)
}
