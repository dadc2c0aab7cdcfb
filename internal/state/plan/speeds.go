package plan

import (
	"math"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/place"
)

// SetSlowness records how much longer than a typical worker a worker takes for the same work, or zero if that is not
// known. It has no effect unless Speeds is switched on.
func (p *Planner) SetSlowness(worker string, slowness float64) {
	if p.disabled[Speeds] {
		return
	}
	p.slowness[worker] = slowness
	if slowness == 0 {
		delete(p.slowness, worker)
	}
	if s := p.ledger.Get(worker); s != nil {
		s.Slowness = slowness
	}
	p.isUneven = false
	for _, x := range p.slowness {
		p.isUneven = p.isUneven || x != 1
	}
}

// Slowness returns what is known of the slowness of a worker, or zero.
func (p *Planner) Slowness(worker string) float64 {
	return p.slowness[worker]
}

// slownessOf returns the slowness of a site; a worker about which nothing is known counts as typical.
func slownessOf(s *place.Site) float64 {
	if s.Slowness == 0 {
		return 1
	}
	return s.Slowness
}

// slowest returns the slowness of the slowest of some sites, which that of a gang on them is.
func slowest(sites []*place.Site) float64 {
	out := 0.0
	for _, s := range sites {
		out = max(out, slownessOf(s))
	}
	if out == 0 {
		return 1
	}
	return out
}

// scale multiplies a duration.
func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}

// runTimeOn returns the expected run time that remains for a job on the given sites, which is that of its slowest task.
func (p *Planner) runTimeOn(e *entry, sites []*place.Site) time.Duration {
	return scale(p.runTime(e), slowest(sites))
}

// endOn returns when a job ends on a site that would end at the given time on a typical worker if it starts now.
func (p *Planner) endOn(s *place.Site, end time.Time) time.Time {
	if s.Slowness == 0 || s.Slowness == 1 {
		return end
	}
	return p.now.Add(scale(end.Sub(p.now), s.Slowness))
}

// runTimeMargin is the factor by which a run may take longer than estimated without missing its target on the sites that are
// chosen for an urgent job.
const runTimeMargin = 1.25

// maxSlowness returns the slowness up to which a job meets its turnaround target if it starts now.
func (p *Planner) maxSlowness(e *entry) float64 {
	target := p.turnaroundTarget(e)
	if target == 0 {
		return math.Inf(1)
	}
	left := e.job.Submitted.Add(target).Sub(p.now)
	return float64(left) / float64(p.runTime(e))
}

// isFastEnough reports whether an urgent job that starts at once meets its target on a site.
func (p *Planner) isFastEnough(s *place.Site) bool {
	x := slownessOf(s)
	return x <= 1 || p.urgentStretch == 0 || x*runTimeMargin <= p.urgentStretch
}

// noteUrgentStretch keeps the tightest target of the urgent jobs relative to their run time.
func (p *Planner) noteUrgentStretch() {
	if p.disabled[Speeds] {
		return
	}
	tightest := 0.0
	for _, e := range p.jobs {
		if e.isUrgent() && e.job.Stretch > 0 && (tightest == 0 || e.job.Stretch < tightest) {
			tightest = e.job.Stretch
		}
	}
	if tightest > 0 {
		p.urgentStretch = tightest
	}
}

// countFastEnough returns how many accelerators of a gang are on sites that are fast enough for urgent jobs.
func (p *Planner) countFastEnough(e *entry, sites []*place.Site) int {
	n := 0
	for _, s := range sites {
		if p.isFastEnough(s) {
			n += e.need.Accelerators
		}
	}
	return n
}

// speedTier selects the sites of one search for room.
type speedTier int

const (
	// tierAny has all sites.
	tierAny speedTier = iota
	// tierFast has the sites that are faster than typical and fast enough for the job.
	tierFast
	// tierKnown has the sites that are known to be fast enough for the job.
	tierKnown
	// tierFastEnough has the sites that are fast enough as far as is known.
	tierFastEnough
	// tierSpare has the sites that are slower than typical and fast enough for the job, but not for urgent jobs.
	tierSpare
	// tierSlow has the sites that are slower than typical and fast enough for the job.
	tierSlow
	// tierTypical has the sites that are not known to differ from typical ones.
	tierTypical
	// tierNotFast has the sites of tierSlow and tierTypical.
	tierNotFast
)

