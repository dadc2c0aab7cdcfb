package plan

// SetGuaranteed replaces the accelerators that belong to each organisation's urgent jobs, whatever their shape.
func (p *Planner) SetGuaranteed(byOrg map[string]int) {
	p.guaranteed = byOrg
}

// urgentNeed adds up the accelerators of all urgent jobs of each organisation that have not ended.
func (p *Planner) urgentNeed() map[string]int {
	out := map[string]int{}
	for _, e := range p.jobs {
		if e.rank() == 0 {
			out[e.job.Organisation] += e.shape.TotalAccelerators()
		}
	}
	return out
}

// isSure reports whether an urgent job and all others of its organisation need no more than is guaranteed.
func (p *Planner) isSure(e *entry) bool {
	g := p.guaranteed[e.job.Organisation]
	return g > 0 && e.rank() == 0 && p.pass.urgent[e.job.Organisation] <= g
}

// mayDisplace reports whether a running job gives way to another: to a more urgent one, and beyond its guarantee to
// one within.
func (p *Planner) mayDisplace(e, b *entry) bool {
	if b.rank() > e.rank() {
		return true
	}
	return p.isSure(e) && b.rank() == 0 && !p.isSure(b)
}
