package trace

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Cause is what a part of a job's time was spent on.
type Cause string

// Causes in the order in which they occur.
const (
	// Refused is the time from the first request that no host served to the acceptance.
	Refused Cause = "Refused"
	// NoOwner is time before a run during which no host owned the jobs.
	NoOwner Cause = "NoOwner"
	// Queued is the time until the first run, other than NoOwner.
	Queued Cause = "Queued"
	// Preempted, Unanswered, Drained, Failed and Lost are times of runs that came to nothing and of the waits that
	// followed: they were stopped for other work, a worker did not answer the start, a worker left, a task failed, or a
	// worker was lost.
	Preempted  Cause = "Preempted"
	Unanswered Cause = "Unanswered"
	Drained    Cause = "Drained"
	Failed     Cause = "Failed"
	Lost       Cause = "Lost"
	// Worked is the time of the last run.
	Worked Cause = "Worked"
	// Stored is the time from the end of the last run to that of the job.
	Stored Cause = "Stored"
)

// Causes lists all causes in the order in which they occur.
var Causes = []Cause{Refused, NoOwner, Queued, Preempted, Unanswered, Drained, Failed, Lost, Worked, Stored}

// Part is a period of a job's time and what it was spent on.
type Part struct {
	Cause Cause
	From  time.Time
	To    time.Time
	// Detail is the reason for the end of a run, if the part is a run.
	Detail string
}

// Explain returns the history of a job and the parts of its time in order, along the unit of each step that ended last. The
// job is nil if no line names it.
func (l *Log) Explain(id string) (*Job, []Part) {
	h := l.history()
	j := h.jobs[id]
	if j == nil {
		return nil, nil
	}
	return j, h.explain(j)
}

func (h *history) explain(j *Job) []Part {
	if j.Accepted.IsZero() {
		return nil
	}
	var out []Part
	at := j.firstSeen()
	add := func(c Cause, to time.Time, detail string) {
		if to.After(at) {
			out = append(out, Part{Cause: c, From: at, To: to, Detail: detail})
			at = to
		}
	}
	add(Refused, j.Accepted, "")
	wait := Queued
	for _, r := range j.criticalRuns() {
		for _, g := range h.gaps {
			if g.from.Before(r.Started) && g.to.After(at) {
				add(wait, g.from, "")
				add(NoOwner, earlier(g.to, r.Started), "")
			}
		}
		add(wait, r.Started, "")
		if r.Result == "Done" {
			add(Worked, r.Ended, "")
			wait = Queued
			continue
		}
		wait = r.cause()
		if !r.Ended.IsZero() {
			add(wait, r.Ended, cmp.Or(r.StopReason, r.Result))
		}
	}
	if !j.Ended.IsZero() {
		add(Stored, j.Ended, "")
	}
	return out
}

// criticalRuns returns the runs of the unit of each step that was done last, in order.
func (j *Job) criticalRuns() []Run {
	last := map[string]Run{}
	for _, r := range j.Runs {
		step := r.Unit[:strings.LastIndexByte(r.Unit, '/')]
		if x, ok := last[step]; !ok || r.Ended.After(x.Ended) {
			last[step] = r
		}
	}
	isCritical := map[string]bool{}
	for r := range maps.Values(last) {
		isCritical[r.Unit] = true
	}
	return slices.DeleteFunc(slices.Clone(j.Runs), func(r Run) bool { return !isCritical[r.Unit] || r.Started.IsZero() })
}

// cause returns why a run came to nothing.
func (r Run) cause() Cause {
	switch {
	case strings.Contains(r.StopReason, "did not accept"), strings.HasPrefix(r.StopReason, "a task did not start"):
		return Unanswered
	case strings.Contains(r.StopReason, "draining"):
		return Drained
	case r.Result == "Failed":
		return Failed
	case r.Result == "Stopped":
		return Preempted
	default:
		return Lost
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
