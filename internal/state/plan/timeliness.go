package plan

import "time"

// timeliness tells whether a job can still meet its turnaround target.
type timeliness int

const (
	// onTime jobs can still end within their turnaround target.
	onTime timeliness = iota
	// late jobs miss the target but can still end within usefulFactor times the target.
	late
	// expired jobs cannot end within usefulFactor times the target, so their result is of no more use.
	expired
)

// usefulFactor times the turnaround target is how long after submission the result is still of use.
const usefulFactor = 3

// turnaroundTarget returns the time from submission within which a job should end; zero means no target.
func (p *Planner) turnaroundTarget(e *entry) time.Duration {
	if e.job.Stretch == 0 || p.disabled[Timeliness] {
		return 0
	}
	whole := p.runTime(e) + e.job.Progress
	return e.job.Objective + time.Duration(e.job.Stretch*float64(whole))
}

// timeliness returns the timeliness of the job if it starts now.
func (p *Planner) timeliness(e *entry) timeliness {
	w := p.turnaroundTarget(e)
	if w == 0 {
		return onTime
	}
	end := p.now.Add(p.runTime(e)).Sub(e.job.Submitted)
	switch {
	case end <= w:
		return onTime
	case end <= usefulFactor*w:
		return late
	default:
		return expired
	}
}
