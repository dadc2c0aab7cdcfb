package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/hold"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// defaultRestartCost is the run time that a preempted gang loses in addition to the time of its checkpoint.
const defaultRestartCost = 30 * time.Second

// WithRestartCost sets the run time that a preempted gang loses in addition to the time of its checkpoint.
func WithRestartCost(d time.Duration) Option {
	return func(p *Planner) { p.restartCost = d }
}

// maxPreemptionSearches limits the preemption searches of one pass on behalf of jobs that are not urgent.
const maxPreemptionSearches = 8

// preemptAfterShare is the fraction of its wait bound that a job which is not urgent waits before it preempts.
const preemptAfterShare = 0.5

// preemption is a set of borrowers to stop and the sites where the job then has room.
type preemption struct {
	ok    bool
	sites []*place.Site
	stops []*entry
	// cost orders preemptions; lost is the part of it that is work to be repeated, in accelerator seconds.
	cost float64
	lost float64
}

// stopOverhead is the run time that every stop loses.
const stopOverhead = time.Second

// WithLossBounds sets the maximum number of accelerator seconds that other jobs may lose to a preemption for each
// accelerator second of the preempting job: urgent applies to urgent jobs and other to all other jobs; zero means no
// limit.
func WithLossBounds(urgent, other float64) Option {
	return func(p *Planner) { p.lossBounds = [2]float64{urgent, other} }
}

// lateLossFactor scales the loss bound of a job that can no longer end on time.
const lateLossFactor = 0.25

// isWithinLossBound reports whether the accelerator seconds lost by a preemption are within the loss bound of the job;
// guaranteed jobs have no loss bound.
func (p *Planner) isWithinLossBound(e *entry, c preemption) bool {
	bound := p.lossBounds[1]
	if e.isUrgent() {
		bound = p.lossBounds[0]
	}
	if bound == 0 || p.isGuaranteed(e) {
		return true
	}
	if p.timeliness(e) != onTime {
		bound *= lateLossFactor
	}
	return c.lost <= bound*p.acceleratorWeight(e)*p.runTime(e).Seconds()
}

// acceleratorWeight returns the part of the failure domain that a job takes, expressed in accelerators.
func (p *Planner) acceleratorWeight(e *entry) float64 {
	x := p.dominantShare(e.need.Times(e.shape.Tasks)) * float64(p.capacity.Accelerators)
	return max(x, float64(e.shape.TotalAccelerators()), 1)
}

// loss returns the accelerator seconds lost if a gang is stopped now.
func (p *Planner) loss(e *entry) float64 {
	run := p.now.Sub(e.since)
	if !e.job.LosesProgress {
		run = min(run, e.profile.ReclaimBound+p.restartCost)
	}
	return p.acceleratorWeight(e) * (run.Seconds() + stopOverhead.Seconds())
}

const (
	// missedTargetFactor is the cost of a stop that makes a job miss its target, relative to the whole work of the job.
	missedTargetFactor = 1.0
	// urgentStopFactor is the same for urgent jobs, whose targets leave no time for a stop.
	urgentStopFactor = 4.0
)

// stopCost returns the cost of stopping a gang now, in accelerator seconds: the work lost, and more if the job would then
// miss a target that it meets otherwise.
func (p *Planner) stopCost(e *entry) float64 {
	factor := 0.0
	switch {
	case p.disabled[StopCosts]:
	case e.isUrgent():
		factor = urgentStopFactor
	case p.missesTargetIfStopped(e):
		factor = missedTargetFactor
	}
	whole := p.runTime(e) + e.job.Progress
	return p.loss(e) + factor*p.acceleratorWeight(e)*whole.Seconds()
}

// missesTargetIfStopped reports whether a running job would end within its turnaround target, but not if it is stopped now
// and starts again at once.
func (p *Planner) missesTargetIfStopped(e *entry) bool {
	target := p.turnaroundTarget(e)
	if target == 0 {
		return false
	}
	due := e.job.Submitted.Add(target)
	if p.endOf(e).After(due) {
		return false
	}
	left := p.runTime(e)
	if !e.job.LosesProgress {
		left = max(left-scale(p.now.Sub(e.since), 1/slowest(e.sites)), 0) + e.profile.ReclaimBound + p.restartCost
	}
	return p.now.Add(left + stopOverhead).After(due)
}

