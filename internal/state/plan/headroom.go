package plan

import (
	"math"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/place"
)

// WithHeadroom keeps accelerators free for urgent work, as many as it lately used at its peak, from other work that
// would lose what it did when it is stopped; the peak is forgotten over about the given time.
func WithHeadroom(memory time.Duration, share float64) Option {
	return func(p *Planner) { p.headroom = headroom{memory: memory, share: share} }
}

// headroom follows the use of accelerators by urgent work.
type headroom struct {
	memory time.Duration
	share  float64
	peak   float64
	at     time.Time
	// keep are the accelerators to keep free now, and free those that are.
	keep int
	free int
}

// note takes the present use of urgent work and what is free.
func (h *headroom) note(now time.Time, urgent, free int) {
	if h.memory == 0 {
		return
	}
	if !h.at.IsZero() {
		h.peak *= math.Exp(-float64(now.Sub(h.at)) / float64(h.memory))
	}
	h.at = now
	h.peak = max(h.peak, float64(urgent))
	h.keep = int(h.share * (h.peak - float64(urgent)))
	h.free = free
}

// noteHeadroom counts what urgent work uses or waits for, and what is free.
func (p *Planner) noteHeadroom() {
	if p.headroom.memory == 0 {
		return
	}
	urgent := 0
	for _, n := range p.pass.urgent {
		urgent += n
	}
	free := 0
	for _, r := range p.books.Racks() {
		for _, s := range r.Sites {
			if !s.Closed {
				free += max(s.Free().Accelerators, 0)
			}
		}
	}
	p.headroom.note(p.now, urgent, free)
}

// leavesHeadroom reports whether the start of a job leaves urgent work the accelerators that it will soon want.
func (p *Planner) leavesHeadroom(e *entry) bool {
	h := &p.headroom
	if h.memory == 0 || e.rank() == 0 || !e.job.LosesProgress {
		return true
	}
	return h.free-e.shape.TotalAccelerators() >= h.keep
}

// took notes that a job was given free accelerators.
func (h *headroom) took(n place.Room, tasks int) {
	h.free -= n.Accelerators * tasks
}
