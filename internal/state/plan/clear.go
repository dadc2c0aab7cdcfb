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

// defaultRestartCost is the run time that a stopped gang loses besides what its checkpoint takes.
const defaultRestartCost = 30 * time.Second

// WithRestartCost sets the run time that a stopped gang loses besides what its checkpoint takes.
func WithRestartCost(d time.Duration) Option {
	return func(p *Planner) { p.restartCost = d }
}

// maxSearches bounds the searches for work to stop that work which is not urgent itself may cost in one pass.
const maxSearches = 8

// displaceFrom is the part of its bound that work waits before it has less urgent borrowers stopped.
const displaceFrom = 0.5

// clearing is a set of borrowers whose stop makes room on the sites.
type clearing struct {
	ok    bool
	sites []*place.Site
	stops []*entry
	cost  float64
}

// stopCost is the run time that any stop loses.
const stopCost = time.Second

// WithWasteBounds sets how much run time urgent work, and other work, may make others lose for each second of its own;
// zero means any.
func WithWasteBounds(urgent, other float64) Option {
	return func(p *Planner) { p.waste = [2]float64{urgent, other} }
}

// lateWorth is what a job is worth that cannot end on time any more.
const lateWorth = 0.25

// isWorth reports whether a clearing loses no more than the job is worth.
func (p *Planner) isWorth(e *entry, c clearing) bool {
	bound := p.waste[1]
	if e.isUrgent() {
		bound = p.waste[0]
	}
	if bound == 0 || p.isGuaranteed(e) {
		return true
	}
	if p.promise(e) != onTime {
		bound *= lateWorth
	}
	return c.cost <= bound*p.weightOf(e)*p.runTime(e).Seconds()
}

// weightOf returns how much of the failure domain a job takes, counted in accelerators.
func (p *Planner) weightOf(e *entry) float64 {
	x := p.share(e.need.Times(e.shape.Tasks)) * float64(p.total.Accelerators)
	return max(x, float64(e.shape.TotalAccelerators()), 1)
}

// loss returns the accelerator seconds that stopping a gang now would lose.
func (p *Planner) loss(e *entry) float64 {
	run := p.now.Sub(e.since)
	if !e.job.LosesProgress {
		run = min(run, e.profile.ReclaimBound+p.restartCost)
	}
	return p.weightOf(e) * (run.Seconds() + stopCost.Seconds())
}

// cheapest compares all spots of an idle gang by what stopping their borrowers would lose.
func (p *Planner) cheapest(e *entry, g *hold.Gang, end time.Time) clearing {
	k := p.keeper
	old := k.Lift(g)
	defer k.Place(g, old)
	n := place.TaskRoom(g.Need.Shape)
	return p.cheapestSpot(e, g.Need.Shape, n, p.open(e, end, (*place.Site).FreeHard), (*place.Site).FreeForClaim, anyBorrower)
}

// cheapestSpot finds the worker, rack or set of racks from which the borrowers leave with the least loss.
func (p *Planner) cheapestSpot(e *entry, s fleet.Shape, n place.Room, v, free place.View, may func(*entry) bool) clearing {
	var best clearing
	try := func(in []scope) {
		for _, c := range []clearing{p.clear(in, e, free, may), p.clearBySite(in, e, free, may)} {
			if c.ok && (!best.ok || c.cost < best.cost) {
				best = c
			}
		}
	}
	if s.Adjacent == fleet.LevelDomain {
		var in []scope
		for _, r := range p.books.Racks() {
			for _, x := range r.Sites {
				if m := v(x).Holds(n); m > 0 {
					in = append(in, scope{x, m})
				}
			}
		}
		try(in)
		return best
	}
	for _, r := range p.books.Racks() {
		var in []scope
		sum := 0
		for _, x := range r.Sites {
			m := v(x).Holds(n)
			if m == 0 {
				continue
			}
			if s.Adjacent == fleet.LevelWorker {
				if m >= s.Tasks {
					try([]scope{{x, m}})
				}
				continue
			}
			in = append(in, scope{x, m})
			sum += m
		}
		if sum >= s.Tasks {
			try(in)
		}
	}
	return best
}

// clear chooses borrowers whose stop lets the job's tasks fit into the scopes: cheapest for what they free first, and
// then without those that turn out not to be needed.
func (p *Planner) clear(in []scope, e *entry, free place.View, may func(*entry) bool) clearing {
	c := p.newClearance(in, e, free, may)
	var stops []*entry
	if !c.isEnough() {
		p.sortByLoss(c)
	}
	for _, b := range c.borrowers {
		if c.isEnough() {
			break
		}
		c.shift(b, 1)
		stops = append(stops, b)
	}
	if !c.isEnough() {
		return clearing{}
	}
	return p.prune(c, stops)
}

// siteStop is the cheapest way to make room for one more task on a site.
type siteStop struct {
	stops []*entry
	cost  float64
	ok    bool
}

