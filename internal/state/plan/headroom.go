package plan

import (
	"math"
	"time"
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

// busyShare is the part of the accelerators in use from which what waiting urgent work needs is kept free for it.
const busyShare = 0.5

// note takes what urgent work needs, how much of that it has, and what is free.
func (h *headroom) note(now time.Time, need, has, free int) {
	if h.memory == 0 {
		return
	}
	if !h.at.IsZero() {
		h.peak *= math.Exp(-float64(now.Sub(h.at)) / float64(h.memory))
	}
	h.at = now
	h.peak = max(h.peak, float64(need))
	h.keep = int(h.share * (h.peak - float64(has)))
	h.free = free
}

// noteHeadroom counts what urgent work uses or waits for, and what is free.
func (p *Planner) noteHeadroom() {
	if p.headroom.memory == 0 {
		return
	}
	need, has := 0, 0
	for _, e := range p.jobs {
		if e.rank() != 0 {
			continue
		}
		n := e.shape.TotalAccelerators()
		need += n
		if !e.isQueued() {
			has += n
		}
	}
	free := 0
	for _, r := range p.books.Racks() {
		for _, s := range r.Sites {
			if !s.Closed {
				free += max(s.Free().Accelerators, 0)
			}
		}
	}
	if total := p.total.Accelerators; total-free < int(busyShare*float64(total)) {
		// Urgent work that finds no room while most of it is free does not wait for what other work would take.
		has = need
	}
	p.headroom.note(p.now, need, has, free)
}

// leavesHeadroom reports whether the start of a job leaves urgent work the accelerators that it will soon want.
func (p *Planner) leavesHeadroom(e *entry) bool {
	h := &p.headroom
	if h.memory == 0 || e.isUrgent() || !e.job.LosesProgress {
		return true
	}
	return h.free-e.shape.TotalAccelerators() >= h.keep
}

// took notes that a job was given free accelerators, which serve what they were kept for when it is urgent.
func (h *headroom) took(accelerators int, isUrgent bool) {
	h.free -= accelerators
	if isUrgent {
		h.keep -= int(h.share * float64(accelerators))
	}
}
