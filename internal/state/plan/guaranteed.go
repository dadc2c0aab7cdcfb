package plan

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// WithClaimBound sets how long a job within its organisation's guaranteed accelerators may wait for its start.
func WithClaimBound(d time.Duration) Option {
	return func(p *Planner) { p.claimBound = d }
}

// relaxAfterShare is the fraction of the claim bound after which a guaranteed job is spread over several racks.
const relaxAfterShare = 0.4

// relaxAdjacency lets a guaranteed job use several racks if waiting for a single one could exceed the claim bound.
func (p *Planner) relaxAdjacency(e *entry) {
	if p.claimBound == 0 || e.shape.Adjacent != fleet.LevelRack || !p.isGuaranteed(e) {
		return
	}
	if float64(p.now.Sub(e.job.Submitted)) > relaxAfterShare*float64(p.claimBound) {
		e.shape.Adjacent = fleet.LevelDomain
	}
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
