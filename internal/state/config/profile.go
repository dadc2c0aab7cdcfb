package config

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Urgency orders the work of all organisations.
type Urgency string

// Urgencies, most urgent first.
const (
	Urgent Urgency = "Urgent"
	Normal Urgency = "Normal"
	Quiet  Urgency = "Quiet"
)

// Rank returns 0 for the most urgent work and grows with patience.
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

// Guarantee is a number of gangs of one shape that an organisation may claim in a failure domain.
type Guarantee struct {
	Organisation string
	Domain       string
	Gangs        int
	Shape        fleet.Shape
}

// Profile describes one kind of work: its guarantees, its urgency and how long it may wait.
type Profile struct {
	Name    string
	Version uint64
	Urgency Urgency
	// WaitBound is the longest wait before the start that work within its guarantee should see.
	WaitBound time.Duration
	// Organisations that may use the profile; empty means all.
	Organisations []string
	Guarantees    []Guarantee
	// Once demands an idempotency key of every job.
	Once bool
	// Stoppable work may borrow idle guarantees, and is checkpointed and stopped within ReclaimBound.
	Stoppable    bool
	ReclaimBound time.Duration
	// RunTime is planned for jobs that declare none.
	RunTime time.Duration
	// Notice is how long before a slowdown the clients are promised a call.
	Notice time.Duration
}