// cheapestForGang finds the places of an idle guaranteed gang whose borrowers lose the least when stopped.
func (p *Planner) cheapestForGang(e *entry, g *hold.Gang, end time.Time) preemption {
	r := p.reservations
	old := r.Unreserve(g)
	defer r.Reserve(g, old)
	n := place.TaskResources(g.Need.Shape)
	return p.cheapestPlacement(e, g.Need.Shape, n, p.openView(e, end, (*place.Site).Uncommitted), (*place.Site).FreeForClaim, anyBorrower)
}

// cheapestPlacement finds the worker, rack or set of racks whose borrowers lose the least when stopped.
func (p *Planner) cheapestPlacement(e *entry, s fleet.Shape, n place.Resources, v, free place.View, mayStop func(*entry) bool) preemption {
	var best preemption
	try := func(in []siteLimit) {
		for _, c := range []preemption{p.preemptByLoss(in, e, free, mayStop), p.preemptBySite(in, e, free, mayStop)} {
			if c.ok && (!best.ok || c.cost < best.cost) {
				best = c
			}
		}
	}
	if s.Adjacent == fleet.LevelDomain {
		var in []siteLimit
		for _, r := range p.ledger.Racks() {
			for _, x := range r.Sites {
				if m := v(x).Holds(n); m > 0 {
					in = append(in, siteLimit{x, m})
				}
			}
		}
		try(in)
		return best
	}
	for _, r := range p.ledger.Racks() {
		var in []siteLimit
		sum := 0
		for _, x := range r.Sites {
			m := v(x).Holds(n)
			if m == 0 {
				continue
			}
			if s.Adjacent == fleet.LevelWorker {
				if m >= s.Tasks {
					try([]siteLimit{{x, m}})
				}
				continue
			}
			in = append(in, siteLimit{x, m})
			sum += m
		}
		if sum >= s.Tasks {
			try(in)
		}
	}
	return best
}

// preemptByLoss stops borrowers in the order of their loss per accelerator freed until the job's tasks fit, and then
// drops the stops that turn out not to be needed.
func (p *Planner) preemptByLoss(in []siteLimit, e *entry, free place.View, mayStop func(*entry) bool) preemption {
	c := p.newPreemptionSearch(in, e, free, mayStop)
	var stops []*entry
	if !c.isEnough() {
		p.sortByLoss(c)
	}
	for _, b := range c.borrowers {
		if c.isEnough() {
			break
		}
		c.applyStop(b, 1)
		stops = append(stops, b)
	}
	if !c.isEnough() {
		return preemption{}
	}
	return p.prune(c, stops)
}

// sitePreemption is the cheapest set of stops that makes room for one more task on a site.
type sitePreemption struct {
	stops []*entry
	cost  float64
	ok    bool
}

// preemptBySite makes room for one task at a time, each time on the site where this loses the least. It suits tasks
// that take most of a worker.
func (p *Planner) preemptBySite(in []siteLimit, e *entry, free place.View, mayStop func(*entry) bool) preemption {
	c := p.newPreemptionSearch(in, e, free, mayStop)
	open := make(map[*entry]bool, len(c.borrowers))
	for _, b := range c.borrowers {
		open[b] = true
	}
	options := make(map[*place.Site]sitePreemption, len(c.sites))
	if !c.isEnough() {
		for i := range c.sites {
			options[c.sites[i].site] = p.preemptOneTask(&c.sites[i], e, open)
		}
	}
	var stops []*entry
	for !c.isEnough() {
		best := c.cheapestSite(options)
		if !best.ok {
			return preemption{}
		}
		for _, b := range best.stops {
			delete(open, b)
			c.applyStop(b, 1)
			stops = append(stops, b)
		}
		for _, b := range best.stops {
			for _, s := range b.sites {
				if y := c.bySite[s]; y != nil {
					options[s] = p.preemptOneTask(y, e, open)
				}
			}
		}
	}
	return p.prune(c, stops)
}

// cheapestSite returns the option with the lowest cost; on a tie, that of the first site.
func (c *preemptionSearch) cheapestSite(options map[*place.Site]sitePreemption) sitePreemption {
	var best sitePreemption
	for i := range c.sites {
		if w := options[c.sites[i].site]; w.ok && (!best.ok || w.cost < best.cost) {
			best = w
		}
	}
	return best
}

