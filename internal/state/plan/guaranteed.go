package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// WithClaimBound sets how long a job within its organisation's guaranteed accelerators may wait for its start.
func WithClaimBound(d time.Duration) Option {
	return func(p *Planner) { p.claimBound = d }
}

// relaxAfterShare is the fraction of the claim bound after which a guaranteed job is spread over several racks.
const relaxAfterShare = 0.4

// relaxAdjacency lets a job use several racks: a guaranteed one if waiting for a single one could exceed the claim bound, and any
// one that has idled for the idle bound if no rack holds it.
func (p *Planner) relaxAdjacency(e *entry) {
	if e.shape.Adjacent != fleet.LevelRack {
		return
	}
	isLate := p.claimBound > 0 && float64(p.now.Sub(e.job.Submitted)) > relaxAfterShare*float64(p.claimBound)
	if isLate && p.isGuaranteed(e) || p.hasIdled(e) && !p.fitsRack(e) {
		e.shape.Adjacent = fleet.LevelDomain
	}
}

// fitsRack reports whether some rack would hold a job if nothing else ran there.
func (p *Planner) fitsRack(e *entry) bool {
	k := e.roomQuery()
	if fits, isKnown := p.pass.fitsRack[k]; isKnown {
		return fits
	}
	p.pass.fitsRack[k] = slices.ContainsFunc(p.ledger.Racks(), func(r *place.Rack) bool {
		tasks := 0
		for _, s := range r.Sites {
			if s.Closed || !p.mayUse(e, s) {
				continue
			}
			tasks += min(s.Capacity.Holds(e.need), cmp.Or(e.job.PerWorker, math.MaxInt))
			if tasks >= e.shape.Tasks {
				return true
			}
		}
		return false
	})
	return p.pass.fitsRack[k]
}

// SetGuaranteed replaces the number of accelerators guaranteed to the urgent jobs of each organisation, whatever their
// shape.
func (p *Planner) SetGuaranteed(byOrg map[string]int) {
	p.guaranteed = byOrg
}

// isGuaranteed reports whether a job is urgent and all urgent jobs of its organisation fit its guaranteed
// accelerators.
func (p *Planner) isGuaranteed(e *entry) bool {
	g := p.guaranteed[e.job.Organisation]
	return g > 0 && e.isUrgent() && p.pass.urgent[e.job.Organisation] <= g
}

// mayPreempt reports whether job e may stop the running job b: if b is less urgent, or if e is within its
// organisation's guarantee and b is urgent work beyond that of its own.
func (p *Planner) mayPreempt(e, b *entry) bool {
	if b.rank() > e.rank() {
		return true
	}
	return p.isGuaranteed(e) && b.rank() == 0 && !p.isGuaranteed(b)
}
