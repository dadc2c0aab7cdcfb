package plan

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// WithClaimBound sets how long work within a guaranteed number of accelerators may wait for its start.
func WithClaimBound(d time.Duration) Option {
	return func(p *Planner) { p.claimBound = d }
}

// spreadFrom is the part of the bound after which guaranteed work takes room in several racks rather than in one.
const spreadFrom = 0.4

// spreadOut lets guaranteed work give up the wish for one rack when it would start too late otherwise.
func (p *Planner) spreadOut(e *entry) {
	if p.claimBound == 0 || e.shape.Adjacent != fleet.LevelRack || !p.isGuaranteed(e) {
		return
	}
	if float64(p.now.Sub(e.job.Submitted)) > spreadFrom*float64(p.claimBound) {
		e.shape.Adjacent = fleet.LevelDomain
	}
}

// SetGuaranteed replaces the accelerators that belong to each organisation's urgent jobs, whatever their shape.
func (p *Planner) SetGuaranteed(byOrg map[string]int) {
	p.guaranteed = byOrg
}

// isGuaranteed reports whether an urgent job and all others of its organisation need no more than is guaranteed.
func (p *Planner) isGuaranteed(e *entry) bool {
	g := p.guaranteed[e.job.Organisation]
	return g > 0 && e.isUrgent() && p.pass.urgent[e.job.Organisation] <= g
}

// mayDisplace reports whether a running job gives way to another: to a more urgent one, and beyond its guarantee to
// one within.
func (p *Planner) mayDisplace(e, b *entry) bool {
	if b.rank() > e.rank() {
		return true
	}
	return p.isGuaranteed(e) && b.rank() == 0 && !p.isGuaranteed(b)
}
