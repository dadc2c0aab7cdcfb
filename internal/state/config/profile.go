package config

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Urgency is the priority class of a job, across all organisations.
type Urgency string

// Urgencies, most urgent first.
const (
	Urgent Urgency = "Urgent"
	Normal Urgency = "Normal"
	Quiet  Urgency = "Quiet"
)

// Rank returns 0 for the most urgent work; less urgent work has a higher rank.
func (u Urgency) Rank() int {
	switch u {
	case Urgent:
		return 0
	case Normal:
		return 1
	default:
		return 2
	}
}

// UrgencyOf returns the urgency that has a rank.
func UrgencyOf(rank int) Urgency {
	switch rank {
	case 0:
		return Urgent
	case 1:
		return Normal
	default:
		return Quiet
	}
}

// Guarantee reserves a number of gangs of one shape for an organisation in a failure domain.
type Guarantee struct {
	Organisation string
	Domain       string
	Gangs        int
	Shape        fleet.Shape
}

// Profile describes a class of jobs: its guarantees, its urgency and its wait bound.
type Profile struct {
	Name    string
	Version uint64
	// Service names the workers that run the jobs; empty means any.
	Service string
	Urgency Urgency
	// WaitBound is the target for the longest wait before the start of a job within its guarantee.
	WaitBound time.Duration
	// Organisations lists who may use the profile; empty means all.
	Organisations []string
	Guarantees    []Guarantee
	// Once requires an idempotency key for every job.
	Once bool
	// Stoppable jobs may borrow idle guarantees; they are checkpointed and preempted within ReclaimBound.
	Stoppable    bool
	ReclaimBound time.Duration
	// RunTime is the estimate for jobs that declare no run time.
	RunTime time.Duration
	// Notice is the promised time between the notice of a slowdown and the slowdown.
	Notice time.Duration
}
