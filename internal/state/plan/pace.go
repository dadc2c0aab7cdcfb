package plan

import "time"

// WithStartRate bounds how many jobs of one task, of those that are not urgent, start in a second and at once, so that
// the orders for a long queue do not hold up urgent ones; while half of the accelerators are idle only the latter counts.
func WithStartRate(perSecond, burst float64) Option {
	return func(p *Planner) { p.pace = pace{rate: perSecond, burst: burst, left: burst} }
}

// pace is a token bucket; a rate of zero means no bound.
type pace struct {
	rate  float64
	burst float64
	left  float64
	at    time.Time
}

// refill adds what has come free since the last pass.
func (x *pace) refill(now time.Time) {
	if !x.at.IsZero() {
		x.left = min(x.left+x.rate*now.Sub(x.at).Seconds(), x.burst)
	}
	x.at = now
}

// refillPace adds what has come free since the last pass, and all while half of the accelerators are idle.
func (p *Planner) refillPace() {
	p.pace.refill(p.now)
	used := 0
	for _, u := range p.usage {
		used += u.Accelerators
	}
	if 2*used < p.total.Accelerators {
		p.pace.left = p.pace.burst
	}
}

// isPaced reports whether the starts of a job are bounded.
func (p *Planner) isPaced(e *entry) bool {
	return p.pace.rate > 0 && !e.isUrgent() && e.shape.Tasks == 1
}

// mayStartMore reports whether another job of the kind may start in this pass.
func (p *Planner) mayStartMore(e *entry) bool {
	return !p.isPaced(e) || p.pace.left >= 1
}

// notePaced counts a start.
func (p *Planner) notePaced(e *entry) {
	if p.isPaced(e) {
		p.pace.left--
	}
}
