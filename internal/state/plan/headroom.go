package plan

import (
	"maps"
	"math"
	"time"
)

// WithHeadroom keeps accelerators free for urgent jobs, up to a share of their recent peak demand. It applies only to
// starts of jobs that would lose their progress when stopped. The peak decays exponentially with the given time
// constant. Each service has a headroom of its own.
func WithHeadroom(decay time.Duration, share float64) Option {
	return func(p *Planner) { p.headroom = headroomSettings{decay: decay, share: share} }
}

// headroomSettings are the time constant and the share of WithHeadroom; a time constant of zero keeps nothing free.
type headroomSettings struct {
	decay time.Duration
	share float64
}

// headroom tracks the peak demand of urgent jobs of a service for accelerators.
type headroom struct {
	settings  headroomSettings
	peak      float64
	updatedAt time.Time
	// reserved is the number of accelerators to keep free now, and free the number that are free on workers that are fast
	// enough for urgent jobs.
	reserved int
	free     int
}

// busyShare is the fraction of accelerators in use from which accelerators are also kept free for queued urgent jobs.
const busyShare = 0.5

// demand is what urgent jobs of a service need and have, and what its workers have, in accelerators.
type demand struct {
	need int
	has  int
	free int
	// fastEnough is the part of free on workers that are fast enough for urgent jobs.
	fastEnough int
	total      int
}

// update records a demand.
func (h *headroom) update(now time.Time, d demand) {
	if !h.updatedAt.IsZero() {
		h.peak *= math.Exp(-float64(now.Sub(h.updatedAt)) / float64(h.settings.decay))
	}
	h.updatedAt = now
	if d.total-d.free < int(busyShare*float64(d.total)) {
		// Below busyShare enough accelerators are free, so that queued urgent jobs do not wait for accelerators that
		// other jobs would take. Their demand therefore counts as met.
		d.has = d.need
	}
	h.peak = max(h.peak, float64(d.need))
	h.reserved = int(h.settings.share * (h.peak - float64(d.has)))
	h.free = d.fastEnough
}

// updateHeadroom recounts the demand of urgent jobs and the free accelerators of each service.
func (p *Planner) updateHeadroom() {
	if p.headroom.decay == 0 {
		return
	}
	by := map[string]*demand{}
	for _, x := range p.profiles {
		by[x.Service] = &demand{}
	}
	for _, e := range p.jobs {
		if by[e.profile.Service] == nil {
			by[e.profile.Service] = &demand{}
		}
		if e.rank() == 0 {
			p.addDemand(by[e.profile.Service], e)
		}
	}
	for service, d := range by {
		p.addFree(d, service)
		if p.headrooms[service] == nil {
			p.headrooms[service] = &headroom{settings: p.headroom}
		}
		p.headrooms[service].update(p.now, *d)
	}
	maps.DeleteFunc(p.headrooms, func(service string, _ *headroom) bool { return by[service] == nil })
}

// addDemand adds what an urgent job needs and has.
func (p *Planner) addDemand(d *demand, e *entry) {
	n := e.shape.TotalAccelerators()
	d.need += n
	if !e.isQueued() {
		d.has += n - len(e.vacated)*e.need.Accelerators
	}
}

// addFree adds what the open workers of a service have.
func (p *Planner) addFree(d *demand, service string) {
	for _, r := range p.ledger.Racks() {
		for _, s := range r.Sites {
			if s.Closed || !isServedBy(service, s) {
				continue
			}
			n := max(s.Free().Accelerators, 0)
			d.free += n
			if p.isFastEnough(s) {
				d.fastEnough += n
			}
			d.total += s.Capacity.Accelerators
		}
	}
}

// headroomOf returns the headroom of the service of a job; a service that the pass has not counted keeps nothing free.
func (p *Planner) headroomOf(e *entry) *headroom {
	if h := p.headrooms[e.profile.Service]; h != nil {
		return h
	}
	return &headroom{settings: p.headroom}
}

// freeAccelerators returns the accelerators of open workers that no job has or awaits.
func (p *Planner) freeAccelerators() int {
	free := 0
	for _, r := range p.ledger.Racks() {
		for _, s := range r.Sites {
			if !s.Closed {
				free += max(s.Free().Accelerators, 0)
			}
		}
	}
	return free
}

// leavesHeadroom reports whether starting a job leaves enough accelerators free for urgent jobs.
func (p *Planner) leavesHeadroom(e *entry) bool {
	// With DelayCost, keepsRoom decides instead once the sites are known.
	if p.headroom.decay == 0 || !p.disabled[DelayCost] || e.isUrgent() || !e.job.LosesProgress {
		return true
	}
	h := p.headroomOf(e)
	return h.free-e.shape.TotalAccelerators() >= h.reserved
}

// take accounts for a start on free accelerators; an urgent job uses up part of the reserved ones.
func (h *headroom) take(accelerators int, isUrgent bool) {
	h.free -= accelerators
	if isUrgent {
		h.reserved -= int(h.settings.share * float64(accelerators))
	}
}
