package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/hold"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

type entry struct {
	job        fleet.Job
	submission *submission
	profile    *config.Profile
	state      string
	// shape is the job's shape with the estimated memory; need is the room for one of its tasks.
	shape fleet.Shape
	need  place.Resources
	sites []*place.Site
	// gang is the guaranteed gang in which the job runs or whose borrowers are being stopped for it.
	gang *hold.Gang
	// awaited are the sites from which borrowers are being stopped for the job.
	awaited []*place.Site
	// isPreemptible is set for jobs that can be stopped in time for every guarantee; these may run on reserved
	// capacity.
	isPreemptible bool
	since         time.Time
	// newestRank is the rank under which newestByRank lists the entry; zero means none, as urgent jobs are not listed.
	newestRank int
	// stopReason is the reason for a requested stop; empty if none is requested.
	stopReason string
	reason     waitReason
	expected   time.Time
	// plannedRack is the rack in which a blocked gang is planned to start.
	plannedRack *place.Rack
	avoid       []string
	// refusedBy are workers that were lost during an attempt or did not accept a task of it.
	refusedBy []string
	// isLastResort is set if the last start was that of an overdue job, which may be on a worker that the job avoids.
	isLastResort bool
	// starts counts the starts decided by this planner; starts under a former owner are not included.
	starts int
	// backoff doubles with each unsuccessful attempt in a row; the job is not started before notBefore.
	backoff   time.Duration
	notBefore time.Time
	// peakMemory is the highest memory use measured for a task; neededMemory is the memory planned for each task of
	// the job once the job is queued again.
	peakMemory   fleet.Bytes
	neededMemory fleet.Bytes
	extra        map[taskRef]fleet.Bytes
	throttled    map[taskRef]bool
}

// hasRun reports whether some attempt of the job may have run.
func (e *entry) hasRun() bool {
	return e.starts > 0 || e.job.Progress > 0
}

func (e *entry) rank() int {
	return e.profile.Urgency.Rank()
}

func (e *entry) isUrgent() bool {
	return e.rank() == 0
}

func (e *entry) isQueued() bool {
	return e.state == StateQueued
}

func (e *entry) hasPlaces() bool {
	return len(e.sites) > 0
}

var noProfile = config.Profile{Urgency: config.Normal}

func (p *Planner) newEntry(j fleet.Job) *entry {
	e := &entry{job: j, state: StateQueued, shape: j.Shape, profile: p.profile(j.Profile)}
	e.shape.Memory = p.estimator.Memory(e.kind(), j.Shape.Memory)
	if e.shape.Memory > j.Shape.Memory && (p.isCovered(e) || e.shape.Memory > p.largestWorker().Memory) {
		e.shape.Memory = j.Shape.Memory
	}
	e.need = place.TaskResources(e.shape)
	e.isPreemptible = p.computePreemptible(e)
	return e
}

func (p *Planner) profile(name string) *config.Profile {
	if x, ok := p.profiles[name]; ok {
		return x
	}
	return &noProfile
}

// computePreemptible reports whether the job may be stopped for other jobs and can be stopped within the shortest wait
// bound of any guarantee.
func (p *Planner) computePreemptible(e *entry) bool {
	if !e.profile.Stoppable || e.job.IsOnce() || e.profile.Once || e.job.IsFirm {
		return false
	}
	return p.minWaitBound == 0 || e.profile.ReclaimBound <= p.minWaitBound
}

// Submit queues a job. It returns an error if the job can never run here or if the queue is full.
func (p *Planner) Submit(j fleet.Job) error {
	if err := j.Shape.Check(); err != nil {
		return fmt.Errorf("submit %s: %w", j.ID, err)
	}
	if _, ok := p.jobs[j.ID]; ok {
		return nil
	}
	e := p.newEntry(j)
	if err := p.checkFits(e); err != nil {
		return fmt.Errorf("submit %s: %w", j.ID, err)
	}
	if err := p.admit(e); err != nil {
		return fmt.Errorf("submit %s: %w", j.ID, err)
	}
	p.addJob(e)
	p.recordRecentShape(e)
	p.enqueue(e)
	return nil
}

// Adopt records a gang that a former owner started.
func (p *Planner) Adopt(j fleet.Job, placement []fleet.Assignment, started time.Time) {
	if e, ok := p.jobs[j.ID]; ok {
		p.remove(e)
	}
	e := p.newEntry(j)
	e.since = started
	p.addJob(e)
	e.state = StateRunning
	e.submission.idleSince = started
	placement = slices.Clone(placement)
	slices.SortFunc(placement, func(x, y fleet.Assignment) int { return x.Task - y.Task })
	for _, a := range placement {
		s := p.ledger.Get(a.Worker)
		if s == nil {
			p.PutWorker(fleet.Worker{Name: a.Worker, Domain: p.domain, Leaving: true})
			s = p.ledger.Get(a.Worker)
		}
		e.sites = append(e.sites, s)
	}
	p.allocate(e)
	p.adoptGang(e)
	p.invalidate()
}

