package exec

import (
	"cmp"
	"slices"

	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/pkg/errors"
)

// line is the part of the planner's queue that a limit applies to.
type line struct {
	org  string
	rank int
}

// lineOf returns the line of a unit.
func (e *Engine) lineOf(u *unit) line {
	l := line{org: u.org}
	if q := e.getQueue(u.queue); q != nil {
		l.rank = q.Urgency.Rank()
	}
	return l
}

// shares are the units of one line that the planner has queued, oldest first, by job.
type shares map[string][]*unit

// findLargest returns the job with the most queued units.
func (s shares) findLargest() string {
	out := ""
	for id, us := range s {
		if len(us) > len(s[out]) || len(us) == len(s[out]) && id < out {
			out = id
		}
	}
	return out
}

// resubmitDeferred submits the deferred units again, oldest first. In a full line of the queue they take the places of units of
// the jobs that have the most queued, so that every job has some.
func (e *Engine) resubmitDeferred() {
	if len(e.deferred) == 0 {
		return
	}
	deferred, lines := e.findWaiting()
	full := map[line]bool{}
	for _, u := range deferred {
		l := e.lineOf(u)
		if full[l] && !e.displaceQueued(lines[l], u.job) {
			continue
		}
		err := e.submit(u)
		if errors.Is(err, plan.ErrQueueFull) && !full[l] {
			full[l] = true
			if e.displaceQueued(lines[l], u.job) {
				err = e.submit(u)
			}
		}
		if err == nil {
			lines[l][u.job] = append(lines[l][u.job], u)
		}
	}
}

// findWaiting returns the deferred units, oldest first, and the units that the planner has queued, by line.
func (e *Engine) findWaiting() (deferred []*unit, lines map[line]shares) {
	lines = map[line]shares{}
	for _, u := range e.units {
		l := e.lineOf(u)
		if lines[l] == nil {
			lines[l] = shares{}
		}
		switch {
		case e.deferred[u.name] != nil:
			deferred = append(deferred, u)
		case u.phase == phaseQueued:
			lines[l][u.job] = append(lines[l][u.job], u)
		}
	}
	for _, s := range lines {
		for _, us := range s {
			slices.SortFunc(us, compareAge)
		}
	}
	slices.SortFunc(deferred, compareAge)
	return deferred, lines
}

func compareAge(x, y *unit) int {
	return cmp.Or(x.since.Compare(y.since), cmp.Compare(x.name, y.name))
}

// displaceQueued defers the newest queued unit of the job with the most in a line, if that job keeps more than the given one has,
// and reports whether it did.
func (e *Engine) displaceQueued(s shares, job string) bool {
	largest := s.findLargest()
	us := s[largest]
	if len(us) <= len(s[job])+1 {
		return false
	}
	u := us[len(us)-1]
	s[largest] = us[:len(us)-1]
	e.planner.Cancel([]string{u.name})
	e.deferred[u.name] = u
	return true
}
