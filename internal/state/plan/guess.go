package plan

import (
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/place"
)

// defaultRunTime is planned for work of which nothing is known.
const defaultRunTime = time.Hour

// runTime returns how long the job is planned to run on from its last checkpoint.
func (p *Planner) runTime(e *entry) time.Duration {
	d := e.job.RunTime
	if d <= 0 {
		d = e.profile.RunTime
	}
	if d <= 0 {
		d = defaultRunTime
	}
	return max(d-e.job.Progress, time.Second)
}

// endOf returns when a started gang is planned to end; one that outlives its plan is planned half as long again.
func (p *Planner) endOf(e *entry) time.Time {
	ran := p.now.Sub(e.since)
	if left := p.runTime(e) - ran; left > 0 {
		return p.now.Add(left)
	}
	return p.now.Add(ran / 2)
}

// findTargets returns the shapes that the free accelerators should serve: the guaranteed and the queued ones with the
// most accelerators, weighed by these.
func (p *Planner) findTargets(queue []*entry) []place.Target {
	seen := map[place.Target]bool{}
	var ts []place.Target
	add := func(t place.Target) {
		t.Weight = float64(t.Shape.TotalAccelerators())
		if t.Weight > 0 && !seen[t] {
			seen[t] = true
			ts = append(ts, t)
		}
	}
	for _, g := range p.keeper.Gangs() {
		add(place.Target{Shape: g.Need.Shape})
	}
	for _, e := range queue {
		add(place.Target{Shape: e.job.Shape})
	}
	slices.SortStableFunc(ts, func(x, y place.Target) int { return int(y.Weight - x.Weight) })
	if len(ts) > maxTargets {
		ts = ts[:maxTargets]
	}
	sum := 0.0
	for _, t := range ts {
		sum += t.Weight
	}
	for i := range ts {
		ts[i].Weight /= sum
	}
	return ts
}