// preemptOneTask selects borrowers of a site, cheapest first, until it holds one more task.
func (p *Planner) preemptOneTask(y *candidateSite, e *entry, open map[*entry]bool) sitePreemption {
	if y.heldTasks >= y.tasks {
		return sitePreemption{}
	}
	bs := make([]borrowerLoss, 0, len(p.gangsOn[y.site]))
	for _, b := range p.gangsOn[y.site] {
		if open[b] {
			bs = append(bs, borrowerLoss{b, p.stopCost(b)})
		}
	}
	slices.SortFunc(bs, borrowerLoss.compare)
	w := sitePreemption{}
	room := y.room
	for _, b := range bs {
		room = room.Plus(b.e.roomOn(y.site))
		w.cost += b.loss
		w.stops = append(w.stops, b.e)
		if min(y.tasks, room.Holds(e.need)) > y.heldTasks {
			w.ok = true
			return w
		}
	}
	return sitePreemption{}
}

// prune drops stops that are not needed, the most expensive first, and selects the sites.
func (p *Planner) prune(c *preemptionSearch, stops []*entry) preemption {
	ws := make([]borrowerLoss, len(stops))
	for i, b := range stops {
		ws[i] = borrowerLoss{b, p.stopCost(b)}
	}
	slices.SortStableFunc(ws, func(x, y borrowerLoss) int { return cmp.Compare(y.loss, x.loss) })
	out := preemption{ok: true}
	for _, w := range ws {
		c.applyStop(w.e, -1)
		if c.isEnough() {
			continue
		}
		c.applyStop(w.e, 1)
		out.stops = append(out.stops, w.e)
		out.cost += w.loss
		out.lost += p.loss(w.e)
	}
	ys := c.sites
	slices.SortStableFunc(ys, func(x, y candidateSite) int { return cmp.Compare(x.heldTasks, y.heldTasks) })
	for i := range ys {
		for range min(ys[i].heldTasks, c.job.shape.Tasks-len(out.sites)) {
			out.sites = append(out.sites, ys[i].site)
		}
	}
	return out
}

// sortByLoss orders borrowers by their loss per accelerator freed on the sites.
func (p *Planner) sortByLoss(c *preemptionSearch) {
	ws := make([]borrowerLoss, len(c.borrowers))
	for i, b := range c.borrowers {
		n := 0
		for _, s := range b.sites {
			if c.bySite[s] != nil {
				n++
			}
		}
		ws[i] = borrowerLoss{b, p.stopCost(b) / float64(n*max(b.need.Accelerators, 1))}
	}
	slices.SortFunc(ws, borrowerLoss.compare)
	for i, w := range ws {
		c.borrowers[i] = w.e
	}
}

// roomOn returns the room that the gang uses on a site.
func (e *entry) roomOn(s *place.Site) place.Resources {
	n := 0
	for _, x := range e.heldSites() {
		if x == s {
			n++
		}
	}
	return e.need.Times(n)
}

// preempt requests the stop of borrowers that mayPreempt allows, to make room for a job outside its guarantee. An
// urgent job preempts at once, any other job after preemptAfterShare of its wait bound.
func (p *Planner) preempt(e *entry, _ *Decisions) bool {
	if e.rank() > 0 && p.waitRatio(e) < preemptAfterShare {
		return false
	}
	if p.timeliness(e) == expired && !p.isGuaranteed(e) {
		return false
	}
	if e.rank() >= rankCount-1 {
		// No job has a lower urgency.
		return false
	}
	kind := preemptionKey{e.shape, e.rank(), p.timeliness(e), p.isGuaranteed(e), e.job.Organisation, e.profile.Service}
	isPlain := len(e.avoid) == 0 && e.job.PerWorker == 0 && e.job.Label == ""
	if isPlain && p.pass.noPreemption[kind] || !e.isUrgent() && p.pass.preemptionSearches >= maxPreemptionSearches {
		return false
	}
	if !e.isUrgent() {
		p.pass.preemptionSearches++
	}
	end := p.now.Add(p.runTime(e))
	v := p.openView(e, end, (*place.Site).Uncommitted)
	if e.isPreemptible {
		v = p.openView(e, end, func(s *place.Site) place.Resources { return s.Capacity })
	}
	c := p.cheapestPlacement(e, e.shape, e.need, v, (*place.Site).Free, func(b *entry) bool { return p.mayPreempt(e, b) })
	if !c.ok || !p.isWithinLossBound(e, c) {
		if isPlain {
			p.pass.noPreemption[kind] = true
		}
		return false
	}
	p.awaitStops(e, c, fmt.Sprintf("more urgent work, %s, takes the capacity that this job borrowed", e.describe()))
	return true
}

// dropAwaited releases the sites that a job waits for; a later decision may choose them again.
func (p *Planner) dropAwaited(e *entry) {
	if len(e.awaited) == 0 {
		return
	}
	p.bookPending(e, -1)
	e.awaited = nil
}
