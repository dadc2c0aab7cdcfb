package plan

import "github.com/auburncleat/auburncleat/internal/state/place"

// WaitCause says which rule kept a queued job from its start in the last pass.
type WaitCause string

// Causes of a wait.
const (
	WaitRoom     WaitCause = "Room"
	WaitHeadroom WaitCause = "Headroom"
	WaitStarts   WaitCause = "StartRate"
	WaitQuota    WaitCause = "Quota"
	WaitReclaim  WaitCause = "Reclaim"
	WaitReserved WaitCause = "Reserved"
	WaitBackoff  WaitCause = "Backoff"
	WaitPass     WaitCause = "Pass"
	WaitUnknown  WaitCause = "Unknown"
	WaitStarted  WaitCause = "Started"
)

// WaitCause returns why a job is queued: WaitUnknown for a job that the planner does not have, WaitStarted for one that is not
// queued, and WaitPass for one that no pass has looked at.
func (p *Planner) WaitCause(id string) WaitCause {
	e, ok := p.jobs[id]
	switch {
	case !ok:
		return WaitUnknown
	case !e.isQueued():
		return WaitStarted
	}
	switch e.reason.code {
	case reasonRoom:
		return WaitRoom
	case reasonHeadroom:
		return WaitHeadroom
	case reasonStartRate:
		return WaitStarts
	case reasonQuota:
		return WaitQuota
	case reasonReclaim:
		return WaitReclaim
	case reasonReserved:
		return WaitReserved
	case reasonBackoff:
		return WaitBackoff
	default:
		return WaitPass
	}
}

// FitsTwice reports whether the listed workers have room for two of a queued job beside what runs, whatever is reserved or
// awaited there and whatever is believed of their health.
func (p *Planner) FitsTwice(id string) bool {
	e, ok := p.jobs[id]
	if !ok {
		return false
	}
	tasks := 0
	for _, r := range p.ledger.Racks() {
		for _, s := range r.Sites {
			if s.Worker.Leaving || !p.matchesLabel(e, s) {
				continue
			}
			tasks += p.limitPerWorker(e, s, s.Capacity.Minus(s.Used)).Holds(place.TaskResources(e.job.Shape))
			if tasks >= 2*e.shape.Tasks {
				return true
			}
		}
	}
	return false
}
