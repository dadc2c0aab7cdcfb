package plan

import (
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

const (
	// racksPerReservation is the number of racks per blocked gang with a reservation; more reservations would starve
	// backfill.
	racksPerReservation = 8
	// maxReservations limits the reservations for blocked gangs in a large failure domain.
	maxReservations = 8
	// maxMoveTries limits the searches of one pass that move the reservations of guarantees.
	maxMoveTries = 16
	// maxTargets limits the shapes against which fragmentation is measured.
	maxTargets = 8
)

// roomQuery holds all properties of a job, apart from its run time and the workers that it avoids, that decide where a
// pass finds room for it.
type roomQuery struct {
	shape         fleet.Shape
	isPreemptible bool
	service       string
	label         string
	// group is the group of a job with a limit of tasks per worker.
	group     string
	perWorker int
}

func (e *entry) roomQuery() roomQuery {
	return roomQuery{
		shape: e.shape, isPreemptible: e.isPreemptible, service: e.profile.Service, label: e.job.Label, group: e.job.Group, perWorker: e.job.PerWorker,
	}
}

// preemptionKey holds all properties of a job that decide whether it may preempt others.
type preemptionKey struct {
	shape        fleet.Shape
	rank         int
	timeliness   timeliness
	isGuaranteed bool
	org          string
	service      string
}

// passState holds the counters and caches of one pass.
type passState struct {
	// failed maps each query to the shortest run time for which a search found no room. Jobs with the same query and at
	// least this run time are not searched for again in the pass, unless they avoid workers.
	failed       map[roomQuery]time.Duration
	moveTries    int
	reservations int
	moves        int
	// largestGang is the number of accelerators of the largest queued gang.
	largestGang int
	// noPreemption is set for each key for which preemption cannot make room within the loss bound.
	noPreemption map[preemptionKey]bool
	// urgent holds the accelerators needed by all urgent jobs of each organisation.
	urgent map[string]int
	// preemptionSearches counts the preemption searches for jobs that are not urgent.
	preemptionSearches int
	// hasMovable is set if some job has been running for long enough to be moved.
	hasMovable bool
	// isStarting is set for each submission of which a job starts and has not done so for long.
	isStarting map[*submission]bool
	// isTight is set for each query of an overdue job for two of which the room was found to be short; it only gets shorter.
	isTight map[roomQuery]bool
	// fitsRack tells for each query of an idle job whether some rack would hold it if nothing else ran there.
	fitsRack map[roomQuery]bool
	// unused is the room in which the pass may start work; nil if it was not looked for yet.
	unused []unusedRoom
	// noTierRoom maps each query to the shortest run time for which a search of its speed tier found no room.
	noTierRoom map[tierQuery]time.Duration
	// ends caches the expected ends of started gangs.
	ends map[*entry]time.Time
	// lastSites holds the site where the last task of a query was placed, which often has room for the next one.
	lastSites map[tierQuery]*place.Site
	// scarcity is the room for which jobs compete.
	scarcity scarcity
}

// Pass decides which jobs to start, stop and refuse now.
func (p *Planner) Pass(now time.Time) Decisions {
	p.passInterval.observe(now)
	p.beginPass(now)
	queue := p.order(func(*entry) bool { return true })
	p.targets = p.findTargets(queue)
	d := p.decideAll(queue)
	p.noteCompetition()
	return d
}

// PassUrgent is a pass over urgent jobs only, which stays fast with a long queue of other jobs.
func (p *Planner) PassUrgent(now time.Time) Decisions {
	p.beginPass(now)
	return p.decideAll(p.order((*entry).isUrgent))
}

// HasUrgentWaiting reports whether urgent jobs are queued.
func (p *Planner) HasUrgentWaiting() bool {
	for l := range p.queued {
		if l.rank == 0 {
			return true
		}
	}
	return false
}

// beginPass resets the state of the pass and updates all sites for the given time.
func (p *Planner) beginPass(now time.Time) {
	p.now = now
	if p.firstPass.IsZero() {
		p.firstPass = now
	}
	p.pass = passState{
		failed: map[roomQuery]time.Duration{}, noPreemption: map[preemptionKey]bool{}, ends: map[*entry]time.Time{},
		lastSites: map[tierQuery]*place.Site{}, isTight: map[roomQuery]bool{}, fitsRack: map[roomQuery]bool{}, isStarting: map[*submission]bool{},
		noTierRoom: map[tierQuery]time.Duration{},
	}
	p.dropSubmissions()
	p.sumJobs()
	p.refreshSites()
	p.repair()
	p.rebookPending()
	p.noteUrgentStretch()
	p.updateHeadroom()
	p.observeScarcity()
	p.refillStartRate()
}

// sumJobs sums up the demand of urgent jobs, and notes which submissions have work and whether any job is movable.
func (p *Planner) sumJobs() {
	p.pass.urgent = map[string]int{}
	for _, e := range p.jobs {
		if e.isUrgent() {
			p.pass.urgent[e.job.Organisation] += e.shape.TotalAccelerators()
		}
		p.noteWork(e)
		p.pass.hasMovable = p.pass.hasMovable || p.isMovable(e)
	}
}

func (p *Planner) decideAll(queue []*entry) Decisions {
	for _, e := range queue {
		p.pass.largestGang = max(p.pass.largestGang, e.shape.TotalAccelerators())
	}
	var d Decisions
	for _, e := range queue {
		p.decide(e, &d)
	}
	p.issuePendingStops(&d)
	d.Refusals = append(d.Refusals, p.refusals...)
	p.refusals = nil
	d.Throttles = p.throttles
	p.throttles = nil
	d.Health = p.health.TakeTransitions()
	return d
}

// refreshSites updates the sites for planned stops and the health of their workers.
func (p *Planner) refreshSites() {
	p.capacity = place.Resources{}
	stops := p.domainStops()
	isNewPeriod := p.now.Sub(p.steadySince) >= steadyPeriod
	if isNewPeriod {
		p.steadySince = p.now
	}
	for _, r := range p.ledger.Racks() {
		for _, s := range r.Sites {
			closed, from := s.Worker.Leaving || p.isEvacuated(s), time.Time{}
			for _, x := range stops {
				if !stopCovers(x, s.Worker) || !p.now.Before(x.Until) {
					continue
				}
				if !p.now.Before(x.From) {
					closed = true
					continue
				}
				if from.IsZero() || x.From.Before(from) {
					from = x.From
				}
			}
			s.Stopped = closed
			s.ObserveUnused(isNewPeriod)
			closed = p.updateTrust(s) || closed
			p.dirty = p.dirty || closed != s.Closed || from.IsZero() != s.StopFrom.IsZero()
			s.Closed, s.StopFrom, s.BackfillUntil = closed, from, time.Time{}
			if !closed {
				p.capacity = p.capacity.Plus(s.Capacity)
			}
		}
	}
}

// rebookPending recomputes the room that is kept on each site for waiting claims and preempting jobs.
func (p *Planner) rebookPending() {
	for _, r := range p.ledger.Racks() {
		for _, s := range r.Sites {
			s.Pending, s.PendingUnguaranteed = place.Resources{}, place.Resources{}
		}
	}
	for _, g := range p.reservations.Gangs() {
		e := p.jobs[g.Claim]
		if e == nil || !e.isQueued() || e.gang != g {
			g.Claim = ""
			continue
		}
		p.bookPending(e, 1)
	}
	for _, e := range p.jobs {
		if e.isQueued() && e.gang == nil && len(e.awaited) > 0 {
			p.bookPending(e, 1)
		}
	}
}

// bookPending adds (sign 1) or removes (sign -1) the room kept for a queued job on the sites that it awaits.
func (p *Planner) bookPending(e *entry, sign int) {
	n := e.need.Times(sign)
	for _, s := range e.awaited {
		if e.gang != nil {
			s.Pending = s.Pending.Plus(n)
			continue
		}
		s.PendingUnguaranteed = s.PendingUnguaranteed.Plus(n)
	}
}

func (p *Planner) decide(e *entry, d *Decisions) {
	if p.isPastDeadline(e) {
		p.remove(e)
		d.Refusals = append(d.Refusals, Refusal{Job: e.job.ID, Reason: "its deadline passed before a start", Ran: e.hasRun()})
		return
	}
	if p.now.Before(p.retryTime(e)) {
		e.reason = waitReason{code: reasonBackoff}
		return
	}
	if p.claim(e, d) {
		return
	}
	awaited := e.awaited
	p.dropAwaited(e)
	p.noteDropped(e, awaited)
	p.relaxAvoidance(e)
	p.relaxAdjacency(e)
	if p.exceedsQuota(e) {
		return
	}
	isHeldBack := p.isHeldBack(e) && !p.isOverdue(e)
	if p.startBySpeed(e, isHeldBack, d) {
		return
	}
	if isHeldBack {
		if p.isAlreadyHeld(e) {
			p.holdBack(e)
		}
		return
	}
	if sites, reason := p.findSites(e); sites != nil {
		if !p.keepsRoom(e, sites) && !p.isOverdue(e) {
			p.holdBack(e)
			return
		}
		p.startOutside(e, sites, reason, d)
		return
	}
	if p.startOverdue(e, d) {
		return
	}
	if p.preempt(e, d) {
		return
	}
	p.reserveForBlocked(e)
}

func (p *Planner) isPastDeadline(e *entry) bool {
	return !e.job.Deadline.IsZero() && p.now.After(e.job.Deadline)
}

// exceedsQuota reports, as the reason for which a job waits, whether it would exceed the quota of its organisation.
func (p *Planner) exceedsQuota(e *entry) bool {
	q := p.quota(e)
	if q <= 0 {
		return false
	}
	used := p.usage[e.job.Organisation].Accelerators + p.usedElsewhere[e.job.Organisation]
	if used+e.shape.TotalAccelerators() <= q {
		return false
	}
	e.reason = waitReason{code: reasonQuota, a: used, b: q}
	return true
}

// isHeldBack reports, as the reason for which a job waits, whether room is kept from it for urgent jobs.
func (p *Planner) isHeldBack(e *entry) bool {
	switch {
	case p.isAlreadyHeld(e):
	case !p.leavesHeadroom(e):
		e.reason = waitReason{code: reasonHeadroom, a: p.headroomOf(e).free, b: p.headroomOf(e).reserved}
	case !p.hasStartToken(e):
		e.reason = waitReason{code: reasonStartRate}
	default:
		return false
	}
	return true
}

// startOutside starts a gang outside of guarantees.
func (p *Planner) startOutside(e *entry, sites []*place.Site, reason string, d *Decisions) {
	p.headroomOf(e).take(p.countFastEnough(e, sites), e.isUrgent())
	p.takeStartToken(e)
	p.start(e, sites, reason, d)
}

// start allocates the resources of a gang and adds its start to the decisions.
func (p *Planner) start(e *entry, sites []*place.Site, reason string, d *Decisions) {
	p.noteStart(e, sites)
	p.dequeue(e)
	e.job.Attempt++
	e.starts++
	e.isLastResort = false
	e.state = StateStarting
	p.pass.isStarting[e.submission] = true
	e.since = p.now
	e.sites = sites
	e.awaited = nil
	e.reason = waitReason{text: reason}
	p.allocate(e)
	as := make([]fleet.Assignment, len(sites))
	for i, s := range sites {
		as[i] = fleet.Assignment{Task: i, Worker: s.Worker.Name}
	}
	d.Starts = append(d.Starts, Start{Job: e.job, Placement: as, Reason: reason})
}

// findSites looks for free room outside the job's guarantee. It first tries room that is not reserved. If there
// is none, preemptible jobs borrow reserved room, and for other jobs idle reservations are moved to other sites.
func (p *Planner) findSites(e *entry) ([]*place.Site, string) {
	run := p.runTime(e)
	key := e.roomQuery()
	if p.hasNoRoom(e) {
		e.reason = waitReason{code: reasonRoom}
		return nil, ""
	}
	end := p.now.Add(run)
	q := place.Search{Shape: e.shape, Targets: p.scoringTargets()}
	q.View = p.backfillView(e, end, (*place.Site).FreeUncommitted)
	if to := p.fitUnreserved(e, tierQuery{room: key}, q); to != nil {
		return to, "on capacity that no reservation needs"
	}
	q.View = p.backfillView(e, end, (*place.Site).Free)
	if e.isPreemptible || p.ignoreGuarantees {
		if to := p.ledger.Fit(q); to != nil {
			return to, "borrows capacity that is reserved and idle"
		}
	} else if p.pass.moveTries < maxMoveTries {
		p.pass.moveTries++
		if to := p.reservations.MakeRoom(q); to != nil {
			clear(p.pass.failed)
			return to, "on capacity from which reservations were moved"
		}
	}
	if len(e.avoid) == 0 {
		p.pass.failed[key] = run
	}
	e.reason = waitReason{code: reasonRoom}
	return nil, ""
}

// hasNoRoom reports whether a job has no room in the pass, as far as that is known without a search.
func (p *Planner) hasNoRoom(e *entry) bool {
	run := p.runTime(e)
	key := e.roomQuery()
	if f, ok := p.pass.failed[key]; ok && run >= f && len(e.avoid) == 0 {
		return true
	}
	if p.mayFit(e) {
		return false
	}
	p.pass.failed[key], p.pass.isTight[key] = run, true
	return true
}

// fitUnreserved finds room that is not reserved. A single task goes next to the last task of the same shape if it fits
// there, which saves the search.
func (p *Planner) fitUnreserved(e *entry, key tierQuery, q place.Search) []*place.Site {
	isPacked := e.shape.Tasks == 1 && len(e.avoid) == 0
	if s := p.pass.lastSites[key]; isPacked && s != nil && q.View(s).Holds(e.need) > 0 {
		return []*place.Site{s}
	}
	to := p.ledger.Fit(q)
	if isPacked && to != nil {
		p.pass.lastSites[key] = to[0]
	}
	return to
}

// scoringTargets returns the targets for placement, or none if fragmentation has no weight.
func (p *Planner) scoringTargets() []place.Target {
	if p.fragmentationWeight == 0 {
		return nil
	}
	return p.targets
}

// issuePendingStops adds the requested stops of gangs that are running by now to the decisions.
func (p *Planner) issuePendingStops(d *Decisions) {
	var es []*entry
	for _, e := range p.pendingStops {
		if p.jobs[e.job.ID] != e || e.stopReason == "" {
			continue
		}
		if e.state == StateRunning {
			e.state = StateStopping
			e.reason = waitReason{text: e.stopReason}
			d.Stops = append(d.Stops, Stop{Job: e.job.ID, Grace: e.profile.ReclaimBound, Reason: e.stopReason})
			continue
		}
		if e.state == StateStarting {
			es = append(es, e)
		}
	}
	p.pendingStops = es
}

// requestStop marks a gang to be stopped as soon as it is running.
func (p *Planner) requestStop(e *entry, reason string) {
	if e.stopReason != "" {
		return
	}
	e.stopReason = reason
	p.pendingStops = append(p.pendingStops, e)
}

func (e *entry) describe() string {
	return fmt.Sprintf("%s of %s", e.job.Profile, e.job.Organisation)
}
