package plan

import "time"

// promise says what can still be kept of the time in which a job should end.
type promise int

const (
	// onTime jobs can still end when they should.
	onTime promise = iota
	// late jobs can still end while their end is of use.
	late
	// useless jobs cannot.
	useless
)

// useFactor times the time in which a job should end is how long its end is of use.
const useFactor = 3

// wanted returns how long after its submission a job should end; zero means that nobody said.
func (p *Planner) wanted(e *entry) time.Duration {
	if e.job.Stretch == 0 {
		return 0
	}
	whole := p.runTime(e) + e.job.Progress
	return e.job.Objective + time.Duration(e.job.Stretch*float64(whole))
}

// promise returns what can still be kept when the job starts now.
func (p *Planner) promise(e *entry) promise {
	w := p.wanted(e)
	if w == 0 {
		return onTime
	}
	end := p.now.Add(p.runTime(e)).Sub(e.job.Submitted)
	switch {
	case end <= w:
		return onTime
	case end <= useFactor*w:
		return late
	default:
		return useless
	}
}
