package plan

import "github.com/auburncleat/auburncleat/internal/state/health"

// Mechanism names a part of the planner that can be switched off, to measure what it is worth.
type Mechanism string

// Mechanisms of the planner.
const (
	// Headroom keeps accelerators free for urgent jobs.
	Headroom Mechanism = "Headroom"
	// StartRate limits the starts of single tasks.
	StartRate Mechanism = "StartRate"
	// LossBounds limit what a preemption may cost others.
	LossBounds Mechanism = "LossBounds"
	// StopCosts spare jobs whose targets a stop would miss.
	StopCosts Mechanism = "StopCosts"
	// Reservations hold room for blocked gangs.
	Reservations Mechanism = "Reservations"
	// Timeliness orders jobs by whether they can still meet their targets.
	Timeliness Mechanism = "Timeliness"
	// Fragmentation prefers placements that keep room whole, and moves jobs for it.
	Fragmentation Mechanism = "Fragmentation"
	// RunTimes corrects declared run times by learned ones.
	RunTimes Mechanism = "RunTimes"
	// Health keeps work from workers that fail it.
	Health Mechanism = "Health"
	// Backoff delays jobs after unsuccessful runs.
	Backoff Mechanism = "Backoff"
	// Speeds takes into account that workers run the same task at different speeds; it is optional.
	Speeds Mechanism = "Speeds"
	// DelayCost decides who waits for want of room by what a delay costs callers; it is optional.
	DelayCost Mechanism = "DelayCost"
)

// Mechanisms lists the mechanisms that are on unless Without switches them off.
var Mechanisms = []Mechanism{
	Headroom, StartRate, LossBounds, StopCosts, Reservations, Timeliness, Fragmentation, RunTimes, Health, Backoff,
}

// OptionalMechanisms lists the mechanisms that are off unless With switches them on.
var OptionalMechanisms = []Mechanism{Speeds, DelayCost}

// With switches optional mechanisms on.
func With(ms ...Mechanism) Option {
	return func(p *Planner) {
		for _, m := range ms {
			delete(p.disabled, m)
		}
	}
}

// Without switches mechanisms off; it is to be the last option.
func Without(ms ...Mechanism) Option {
	return func(p *Planner) {
		for _, m := range ms {
			p.disabled[m] = true
		}
		if p.disabled[Headroom] {
			p.headroom = headroomSettings{}
		}
		if p.disabled[StartRate] {
			p.startRate = tokenBucket{}
		}
		if p.disabled[LossBounds] {
			p.lossBounds = [2]float64{}
		}
		if p.disabled[Fragmentation] {
			p.fragmentationWeight = 0
		}
		p.noReservations = p.noReservations || p.disabled[Reservations]
	}
}

// healthState returns the health of a worker, which is always good if the mechanism is switched off.
func (p *Planner) healthState(worker string) (health.State, string) {
	if p.disabled[Health] {
		return health.Good, ""
	}
	return p.health.State(worker, p.now)
}
