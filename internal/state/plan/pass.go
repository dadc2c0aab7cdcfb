package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

const (
	// racksPerHead bounds the blocked gangs for which capacity is held back at a time; more would starve backfill.
	racksPerHead = 8
	// maxHeads bounds them in a large failure domain.
	maxHeads = 8
	// maxRoomTries bounds the searches that move reservations in one pass.
	maxRoomTries = 16
	// maxTargets bounds the shapes that fragmentation is measured against.
	maxTargets = 8
)

// failure remembers a shape for which a pass found no room.
type failure struct {
	shape fleet.Shape
	soft  bool
}

// keptKind is a shape with all else that decides whether a job may stop others.
type keptKind struct {
	shape        fleet.Shape
	rank         int
	promise      promise
	isGuaranteed bool
	org          string
}

type passNotes struct {
	// failed holds the shortest run time for which a shape found no room.
	failed map[failure]time.Duration
	tries  int
	heads  int
	moves  int
	// largest is the number of accelerators of the largest queued gang.
	largest int
	// kept holds the kinds of job for which stopping others makes no room that is worth it.
	kept map[keptKind]bool
	// urgent holds the accelerators of all urgent jobs of each organisation.
	urgent map[string]int
	// searches counts the searches for less urgent work to stop on behalf of work that is not urgent itself.
	searches int
	// hasMovable is set when some work has run long enough to be moved.
	hasMovable bool
	// ends holds when started gangs are planned to end.
	ends map[*entry]time.Time
	// sites holds where the last task of a shape was placed, which often has room for the next one.
	sites map[failure]*place.Site
}

// Pass decides what to start, stop and refuse now.
func (p *Planner) Pass(now time.Time) Decisions {
	p.rounds.note(now)
	p.begin(now)
	queue := p.order(func(*entry) bool { return true })
	p.targets = p.findTargets(queue)
	return p.decideAll(queue)
}

// PassUrgent decides about urgent work alone, which takes little time however much other work waits.
func (p *Planner) PassUrgent(now time.Time) Decisions {
	p.begin(now)
	return p.decideAll(p.order((*entry).isUrgent))
}

// HasUrgentWaiting reports whether urgent work is queued.
func (p *Planner) HasUrgentWaiting() bool {
	for l := range p.queued {
		if l.rank == 0 {
			return true
		}
	}
	return false
}

// begin brings the books up to date with the time.
func (p *Planner) begin(now time.Time) {
	p.now = now
	if p.born.IsZero() {
		p.born = now
	}
	p.pass = passNotes{
		failed: map[failure]time.Duration{}, kept: map[keptKind]bool{}, ends: map[*entry]time.Time{},
		sites: map[failure]*place.Site{},
	}
	p.noteJobs()
	p.refresh()
	p.repair()
	p.rependent()
	p.noteHeadroom()
	p.refillPace()
}

// noteJobs sums up what all jobs need and where they stand.
func (p *Planner) noteJobs() {
	p.pass.urgent = map[string]int{}
	for _, e := range p.jobs {
		if e.isUrgent() {
			p.pass.urgent[e.job.Organisation] += e.shape.TotalAccelerators()
		}
		p.pass.hasMovable = p.pass.hasMovable || p.isMovable(e)
	}
}

func (p *Planner) decideAll(queue []*entry) Decisions {
	for _, e := range queue {
		p.pass.largest = max(p.pass.largest, e.shape.TotalAccelerators())
	}
	var d Decisions
	for _, e := range queue {
		p.decide(e, &d)
	}
	p.stopDoomed(&d)
	d.Refusals = append(d.Refusals, p.refusals...)
	p.refusals = nil
	d.Throttles = p.throttles
	p.throttles = nil
	return d
}

