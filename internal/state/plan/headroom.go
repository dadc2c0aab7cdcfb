package plan

import (
	"math"
	"time"
)

// WithHeadroom keeps accelerators free for urgent jobs, up to a share of their recent peak demand. It applies only to
// starts of jobs that would lose their progress when stopped. The peak decays exponentially with the given time
// constant.
func WithHeadroom(decay time.Duration, share float64) Option {
	return func(p *Planner) { p.headroom = headroom{decay: decay, share: share} }
}

// headroom tracks the peak demand of urgent jobs for accelerators.
type headroom struct {
	decay     time.Duration
	share     float64
	peak      float64
	updatedAt time.Time
	// reserved is the number of accelerators to keep free now, and free the number that are free on workers that are fast
	// enough for urgent jobs.
	reserved int
	free     int
}

// busyShare is the fraction of accelerators in use from which accelerators are also kept free for queued urgent jobs.
const busyShare = 0.5

// update records the accelerators that urgent jobs need, those they have, and those that are free.
func (h *headroom) update(now time.Time, need, has, free int) {
	if h.decay == 0 {
		return
	}
	if !h.updatedAt.IsZero() {
		h.peak *= math.Exp(-float64(now.Sub(h.updatedAt)) / float64(h.decay))
	}
	h.updatedAt = now
	h.peak = max(h.peak, float64(need))
	h.reserved = int(h.share * (h.peak - float64(has)))
	h.free = free
}

// updateHeadroom recounts the demand of urgent jobs and the free accelerators.
func (p *Planner) updateHeadroom() {
	if p.headroom.decay == 0 {
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
			has += n - len(e.vacated)*e.need.Accelerators
		}
	}
	free, fastEnough := 0, 0
	for _, r := range p.ledger.Racks() {
		for _, s := range r.Sites {
			if s.Closed {
				continue
			}
			n := max(s.Free().Accelerators, 0)
			free += n
			if p.isFastEnough(s) {
				fastEnough += n
			}
		}
	}
	if total := p.capacity.Accelerators; total-free < int(busyShare*float64(total)) {
		// Below busyShare enough accelerators are free, so that queued urgent jobs do not wait for accelerators that
		// other jobs would take. Their demand therefore counts as met.
		has = need
	}
	p.headroom.update(p.now, need, has, fastEnough)
}

// leavesHeadroom reports whether starting a job leaves enough accelerators free for urgent jobs.
func (p *Planner) leavesHeadroom(e *entry) bool {
	h := &p.headroom
	if h.decay == 0 || e.isUrgent() || !e.job.LosesProgress {
		return true
	}
	return h.free-e.shape.TotalAccelerators() >= h.reserved
}

// take accounts for a start on free accelerators; an urgent job uses up part of the reserved ones.
func (h *headroom) take(accelerators int, isUrgent bool) {
	h.free -= accelerators
	if isUrgent {
		h.reserved -= int(h.share * float64(accelerators))
	}
}
