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

// displaceFrom is the part of its bound that work waits before it has less urgent borrowers stopped.
const displaceFrom = 0.5

// scope is a site with the most tasks that may be placed there once borrowers have left.
type scope struct {
	site  *place.Site
	tasks int
}

func addScope(in []scope, s *place.Site, n int) []scope {
	for i := range in {
		if in[i].site == s {
			in[i].tasks += n
			return in
		}
	}
	return append(in, scope{s, n})
}

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
	if e.rank() == 0 {
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

// candidate is a site under consideration, with its room as borrowers leave.
type candidate struct {
	scope
	room place.Room
}

func (y *candidate) holds(n place.Room) int {
	return min(y.tasks, y.room.Holds(n))
}

// clear chooses borrowers whose stop lets the job's tasks fit into the scopes: cheapest for what they free first, and
// then without those that turn out not to be needed.
func (p *Planner) clear(in []scope, e *entry, free place.View, may func(*entry) bool) clearing {
	ys, at, bs := p.candidates(in, free, may)
	bs = p.byLoss(bs, at)
	sum := func() int {
		n := 0
		for i := range ys {
			n += ys[i].holds(e.need)
		}
		return n
	}
	var stops []*entry
	have := sum()
	for _, b := range bs {
		if have >= e.shape.Tasks {
			break
		}
		shift(b, at, 1)
		stops = append(stops, b)
		have = sum()
	}
	if have < e.shape.Tasks {
		return clearing{}
	}
	return p.prune(ys, at, stops, e, sum)
}

// candidates returns the sites with their room once those that are being stopped have left, and the borrowers that
// may be stopped besides.
func (p *Planner) candidates(in []scope, free place.View, may func(*entry) bool) ([]candidate, map[*place.Site]*candidate, []*entry) {
	ys := make([]candidate, len(in))
	at := make(map[*place.Site]*candidate, len(in))
	var bs []*entry
	for i, x := range in {
		ys[i] = candidate{scope: x, room: free(x.site)}
		at[x.site] = &ys[i]
		for _, b := range p.on[x.site] {
			if !b.soft || b.gang != nil {
				continue
			}
			if b.state == StateStopping || b.doomed != "" {
				ys[i].room = ys[i].room.Plus(b.roomOn(x.site))
				continue
			}
			if may(b) {
				bs = append(bs, b)
			}
		}
	}
	return ys, at, bs
}

// clearBySite clears one site after the other, each time the one where the next task costs least; it suits tasks that
// take most of a worker.
func (p *Planner) clearBySite(in []scope, e *entry, free place.View, may func(*entry) bool) clearing {
	ys, at, bs := p.candidates(in, free, may)
	open := make(map[*entry]bool, len(bs))
	for _, b := range bs {
		open[b] = true
	}
	sum := func() int {
		n := 0
		for i := range ys {
			n += ys[i].holds(e.need)
		}
		return n
	}
	var stops []*entry
	for sum() < e.shape.Tasks {
		var best []*entry
		cost := 0.0
		for i := range ys {
			if bs, c, ok := p.clearOne(&ys[i], e, open); ok && (best == nil || c < cost) {
				best, cost = bs, c
			}
		}
		if best == nil {
			return clearing{}
		}
		for _, b := range best {
			delete(open, b)
			shift(b, at, 1)
			stops = append(stops, b)
		}
	}
	return p.prune(ys, at, stops, e, sum)
}

// clearOne returns the borrowers of a site, cheapest first, after which it holds one more task, and what they lose.
func (p *Planner) clearOne(y *candidate, e *entry, open map[*entry]bool) ([]*entry, float64, bool) {
	have := y.holds(e.need)
	if have >= y.tasks {
		return nil, 0, false
	}
	var bs []*entry
	for _, b := range p.on[y.site] {
		if open[b] {
			bs = append(bs, b)
		}
	}
	slices.SortFunc(bs, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(p.loss(x), p.loss(y)), cmp.Compare(x.job.ID, y.job.ID))
	})
	room, cost := y.room, 0.0
	for i, b := range bs {
		room = room.Plus(b.roomOn(y.site))
		cost += p.loss(b)
		if min(y.tasks, room.Holds(e.need)) > have {
			return bs[:i+1], cost, true
		}
	}
	return nil, 0, false
}

// prune takes back stops that are not needed, the dearest first, and picks the sites.
func (p *Planner) prune(ys []candidate, at map[*place.Site]*candidate, stops []*entry, e *entry, sum func() int) clearing {
	slices.SortStableFunc(stops, func(x, y *entry) int { return cmp.Compare(p.loss(y), p.loss(x)) })
	c := clearing{ok: true}
	for _, b := range stops {
		shift(b, at, -1)
		if sum() >= e.shape.Tasks {
			continue
		}
		shift(b, at, 1)
		c.stops = append(c.stops, b)
		c.cost += p.loss(b)
	}
	slices.SortStableFunc(ys, func(x, y candidate) int { return cmp.Compare(x.holds(e.need), y.holds(e.need)) })
	for i := range ys {
		for range min(ys[i].holds(e.need), e.shape.Tasks-len(c.sites)) {
			c.sites = append(c.sites, ys[i].site)
		}
	}
	return c
}

// byLoss orders borrowers by the loss for each accelerator that they free on the sites.
func (p *Planner) byLoss(bs []*entry, at map[*place.Site]*candidate) []*entry {
	type weighed struct {
		e    *entry
		loss float64
	}
	slices.SortFunc(bs, func(x, y *entry) int { return cmp.Compare(x.job.ID, y.job.ID) })
	bs = slices.Compact(bs)
	ws := make([]weighed, len(bs))
	for i, b := range bs {
		n := 0
		for _, s := range b.sites {
			if at[s] != nil {
				n++
			}
		}
		ws[i] = weighed{b, p.loss(b) / float64(n*max(b.need.Accelerators, 1))}
	}
	slices.SortStableFunc(ws, func(x, y weighed) int { return cmp.Compare(x.loss, y.loss) })
	for i, w := range ws {
		bs[i] = w.e
	}
	return bs
}

// shift adds (1) or takes back (-1) the room that a borrower would free.
func shift(b *entry, at map[*place.Site]*candidate, sign int) {
	for _, s := range b.sites {
		if y := at[s]; y != nil {
			y.room = y.room.Plus(b.need.Times(sign))
		}
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
	kind := keptKind{e.shape, e.rank(), p.promise(e), p.isGuaranteed(e), e.job.Organisation}
	isPlain := len(e.avoid) == 0 && e.job.PerWorker == 0 && e.job.Label == ""
	if isPlain && p.pass.kept[kind] {
		return false
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