// clearBySite clears one site after the other, each time the one where the next task costs least; it suits tasks that
// take most of a worker.
func (p *Planner) clearBySite(in []scope, e *entry, free place.View, may func(*entry) bool) clearing {
	c := p.newClearance(in, e, free, may)
	open := make(map[*entry]bool, len(c.borrowers))
	for _, b := range c.borrowers {
		open[b] = true
	}
	ways := make(map[*place.Site]siteStop, len(c.sites))
	if !c.isEnough() {
		for i := range c.sites {
			ways[c.sites[i].site] = p.clearOne(&c.sites[i], e, open)
		}
	}
	var stops []*entry
	for !c.isEnough() {
		best := c.cheapestWay(ways)
		if !best.ok {
			return clearing{}
		}
		for _, b := range best.stops {
			delete(open, b)
			c.shift(b, 1)
			stops = append(stops, b)
		}
		for _, b := range best.stops {
			for _, s := range b.sites {
				if y := c.at[s]; y != nil {
					ways[s] = p.clearOne(y, e, open)
				}
			}
		}
	}
	return p.prune(c, stops)
}

// cheapestWay returns the way that costs least, of the first site when several do.
func (c *clearance) cheapestWay(ways map[*place.Site]siteStop) siteStop {
	var best siteStop
	for i := range c.sites {
		if w := ways[c.sites[i].site]; w.ok && (!best.ok || w.cost < best.cost) {
			best = w
		}
	}
	return best
}

// clearOne returns the borrowers of a site, cheapest first, after which it holds one more task, and what they lose.
func (p *Planner) clearOne(y *candidate, e *entry, open map[*entry]bool) siteStop {
	if y.held >= y.tasks {
		return siteStop{}
	}
	bs := make([]weighed, 0, len(p.on[y.site]))
	for _, b := range p.on[y.site] {
		if open[b] {
			bs = append(bs, weighed{b, p.loss(b)})
		}
	}
	slices.SortFunc(bs, weighed.compare)
	w := siteStop{}
	room := y.room
	for _, b := range bs {
		room = room.Plus(b.e.roomOn(y.site))
		w.cost += b.loss
		w.stops = append(w.stops, b.e)
		if min(y.tasks, room.Holds(e.need)) > y.held {
			w.ok = true
			return w
		}
	}
	return siteStop{}
}

// prune takes back stops that are not needed, the dearest first, and picks the sites.
func (p *Planner) prune(c *clearance, stops []*entry) clearing {
	ws := make([]weighed, len(stops))
	for i, b := range stops {
		ws[i] = weighed{b, p.loss(b)}
	}
	slices.SortStableFunc(ws, func(x, y weighed) int { return cmp.Compare(y.loss, x.loss) })
	out := clearing{ok: true}
	for _, w := range ws {
		c.shift(w.e, -1)
		if c.isEnough() {
			continue
		}
		c.shift(w.e, 1)
		out.stops = append(out.stops, w.e)
		out.cost += w.loss
	}
	ys := c.sites
	slices.SortStableFunc(ys, func(x, y candidate) int { return cmp.Compare(x.held, y.held) })
	for i := range ys {
		for range min(ys[i].held, c.job.shape.Tasks-len(out.sites)) {
			out.sites = append(out.sites, ys[i].site)
		}
	}
	return out
}

// sortByLoss orders borrowers by the loss for each accelerator that they free on the sites.
func (p *Planner) sortByLoss(c *clearance) {
	ws := make([]weighed, len(c.borrowers))
	for i, b := range c.borrowers {
		n := 0
		for _, s := range b.sites {
			if c.at[s] != nil {
				n++
			}
		}
		ws[i] = weighed{b, p.loss(b) / float64(n*max(b.need.Accelerators, 1))}
	}
	slices.SortFunc(ws, weighed.compare)
	for i, w := range ws {
		c.borrowers[i] = w.e
	}
}

// roomOn returns what the gang takes on a site.
func (e *entry) roomOn(s *place.Site) place.Room {
	n := 0
	for _, x := range e.sites {
		if x == s {
			n++
		}
	}
	return e.need.Times(n)
}

// displace lets work outside of a guarantee stop borrowers that are less urgent: urgent work at once, other work when
// half of its bound has passed.
func (p *Planner) displace(e *entry, _ *Decisions) bool {
	if e.rank() > 0 && p.overdue(e) < displaceFrom {
		return false
	}
	if p.promise(e) == useless && !p.isGuaranteed(e) {
		return false
	}
	if e.rank() >= ranks-1 {
		// Nothing is less urgent.
		return false
	}
	kind := keptKind{e.shape, e.rank(), p.promise(e), p.isGuaranteed(e), e.job.Organisation}
	isPlain := len(e.avoid) == 0 && e.job.PerWorker == 0 && e.job.Label == ""
	if isPlain && p.pass.kept[kind] || !e.isUrgent() && p.pass.searches >= maxSearches {
		return false
	}
	if !e.isUrgent() {
		p.pass.searches++
	}
	end := p.now.Add(p.runTime(e))
	v := p.open(e, end, (*place.Site).FreeHard)
	if e.soft {
		v = p.open(e, end, func(s *place.Site) place.Room { return s.Capacity })
	}
	c := p.cheapestSpot(e, e.shape, e.need, v, (*place.Site).Free, func(b *entry) bool { return p.mayDisplace(e, b) })
	if !c.ok || !p.isWorth(e, c) {
		if isPlain {
			p.pass.kept[kind] = true
		}
		return false
	}
	p.await(e, c, fmt.Sprintf("more urgent work, %s, takes the capacity that this job borrowed", e.label()))
	return true
}

// unwant gives up the sites that a job waits for, which a new decision may choose again.
func (p *Planner) unwant(e *entry) {
	if len(e.want) == 0 {
		return
	}
	p.pend(e, -1)
	e.want = nil
}