// The tiers of each kind of job, in the order of the searches. Urgent jobs need sites that are fast enough; other work leaves
// the fast ones whole and keeps the tasks of a gang alike, as its fast members would wait for the slow ones.
var (
	urgentTiers = []speedTier{tierFast, tierKnown, tierFastEnough}
	gangTiers   = []speedTier{tierSlow, tierTypical, tierNotFast, tierFastEnough}
	singleTiers = []speedTier{tierSlow, tierTypical, tierFastEnough}
	heldTiers   = []speedTier{tierSpare}
)

// has reports whether a tier has a site for a job that may run on sites up to the given slowness.
func (t speedTier) has(p *Planner, s *place.Site, limit float64) bool {
	x := slownessOf(s)
	switch t {
	case tierAny:
		return true
	case tierFast:
		return x < 1 && x <= limit
	case tierKnown:
		return s.Slowness > 0 && x <= limit
	case tierFastEnough:
		return x <= limit
	case tierSpare:
		return x > 1 && x <= limit && !p.isFastEnough(s)
	case tierSlow:
		return x > 1 && x <= limit
	case tierTypical:
		return x == 1
	default:
		return x >= 1 && x <= limit
	}
}

// tierQuery identifies searches of one tier that find the same room, apart from the run time and the workers avoided.
type tierQuery struct {
	room roomQuery
	tier speedTier
	// limit is the largest slowness in steps of limitStep, up to maxLimitSteps.
	limit int
}

const (
	limitStep     = 0.1
	maxLimitSteps = 100
)

// limitSteps returns the largest slowness for a search in steps of limitStep.
func limitSteps(limit float64) int {
	return int(min(max(limit/limitStep, 0), maxLimitSteps))
}

// startBySpeed starts a job where the known speeds of the workers suit it and reports whether there is such room. A job that is
// held back for urgent ones may start only where these would be late. A job that lasts has no end for which speed matters, and is
// placed as without speeds.
func (p *Planner) startBySpeed(e *entry, isHeldBack bool, d *Decisions) bool {
	if !p.isUneven || e.job.Lasts || isHeldBack && (e.isUrgent() || !p.hasStartToken(e)) {
		return false
	}
	if p.hasNoRoom(e) {
		return false
	}
	limit := p.maxSlowness(e)
	if limit < 1 && !e.isUrgent() || math.IsInf(limit, 1) && e.isUrgent() {
		return false
	}
	if e.isUrgent() {
		limit /= runTimeMargin
	}
	for _, t := range tiersOf(e, isHeldBack) {
		if to := p.fitTier(e, t, limit); to != nil && (p.keepsRoom(e, to) || p.isOverdue(e)) {
			p.startOutside(e, to, "on workers whose speed suits it", d)
			return true
		}
	}
	return false
}

func tiersOf(e *entry, isHeldBack bool) []speedTier {
	switch {
	case isHeldBack:
		return heldTiers
	case e.isUrgent():
		return urgentTiers
	case e.shape.Tasks > 1:
		return gangTiers
	default:
		return singleTiers
	}
}

// fitTier looks for unreserved room for a job on the sites of a tier.
func (p *Planner) fitTier(e *entry, t speedTier, limit float64) []*place.Site {
	run := p.runTime(e)
	room := e.roomQuery()
	key := tierQuery{room: room, tier: t, limit: limitSteps(limit)}
	if f, ok := p.pass.noTierRoom[key]; ok && run >= f && len(e.avoid) == 0 {
		return nil
	}
	q := place.Search{Shape: e.shape, Targets: p.scoringTargets()}
	inTier := func(s *place.Site) place.Resources {
		if !t.has(p, s, limit) {
			return place.Resources{}
		}
		return s.FreeUncommitted()
	}
	q.View = p.backfillView(e, p.now.Add(run), inTier)
	to := p.fitUnreserved(e, tierQuery{room: room, tier: t}, q)
	if to == nil && len(e.avoid) == 0 {
		p.pass.noTierRoom[key] = run
	}
	return to
}