// refresh brings the sites up to date with planned stops and the time.
func (p *Planner) refresh() {
	p.total = place.Room{}
	stops := p.stopsHere()
	for _, r := range p.books.Racks() {
		for _, s := range r.Sites {
			closed, from := s.Worker.Leaving, time.Time{}
			for _, x := range stops {
				if !isStopOf(x, s.Worker) || !p.now.Before(x.Until) {
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
			closed = p.trust(s) || closed
			p.dirty = p.dirty || closed != s.Closed || from.IsZero() != s.StopFrom.IsZero()
			s.Closed, s.StopFrom, s.HeldFrom = closed, from, time.Time{}
			if !closed {
				p.total = p.total.Plus(s.Capacity)
			}
		}
	}
}

// rependent books anew what claims and urgent work wait for.
func (p *Planner) rependent() {
	for _, r := range p.books.Racks() {
		for _, s := range r.Sites {
			s.Pending, s.Wanted = place.Room{}, place.Room{}
		}
	}
	for _, g := range p.keeper.Gangs() {
		e := p.jobs[g.Claim]
		if e == nil || !e.isQueued() || e.gang != g {
			g.Claim = ""
			continue
		}
		p.pend(e, 1)
	}
	for _, e := range p.jobs {
		if e.isQueued() && e.gang == nil && len(e.want) > 0 {
			p.pend(e, 1)
		}
	}
}

// pend adds (1) or takes back (-1) what a queued job waits for.
func (p *Planner) pend(e *entry, sign int) {
	n := e.need.Times(sign)
	for _, s := range e.want {
		if e.gang != nil {
			s.Pending = s.Pending.Plus(n)
			continue
		}
		s.Wanted = s.Wanted.Plus(n)
	}
}

func (p *Planner) decide(e *entry, d *Decisions) {
	if p.isTooLate(e) {
		p.remove(e)
		d.Refusals = append(d.Refusals, Refusal{Job: e.job.ID, Reason: "its deadline passed before a start", Ran: e.hasRun()})
		return
	}
	if p.now.Before(e.after) {
		e.why = why{code: whyBackoff}
		return
	}
	if p.claim(e, d) {
		return
	}
	p.unwant(e)
	p.relent(e)
	p.spreadOut(e)
	if q := p.quota(e); q > 0 {
		used := p.usage[e.job.Organisation].Accelerators + p.elsewhere[e.job.Organisation]
		if used+e.shape.TotalAccelerators() > q {
			e.why = why{code: whyQuota, a: used, b: q}
			return
		}
	}
	if !p.leavesHeadroom(e) || !p.mayStartMore(e) {
		e.why = why{code: whyRoom}
		return
	}
	if sites, reason := p.findSites(e); sites != nil {
		p.headroom.took(e.shape.TotalAccelerators(), e.isUrgent())
		p.notePaced(e)
		p.start(e, sites, reason, d)
		return
	}
	if p.displace(e, d) {
		return
	}
	p.holdBack(e)
}

func (p *Planner) isTooLate(e *entry) bool {
	return !e.job.Deadline.IsZero() && p.now.After(e.job.Deadline)
}

// start books a gang and asks for it.
func (p *Planner) start(e *entry, sites []*place.Site, reason string, d *Decisions) {
	p.dequeue(e)
	e.job.Attempt++
	e.tries++
	e.state = StateStarting
	e.since = p.now
	e.sites = sites
	e.want = nil
	e.why = why{text: reason}
	p.book(e)
	as := make([]fleet.Assignment, len(sites))
	for i, s := range sites {
		as[i] = fleet.Assignment{Task: i, Worker: s.Worker.Name}
	}
	d.Starts = append(d.Starts, Start{Job: e.job, Placement: as, Reason: reason})
}

// unheld narrows a view to sites that take the job now without delaying a blocked gang.
func (p *Planner) unheld(e *entry, end time.Time, v place.View) place.View {
	open := p.open(e, end, v)
	return func(s *place.Site) place.Room {
		if !s.HeldFrom.IsZero() && end.After(s.HeldFrom) {
			return place.Room{}
		}
		if s.Joined && (len(p.on[s]) > 0 || e.job.IsOnce()) {
			return place.Room{}
		}
		return open(s)
	}
}

// open narrows a view to sites that take the job now.
func (p *Planner) open(e *entry, end time.Time, v place.View) place.View {
	return func(s *place.Site) place.Room {
		if !p.isOpen(e, s, end) {
			return place.Room{}
		}
		return p.spread(e, s, v(s))
	}
}

// spread bounds the tasks of a job, or of its group, that a site may take.
func (p *Planner) spread(e *entry, s *place.Site, r place.Room) place.Room {
	if e.job.PerWorker == 0 {
		return r
	}
	left := e.job.PerWorker
	for _, b := range p.on[s] {
		if b != e && e.job.Group != "" && b.job.Group == e.job.Group {
			left -= b.roomOn(s).Slots
		}
	}
	r.Slots = max(min(r.Slots, left), 0)
	return r
}

// isOpen reports whether a site takes the job now.
func (p *Planner) isOpen(e *entry, s *place.Site, end time.Time) bool {
	if s.Closed || s.Probe && (len(p.on[s]) > 0 || e.job.IsOnce()) {
		return false
	}
	if !s.StopFrom.IsZero() && end.After(s.StopFrom) {
		return false
	}
	if !p.canUse(e, s) {
		return false
	}
	return len(e.avoid) == 0 || !slices.Contains(e.avoid, s.Worker.Name)
}

// findSites looks for free room outside of the job's guarantee: first where no reservation needs it, then, for work
// that can be stopped, inside reservations, and for other work where reservations can move away.
func (p *Planner) findSites(e *entry) ([]*place.Site, string) {
	run := p.runTime(e)
	key := failure{shape: e.shape, soft: e.soft}
	if f, ok := p.pass.failed[key]; ok && run >= f && len(e.avoid) == 0 {
		e.why = why{code: whyRoom}
		return nil, ""
	}
	end := p.now.Add(run)
	q := place.Search{Shape: e.shape, Targets: p.scored()}
	q.View = p.unheld(e, end, (*place.Site).FreeBoth)
	if to := p.fitUnreserved(e, key, q); to != nil {
		return to, "on capacity that no reservation needs"
	}
	q.View = p.unheld(e, end, (*place.Site).Free)
	if e.soft || p.unproved {
		if to := p.books.Fit(q); to != nil {
			return to, "borrows capacity that is reserved and idle"
		}
	} else if p.pass.tries < maxRoomTries {
		p.pass.tries++
		if to := p.keeper.MakeRoom(q); to != nil {
			clear(p.pass.failed)
			return to, "on capacity from which reservations were moved"
		}
	}
	if len(e.avoid) == 0 {
		p.pass.failed[key] = run
	}
	e.why = why{code: whyRoom}
	return nil, ""
}

// fitUnreserved finds room that no reservation needs; a single task is packed beside the last one like it, if it fits
// there, which spares the search.
func (p *Planner) fitUnreserved(e *entry, key failure, q place.Search) []*place.Site {
	isPacked := e.shape.Tasks == 1 && len(e.avoid) == 0
	if s := p.pass.sites[key]; isPacked && s != nil && q.View(s).Holds(e.need) > 0 {
		return []*place.Site{s}
	}
	to := p.books.Fit(q)
	if isPacked && to != nil {
		p.pass.sites[key] = to[0]
	}
	return to
}

// scored returns the targets with the weight of the deployment.
func (p *Planner) scored() []place.Target {
	if p.weight == 0 {
		return nil
	}
	return p.targets
}

// stopDoomed asks for the stops of gangs that run by now.
func (p *Planner) stopDoomed(d *Decisions) {
	var es []*entry
	for _, e := range p.doomed {
		if p.jobs[e.job.ID] != e || e.doomed == "" {
			continue
		}
		if e.state == StateRunning {
			e.state = StateStopping
			e.why = why{text: e.doomed}
			d.Stops = append(d.Stops, Stop{Job: e.job.ID, Grace: e.profile.ReclaimBound, Reason: e.doomed})
			continue
		}
		if e.state == StateStarting {
			es = append(es, e)
		}
	}
	p.doomed = es
}

// doom marks a gang to be stopped as soon as it runs.
func (p *Planner) doom(e *entry, reason string) {
	if e.doomed != "" {
		return
	}
	e.doomed = reason
	p.doomed = append(p.doomed, e)
}

func (e *entry) label() string {
	return fmt.Sprintf("%s of %s", e.job.Profile, e.job.Organisation)
}

// canUse reports whether a worker has what the job asks for whatever runs there.
func (p *Planner) canUse(e *entry, s *place.Site) bool {
	return e.job.Label == "" || hasLabel(s.Worker, e.job.Label)
}

func hasLabel(w fleet.Worker, label string) bool {
	return slices.Contains(strings.Split(w.Labels, ","), label)
}