// adoptGang finds an idle guaranteed gang that covers a running job and moves its reservation to the job's sites.
func (p *Planner) adoptGang(e *entry) {
	for _, g := range p.reservations.Gangs() {
		n := g.Need
		if !g.IsIdle() || n.Organisation != e.job.Organisation || n.Profile != e.job.Profile || !hold.IsCover(n.Shape, e.job.Shape) {
			continue
		}
		if n.Shape.Tasks != len(e.sites) {
			continue
		}
		p.deallocate(e)
		e.gang = g
		p.reservations.ReserveFor(g, e.job.ID, e.sites)
		p.allocate(e)
		return
	}
}

// Cancel removes the given jobs that are still queued and returns their ids; stopping started jobs is up to the
// caller.
func (p *Planner) Cancel(ids []string) []string {
	var out []string
	for _, id := range ids {
		e, ok := p.jobs[id]
		if ok && e.isQueued() {
			p.remove(e)
			out = append(out, id)
		}
	}
	return out
}

// Started records that all tasks of a job are running.
func (p *Planner) Started(id string, at time.Time) {
	e, ok := p.jobs[id]
	if !ok || e.state != StateStarting {
		return
	}
	e.state = StateRunning
	e.since = at
	if e.isAtWork() {
		e.submission.idleSince = at
	}
}

// Stopping records that a started job is being stopped and no longer counts as running.
func (p *Planner) Stopping(id string) {
	if e, ok := p.jobs[id]; ok && (e.state == StateStarting || e.state == StateRunning) {
		e.state = StateStopping
	}
}

// Ended records the end of an attempt and releases its resources.
func (p *Planner) Ended(x Ended) {
	e, ok := p.jobs[x.Job]
	if !ok {
		return
	}
	if e.isQueued() && x.Requeue {
		return
	}
	p.recordAttempt(e, x)
	if !x.Requeue {
		p.remove(e)
		return
	}
	p.releasePlaces(e)
	p.raiseMemory(e)
	e.state = StateQueued
	e.stopReason = ""
	e.job.Progress = max(e.job.Progress, x.Progress)
	p.enqueue(e)
	p.applyBackoff(e, x)
	p.refuseIfHopeless(e)
}

// remove deletes a job and releases its resources.
func (p *Planner) remove(e *entry) {
	p.releasePlaces(e)
	if e.isQueued() {
		p.dequeue(e)
	}
	p.deleteJob(e)
	p.health.Forget(e.job.ID, false)
}

// releasePlaces releases the places of a job and withdraws its claim.
func (p *Planner) releasePlaces(e *entry) {
	if e.hasPlaces() {
		p.releaseExtraMemory(e)
		p.deallocate(e)
		if e.gang != nil {
			p.reservations.Release(e.gang, e.job.ID)
		}
		if slices.ContainsFunc(e.sites, func(s *place.Site) bool { return s.Closed || !s.StopFrom.IsZero() }) {
			p.dirty = true
		}
	}
	if e.gang != nil && e.gang.Claim == e.job.ID {
		e.gang.Claim = ""
	}
	e.gang = nil
	e.sites = nil
	e.awaited = nil
	e.plannedRack = nil
	p.dirty = p.dirty || p.reservations.HasUnplaced()
}

// detachFromGang detaches a job from a guaranteed gang that was removed; the job keeps running.
func (p *Planner) detachFromGang(e *entry) {
	if e == nil || e.gang == nil {
		return
	}
	held := e.hasPlaces()
	if held {
		p.deallocate(e)
	}
	e.gang = nil
	if held {
		p.allocate(e)
	}
}

// applyProfile updates a job after a change of its profile.
func (p *Planner) applyProfile(e *entry) {
	if e.isQueued() {
		p.dequeue(e)
	}
	held := e.hasPlaces()
	if held {
		p.deallocate(e)
	}
	e.profile = p.profile(e.job.Profile)
	e.isPreemptible = p.computePreemptible(e)
	if held {
		p.allocate(e)
	}
	if e.isQueued() {
		p.enqueue(e)
	}
}

// allocate adds a gang to the resource accounting of its sites.
func (p *Planner) allocate(e *entry) {
	for i, s := range e.sites {
		s.Used = s.Used.Plus(e.need)
		if !e.isPreemptible && e.gang == nil {
			s.Committed = s.Committed.Plus(e.need)
		}
		if !slices.Contains(e.sites[:i], s) {
			p.gangsOn[s] = append(p.gangsOn[s], e)
		}
	}
	p.usage[e.job.Organisation] = p.usage[e.job.Organisation].Plus(e.need.Times(len(e.sites)))
}

// deallocate removes a gang from the resource accounting of its sites.
func (p *Planner) deallocate(e *entry) {
	for _, s := range e.sites {
		s.Used = s.Used.Minus(e.need)
		if !e.isPreemptible && e.gang == nil {
			s.Committed = s.Committed.Minus(e.need)
		}
		es := p.gangsOn[s]
		if i := slices.Index(es, e); i >= 0 {
			es[i] = es[len(es)-1]
			p.gangsOn[s] = es[:len(es)-1]
		}
		if len(p.gangsOn[s]) == 0 {
			delete(p.gangsOn, s)
		}
	}
	u := p.usage[e.job.Organisation].Minus(e.need.Times(len(e.sites)))
	if u == (place.Resources{}) {
		delete(p.usage, e.job.Organisation)
		return
	}
	p.usage[e.job.Organisation] = u
}
