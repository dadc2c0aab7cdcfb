package plan

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
