package plan

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/cost"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// scarcity is the room for which jobs of different urgencies compete, in accelerators.
type scarcity struct {
	// free is the room that no job has or awaits, and usable the part of it, together with the room that less urgent jobs of each rank
	// have borrowed, where urgent tasks would fit.
	free   int
	usable [rankCount]float64
	// awaited is the room for which this pass had others stopped; those will want room again.
	awaited int
	// heldBack counts the jobs that found room and did not start, and held has what they asked for; the room only gets shorter.
	heldBack int
	held     map[heldQuery]bool
	// shapes are the recent shapes of urgent tasks, with their number.
	shapes map[place.Resources]int
	// rises caches the likely rise of the demand by rank and time.
	rises map[riseQuery]int
}

// riseQuery asks by how much the demand of the jobs that are more urgent than a rank may rise.
type riseQuery struct {
	rank   int
	within time.Duration
}

// heldQuery holds all properties of a job that decide whether it is held back.
type heldQuery struct {
	room   roomQuery
	rank   int
	within time.Duration
}

func (p *Planner) heldQuery(e *entry) heldQuery {
	return heldQuery{room: e.roomQuery(), rank: e.rank(), within: p.timeToKeep(e).Round(riseResolution)}
}

// isAlreadyHeld reports whether a job like it was held back in this pass.
func (p *Planner) isAlreadyHeld(e *entry) bool {
	held := p.pass.scarcity.held
	return len(held) > 0 && held[p.heldQuery(e)]
}

// holdBack records that a job waits, and why.
func (p *Planner) holdBack(e *entry) {
	s := &p.pass.scarcity
	s.heldBack++
	s.held[p.heldQuery(e)] = true
	e.reason = waitReason{code: reasonHeadroom, a: s.free, b: p.likelyRise(e.rank(), p.timeToKeep(e))}
}

// riseResolution is the precision of the time for which a rise is looked up.
const riseResolution = 500 * time.Millisecond

// observeScarcity recounts the room that jobs take and ask for, and records it for later forecasts.
func (p *Planner) observeScarcity() {
	if p.disabled[DelayCost] {
		return
	}
	s := scarcity{rises: map[riseQuery]int{}, held: map[heldQuery]bool{}}
	var needed [rankCount]int
	for _, e := range p.jobs {
		if p.asksForRoom(e) {
			needed[e.rank()] += e.shape.TotalAccelerators()
		}
	}
	s.free = p.freeAccelerators()
	s.shapes = countShapes(p.recentShapes)
	p.addUsable(&s)
	above := 0
	for r := range rankCount {
		p.demand[r].Observe(p.now, above)
		above += needed[r]
	}
	p.pass.scarcity = s
}

// asksForRoom reports whether a job has room or waits for it. A job whose result is of no more use asks for none, nor does one that
// may not start yet.
func (p *Planner) asksForRoom(e *entry) bool {
	return !e.isQueued() || p.timeliness(e) != expired && !p.now.Before(e.notBefore)
}

// likelyRise returns by how much the demand above a rank is as likely as not to rise within the given time.
func (p *Planner) likelyRise(rank int, within time.Duration) int {
	k := riseQuery{rank: rank, within: within.Round(riseResolution)}
	x, ok := p.pass.scarcity.rises[k]
	if !ok {
		x = p.demand[rank].LikelyRise(k.within)
		p.pass.scarcity.rises[k] = x
	}
	return x
}

// timeToKeep returns how long a job has to keep its room for its start to be of use.
func (p *Planner) timeToKeep(e *entry) time.Duration {
	run := p.runTime(e)
	if e.job.LosesProgress {
		return run
	}
	return min(run, cost.MinRun(p.restartCost+e.profile.ReclaimBound))
}

// countShapes counts the rooms that one task of each gang needs.
func countShapes(ss []fleet.Shape) map[place.Resources]int {
	out := map[place.Resources]int{}
	for _, x := range ss {
		out[place.TaskResources(x)]++
	}
	return out
}

// addUsable sums up, for the jobs of each rank, the accelerators that urgent tasks could use on the open workers.
func (p *Planner) addUsable(s *scarcity) {
	for _, r := range p.ledger.Racks() {
		for _, x := range r.Sites {
			if x.Closed {
				continue
			}
			for rank := 1; rank < rankCount; rank++ {
				s.usable[rank] += s.usableIn(p.roomBeside(x, rank))
			}
		}
	}
}

// roomBeside returns the room of a site that is free, or that jobs which are less urgent than the rank have borrowed.
func (p *Planner) roomBeside(x *place.Site, rank int) place.Resources {
	room := x.Free()
	for _, b := range p.gangsOn[x] {
		if b.isBorrowedFrom(rank) {
			room = room.Plus(b.roomOn(x))
		}
	}
	return room
}

