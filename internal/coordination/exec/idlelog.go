package exec

import (
	"cmp"
	"slices"
	"time"
)

// maxIdleLines bounds the lines about idle jobs in one summary.
const maxIdleLines = 8

// idleGroup identifies idle jobs that wait for the same reason.
type idleGroup struct {
	queue        string
	org          string
	phase        phase
	cause        string
	isBesideRoom bool
}

// idleJobs are the jobs of one group; first is the one that has been idle longest, and roomSince is since when there has been room
// for any of them.
type idleJobs struct {
	group     idleGroup
	jobs      int
	first     *idleJob
	roomSince time.Time
}

// logIdleJobs reports the jobs that have had nothing at work for minIdleTime, by phase and cause, and whether there was room for two
// of them at the last look; and open jobs that the engine does not know.
func (e *Engine) logIdleJobs(now time.Time) {
	groups := map[idleGroup]*idleJobs{}
	for _, x := range e.sortIdleJobs(minIdleTime, now) {
		u := x.unit
		k := idleGroup{queue: u.queue, org: u.org, phase: u.phase, cause: e.idleCause(u), isBesideRoom: x.isBesideRoom()}
		g := groups[k]
		if g == nil {
			g = &idleJobs{group: k, first: x, roomSince: x.roomSince}
			groups[k] = g
		}
		g.jobs++
		g.roomSince = earlier(g.roomSince, x.roomSince)
	}
	e.logIdleGroups(now, groups)
	e.logUnknownJobs()
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
		return cmp.Or(cmp.Compare(y.jobs, x.jobs), cmp.Compare(x.first.unit.name, y.first.unit.name))
	})
	for _, g := range out[:min(len(out), maxIdleLines)] {
		u, k := g.first.unit, g.group
		args := []any{
			"Queue", k.queue, "Organisation", k.org, "Jobs", g.jobs, "BesideRoom", k.isBesideRoom, "Phase", k.phase.String(), "Why", k.cause,
			"First", u.name, "Worker", e.firstWorker(u), "Run", u.run, "Failures", u.failures, "For", roundedSince(g.first.since, now),
			"InPhase", roundedSince(u.phaseSince, now), "Term", e.term,
		}
		if k.isBesideRoom {
			args = append(args, "RoomFor", roundedSince(g.roomSince, now))
		}
		e.log.Info("jobs are idle", args...)
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
