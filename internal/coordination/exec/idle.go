package exec

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

const (
	// idleCheckInterval is the time between two looks at the jobs that have nothing at work.
	idleCheckInterval = time.Second
	// minIdleTime is how long a job has nothing at work before it is reported as idle.
	minIdleTime = 2 * time.Second
	// stallTime is how long a job has nothing at work beside room for two of it before it counts as stalled.
	stallTime = 3 * time.Second
	// maxIdleChecks bounds the kinds of work for which one look searches room.
	maxIdleChecks = 32
)

// idleJob is a job, or a unit that lasts, with nothing at work.
type idleJob struct {
	// unit is the one that has been in its phase longest.
	unit  *unit
	since time.Time
	// roomSince is since when each look found room for two of the unit; zero if the last found none.
	roomSince time.Time
	isStalled bool
}

// isBesideRoom reports whether the last look found room for two of the unit.
func (x *idleJob) isBesideRoom() bool {
	return !x.roomSince.IsZero()
}

// roomFor returns for how long there has been room, as far as is known.
func (x *idleJob) roomFor(now time.Time) time.Duration {
	if !x.isBesideRoom() {
		return 0
	}
	return now.Sub(x.roomSince)
}

// idleKey returns the name under which the idle time of a unit counts: a unit that lasts counts by itself, and others with their job.
func idleKey(u *unit) string {
	if u.step.Lasts {
		return u.name
	}
	return u.job
}

// checkIdleJobs looks at the jobs that have nothing at work, once in idleCheckInterval.
func (e *Engine) checkIdleJobs(now time.Time) {
	if now.Before(e.nextIdleCheck) {
		return
	}
	e.nextIdleCheck = now.Add(idleCheckInterval)
	e.updateIdleJobs(now)
}

