package plan

import "time"

// WithStartRate limits the rate and burst of starts of jobs that have a single task and are not urgent, so that the
// start commands for a long queue do not delay those of urgent jobs. While less than half of the accelerators are in
// use only the burst is limited.
func WithStartRate(perSecond, burst float64) Option {
	return func(p *Planner) { p.startRate = tokenBucket{rate: perSecond, burst: burst, tokens: burst} }
}

// tokenBucket limits a rate; a rate of zero means no limit.
type tokenBucket struct {
	rate      float64
	burst     float64
	tokens    float64
	updatedAt time.Time
}

// refill adds the tokens for the time since the last refill.
func (x *tokenBucket) refill(now time.Time) {
	if !x.updatedAt.IsZero() {
		x.tokens = min(x.tokens+x.rate*now.Sub(x.updatedAt).Seconds(), x.burst)
	}
	x.updatedAt = now
}

// refillStartRate refills the bucket, completely while less than half of the accelerators are in use.
func (p *Planner) refillStartRate() {
	p.startRate.refill(p.now)
	used := 0
	for _, u := range p.usage {
		used += u.Accelerators
	}
	if 2*used < p.capacity.Accelerators {
		p.startRate.tokens = p.startRate.burst
	}
}

// isRateLimited reports whether the start rate applies to a job.
func (p *Planner) isRateLimited(e *entry) bool {
	return p.startRate.rate > 0 && !e.isUrgent() && e.shape.Tasks == 1
}

// hasStartToken reports whether the start rate allows a job to start now.
func (p *Planner) hasStartToken(e *entry) bool {
	return !p.isRateLimited(e) || p.startRate.tokens >= 1
}

// takeStartToken uses up a token if the start rate applies to the job.
func (p *Planner) takeStartToken(e *entry) {
	if p.isRateLimited(e) {
		p.startRate.tokens--
	}
}
