package exec

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/plan"
)

const (
	// minIdleTime is how long a job has nothing running before it is reported as idle.
	minIdleTime = 2 * time.Second
	// maxIdleChecks bounds the idle jobs whose room is looked for in one summary, and maxIdleLines the lines about them.
	maxIdleChecks = 64
	maxIdleLines  = 8
)

// idleGroup identifies idle jobs that wait for the same reason.
type idleGroup struct {
	queue        string
	org          string
	phase        phase
	cause        plan.WaitCause
	isBesideRoom bool
}

// idleJobs are the jobs of one group; first is the unit that has waited longest.
type idleJobs struct {
	group idleGroup
	jobs  int
	first *unit
}

// logIdleJobs reports jobs that have had nothing running for minIdleTime, by phase and cause, and whether there is room for
// two of the first; and open jobs that the engine does not know.
func (e *Engine) logIdleJobs(now time.Time) {
	idle := e.findIdleUnits(now)
	groups := map[idleGroup]*idleJobs{}
	blocked := 0
	for i, u := range idle {
		g := idleGroup{queue: u.queue, org: u.org, phase: u.phase}
		if u.phase == phaseQueued {
			g.cause = e.planner.WaitCause(u.name)
			g.isBesideRoom = i < maxIdleChecks && e.planner.FitsTwice(u.name)
		}
		if g.isBesideRoom {
			blocked++
		}
		if groups[g] == nil {
			groups[g] = &idleJobs{group: g, first: u}
		}
		groups[g].jobs++
	}
	e.scope.Gauge("jobs_idle").Update(float64(len(idle)))
	e.scope.Gauge("jobs_idle_beside_room").Update(float64(blocked))
	e.logIdleGroups(now, groups)
	e.logUnknownJobs()
}

// findIdleUnits returns for each job or task that lasts with nothing running for minIdleTime the unit that has been in its phase
// longest, oldest first.
func (e *Engine) findIdleUnits(now time.Time) []*unit {
	longest := map[string]*unit{}
	busy := map[string]bool{}
	for _, u := range e.units {
		id := u.job
		if u.step.Lasts {
			// A task that lasts is missed whatever else of its job runs.
			id = u.name
		}
		switch {
		case u.phase == phaseRunning || u.isOver || now.Sub(e.idleSince(u)) < minIdleTime:
			busy[id] = true
		case longest[id] == nil || u.phaseSince.Before(longest[id].phaseSince):
			longest[id] = u
		}
	}
	var out []*unit
	for id, u := range longest {
		if !busy[id] {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(x, y *unit) int {
		return cmp.Or(x.phaseSince.Compare(y.phaseSince), cmp.Compare(x.name, y.name))
	})
	return out
}

// idleSince returns since when the job of a queued unit has had nothing running, or since when another unit has been in its
// phase.
func (e *Engine) idleSince(u *unit) time.Time {
	if u.phase != phaseQueued {
		return u.phaseSince
	}
	return later(u.phaseSince, e.planner.IdleSince(u.name))
}

// logIdleGroups writes a line for each of the largest groups, those beside free room first.
func (e *Engine) logIdleGroups(now time.Time, groups map[idleGroup]*idleJobs) {
	var out []*idleJobs
	for _, g := range groups {
		out = append(out, g)
	}
	slices.SortFunc(out, func(x, y *idleJobs) int {
		if x.group.isBesideRoom != y.group.isBesideRoom {
			if x.group.isBesideRoom {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.jobs, x.jobs), cmp.Compare(x.first.name, y.first.name))
	})
	for _, g := range out[:min(len(out), maxIdleLines)] {
		u := g.first
		e.log.Info("jobs are idle", "Queue", u.queue, "Organisation", u.org, "Jobs", g.jobs, "BesideRoom", g.group.isBesideRoom,
			"Phase", u.phase.String(), "Why", string(g.group.cause), "Deferred", e.deferred[u.name] != nil, "First", u.name,
			"Run", u.run, "Failures", u.failures, "For", now.Sub(e.idleSince(u)).Round(time.Millisecond).String(), "Term", e.term)
	}
}

// logUnknownJobs reports open jobs of the table of which the engine has no unit.
func (e *Engine) logUnknownJobs() {
	known := map[string]bool{}
	for _, u := range e.units {
		known[u.job] = true
	}
	n, first := 0, ""
	for _, id := range e.deps.Table.FindOpen() {
		_, isScheduled := e.nextDue[id]
		if known[id] || isScheduled || e.endingJobs[id] {
			continue
		}
		n++
		if first == "" || id < first {
			first = id
		}
	}
	e.scope.Gauge("jobs_unknown").Update(float64(n))
	if n > 0 {
		e.log.Warn("open jobs without a unit", "Jobs", n, "First", first, "Term", e.term)
	}
}