// updateIdleJobs finds the jobs that have nothing at work, and notes for how long there has been room for two of them.
func (e *Engine) updateIdleJobs(now time.Time) {
	e.idle = e.findIdleJobs(now)
	rooms := map[workKind]bool{}
	idle, blocked, stalled, unchecked := 0, 0, 0, 0
	for _, x := range e.sortIdleJobs(0, now) {
		isChecked := e.checkRoom(x, rooms, now)
		if now.Sub(x.since) >= minIdleTime {
			idle++
			blocked += count(x.isBesideRoom())
			unchecked += count(!isChecked)
		}
		if x.roomFor(now) >= stallTime {
			stalled++
			e.noteStall(x, now)
		}
	}
	e.scope.Gauge("jobs_idle").Update(float64(idle))
	e.scope.Gauge("jobs_idle_beside_room").Update(float64(blocked))
	e.scope.Gauge("jobs_idle_unchecked").Update(float64(unchecked))
	e.scope.Gauge("jobs_stalled").Update(float64(stalled))
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

// findIdleJobs returns the jobs that have nothing at work; those that had nothing at the last look keep their times.
func (e *Engine) findIdleJobs(now time.Time) map[string]*idleJob {
	out := map[string]*idleJob{}
	busy := map[string]bool{}
	for _, u := range e.units {
		k := idleKey(u)
		if busy[k] || u.isOver || e.isAtWork(u) {
			busy[k] = true
			delete(out, k)
			continue
		}
		x := out[k]
		if x == nil {
			x = &idleJob{unit: u}
			out[k] = x
		}
		if u.phaseSince.Before(x.unit.phaseSince) {
			x.unit = u
		}
		x.since = later(x.since, e.lastAtWork(u, now))
	}
	for k, x := range out {
		if before := e.idle[k]; before != nil {
			x.since, x.roomSince, x.isStalled = before.since, before.roomSince, before.isStalled
		}
	}
	return out
}

// isAtWork reports whether a unit runs, on workers that answer.
func (e *Engine) isAtWork(u *unit) bool {
	return u.phase == phaseRunning && e.findSilentWorker(u) == ""
}

// findSilentWorker returns a worker that does not answer and on which a task of the unit may be, or an empty string.
func (e *Engine) findSilentWorker(u *unit) string {
	for _, m := range u.members {
		if w := e.workers[m.worker]; m.presence != taskEnded && w != nil && w.isSuspect {
			return w.name
		}
	}
	return ""
}

// lastAtWork returns when a unit was last at work, as far as is known; a unit that has not been at work counts from its phase.
func (e *Engine) lastAtWork(u *unit, now time.Time) time.Time {
	switch {
	case u.phase == phaseQueued:
		return later(u.phaseSince, e.planner.IdleSince(u.name))
	case u.phase != phaseRunning:
		return u.phaseSince
	}
	if at := e.workers[e.findSilentWorker(u)].lastReport; !at.IsZero() {
		return at
	}
	return now
}

// sortIdleJobs returns the jobs that have been idle for at least a given time, those that have been so longest first.
func (e *Engine) sortIdleJobs(atLeast time.Duration, now time.Time) []*idleJob {
	var out []*idleJob
	for _, x := range e.idle {
		if now.Sub(x.since) >= atLeast {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(x, y *idleJob) int {
		return cmp.Or(x.since.Compare(y.since), cmp.Compare(x.unit.name, y.unit.name))
	})
	return out
}

// workKind is what decides where there is room for a unit.
type workKind struct {
	org, queue, label string
	shape             fleet.Shape
	isAdjacent        bool
	hasCheckpoints    bool
	isLasting         bool
	mayMiss           int
	// unit is the name of a unit that is the only one of its kind: its step has a limit per worker, or it may need more memory
	// after it has failed.
	unit string
}

func (u *unit) workKind() workKind {
	k := workKind{
		org: u.org, queue: u.queue, label: u.step.Label, isAdjacent: u.step.Adjacent, hasCheckpoints: u.step.Checkpoints,
		isLasting: u.step.Lasts, mayMiss: u.step.MayMiss,
		shape: fleet.Shape{Tasks: 1, Accelerators: u.step.Accelerators, Processors: u.step.Processors, Memory: u.step.Memory},
	}
	if u.key.Index == jobs.WholeGang {
		k.shape.Tasks = u.step.Tasks
	}
	if u.step.PerWorker > 0 || u.failures > 0 {
		k.unit = u.name
	}
	return k
}

// checkRoom notes whether there is room for two of an idle unit, and reports whether that is known.
func (e *Engine) checkRoom(x *idleJob, rooms map[workKind]bool, now time.Time) bool {
	k := x.unit.workKind()
	hasRoom, isKnown := rooms[k]
	if !isKnown && len(rooms) < maxIdleChecks && e.deferred[x.unit.name] == nil {
		hasRoom, isKnown = e.planner.FitsTwice(x.unit.name), true
		rooms[k] = hasRoom
	}
	switch {
	case !hasRoom:
		x.roomSince, x.isStalled = time.Time{}, false
	case x.roomSince.IsZero():
		x.roomSince = now
	}
	return isKnown
}

// idleCause returns why a unit is not at work, as far as is known.
func (e *Engine) idleCause(u *unit) string {
	switch {
	case e.deferred[u.name] != nil:
		return "Deferred"
	case u.phase == phaseQueued:
		return string(e.planner.WaitCause(u.name))
	case u.phase == phaseStoring || u.phase == phaseEnding:
		return "Store"
	case e.findSilentWorker(u) != "":
		return "SilentWorker"
	default:
		return "Worker"
	}
}

// noteStall reports a job that has begun to count as stalled.
func (e *Engine) noteStall(x *idleJob, now time.Time) {
	if x.isStalled {
		return
	}
	x.isStalled = true
	u := x.unit
	e.scope.Counter("job_stalls").Inc(1)
	e.log.Warn("job is stalled", "Job", u.job, "Unit", u.name, "Phase", u.phase.String(), "Why", e.idleCause(u),
		"Worker", e.firstWorker(u), "Run", u.run, "For", roundedSince(x.since, now), "RoomFor", roundedSince(x.roomSince, now), "Term", e.term)
}

// firstWorker returns a worker on which a task of the unit may be, one that does not answer before others; it is empty if there is
// none.
func (e *Engine) firstWorker(u *unit) string {
	if w := e.findSilentWorker(u); w != "" {
		return w
	}
	for _, m := range u.members {
		if m.presence != taskEnded {
			return m.worker
		}
	}
	return ""
}

func roundedSince(at, now time.Time) string {
	return now.Sub(at).Round(time.Millisecond).String()
}