// isBorrowedFrom reports whether the room of a job counts as borrowed for jobs of a rank.
func (e *entry) isBorrowedFrom(rank int) bool {
	return e.rank() > rank && e.isPreemptible && e.gang == nil
}

// usableIn returns how many accelerators of a room the recent urgent tasks could use, as the mean over them. Without any, each
// counts.
func (s *scarcity) usableIn(room place.Resources) float64 {
	if len(s.shapes) == 0 {
		return float64(max(room.Accelerators, 0))
	}
	sum, count := 0, 0
	for x, n := range s.shapes {
		sum += n * room.Holds(x) * x.Accelerators
		count += n
	}
	return float64(sum) / float64(count)
}

// keepsRoom reports whether a job is likely to keep its room for long enough if it starts on the sites now: the work that is more
// urgent finds what it will need until then in the room that is left, or takes it from work that is less urgent than the job.
func (p *Planner) keepsRoom(e *entry, sites []*place.Site) bool {
	s := &p.pass.scarcity
	rank := e.rank()
	if p.disabled[DelayCost] || rank == 0 || p.leavesPlenty(e) {
		return true
	}
	left := s.usable[rank] - p.takenBy(e, sites, rank) - float64(s.awaited)
	return left >= float64(p.likelyRise(rank, p.timeToKeep(e)))
}

// leavesPlenty reports whether less than busyShare of the accelerators are in use once a job has started.
func (p *Planner) leavesPlenty(e *entry) bool {
	used := p.capacity.Accelerators - p.pass.scarcity.free + e.shape.TotalAccelerators()
	return used <= int(busyShare*float64(p.capacity.Accelerators))
}

// takenBy returns the room usable for a rank that a job takes on the sites.
func (p *Planner) takenBy(e *entry, sites []*place.Site, rank int) float64 {
	s := &p.pass.scarcity
	x := 0.0
	for _, y := range countTasks(sites) {
		room := p.roomBeside(y.site, rank)
		x += s.usableIn(room) - s.usableIn(room.Minus(e.need.Times(y.tasks)))
	}
	return x
}

// countTasks returns the number of tasks on each of the sites of a gang, in their order, so that sums don't vary.
func countTasks(sites []*place.Site) []siteLimit {
	var out []siteLimit
	for _, x := range sites {
		out = addSiteLimit(out, x, 1)
	}
	return out
}

// noteStart records that a job starts on the sites, before its room is allocated.
func (p *Planner) noteStart(e *entry, sites []*place.Site) {
	p.shiftRoom(e, sites, -1)
}

// noteDropped records that a job awaits the sites no more, after its booking there was removed.
func (p *Planner) noteDropped(e *entry, sites []*place.Site) {
	p.shiftRoom(e, sites, 1)
}

// shiftRoom adds (sign 1) or removes (sign -1) the room of a job on sites where it isn't booked. A rank loses no room to a job that it
// could take it from.
func (p *Planner) shiftRoom(e *entry, sites []*place.Site, sign int) {
	if p.disabled[DelayCost] || len(sites) == 0 {
		return
	}
	s := &p.pass.scarcity
	for _, y := range countTasks(sites) {
		free := y.site.Free().Accelerators
		s.free += sign * (max(free, 0) - max(free-y.tasks*e.need.Accelerators, 0))
	}
	for rank := 1; rank < rankCount; rank++ {
		if sign > 0 || !e.isBorrowedFrom(rank) {
			s.usable[rank] += float64(sign) * p.takenBy(e, sites, rank)
		}
	}
}

// Competition describes how urgent and less urgent jobs compete for room, in accelerators.
type Competition struct {
	// Free is the room that no job has or awaits, Usable the part of it, together with what less urgent jobs have borrowed, where urgent
	// tasks would fit, and Awaited the room of jobs for which others are being stopped.
	Free, Usable, Awaited int
	// HeldBack is the number of jobs that found room and didn't start, as they would likely not have kept it.
	HeldBack int
	// LikelyRise is by how much the demand of more urgent jobs is as likely as not to rise within the time.
	LikelyRise int
}

// noteCompetition keeps how jobs competed for room in a pass over all of them.
func (p *Planner) noteCompetition() {
	if p.disabled[DelayCost] {
		return
	}
	s := &p.pass.scarcity
	c := Competition{Free: s.free, Usable: int(s.usable[rankCount-1]), HeldBack: s.heldBack}
	for _, e := range p.jobs {
		if e.isQueued() && len(e.awaited) > 0 {
			c.Awaited += e.shape.TotalAccelerators()
		}
	}
	p.competition = &c
}

// Competition returns how jobs competed for room in the last pass over all of them, and the likely rise of demand within the given time.
func (p *Planner) Competition(within time.Duration) (Competition, bool) {
	if p.disabled[DelayCost] || p.competition == nil {
		return Competition{}, false
	}
	c := *p.competition
	c.LikelyRise = p.demand[rankCount-1].LikelyRise(within)
	return c, true
}
