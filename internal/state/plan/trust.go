package plan

import (
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/blame"
	"github.com/auburncleat/auburncleat/internal/state/guess"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

func (e *entry) kind() guess.Kind {
	return guess.Kind{Organisation: e.job.Organisation, Profile: e.job.Profile}
}

// learn takes the end of an attempt as evidence about the job, its workers and its declared sizes.
func (p *Planner) learn(e *entry, x Ended) {
	at := x.At
	if at.IsZero() {
		at = p.now
	}
	ps := p.placesOf(x.Workers)
	switch x.Result {
	case ResultDone:
		var ws []string
		for _, s := range e.sites {
			ws = append(ws, s.Worker.Name)
		}
		p.blame.Succeeded(e.job.ID, ws, at, p.books.Len())
		p.guess.Ran(e.kind(), e.declared(), max(at.Sub(e.since), 0)+e.job.Progress)
		if e.peak > 0 {
			p.guess.Used(e.kind(), e.job.Shape.Memory, e.peak)
		}
	case ResultFailed:
		p.blame.Failed(e.job.ID, ps, at, p.books.Len(), p.rackSizes(ps))
	case ResultLost, ResultNoStart:
		p.blame.Lost(e.job.ID, ps, at, p.books.Len())
	case ResultStopped:
	}
	if x.Result == ResultLost || x.Result == ResultNoStart {
		e.refusedBy = append(e.refusedBy, x.Workers...)
	}
	e.avoid = slices.Concat(p.blame.Avoid(e.job.ID), e.refusedBy)
	if 2*len(e.avoid) > p.books.Len() {
		e.avoid, e.refusedBy = nil, nil
	}
}

// relent lets a job use the workers that it avoids when the others could not hold it even if nothing ran there.
func (p *Planner) relent(e *entry) {
	if len(e.avoid) == 0 {
		return
	}
	empty := p.open(e, p.now, func(s *place.Site) place.Room { return s.Capacity })
	if p.books.Fit(place.Search{Shape: e.shape, View: empty}) == nil {
		e.avoid, e.refusedBy = nil, nil
	}
}

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxLastingBackoff is the same for work that lasts, which is missed all the while.
	maxLastingBackoff = time.Second
)

// postpone lets a job whose attempt came to nothing wait, twice as long each time in a row.
func (p *Planner) postpone(e *entry, x Ended) {
	if x.Result == ResultStopped || x.Result == ResultDone {
		e.backoff = 0
		return
	}
	most := maxBackoff
	if e.job.Lasts {
		most = maxLastingBackoff
	}
	e.backoff = min(max(2*e.backoff, minBackoff), most)
	e.after = p.now.Add(e.backoff)
	if x.At.After(p.now) {
		e.after = x.At.Add(e.backoff)
	}
}

// Next returns the earliest time at which a pass may decide something that none before could, if nothing else changes;
// it is zero while no job waits.
func (p *Planner) Next(now time.Time) time.Time {
	var next time.Time
	sooner := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if p.waiting == 0 {
		return next
	}
	sooner(now.Add(maxPause))
	for _, e := range p.jobs {
		if e.isQueued() {
			sooner(e.after)
			sooner(e.expected)
			sooner(e.job.Deadline)
		}
	}
	return next
}

// maxPause is the longest time between two passes while jobs wait.
const maxPause = 5 * time.Second

func (p *Planner) placesOf(workers []string) []blame.Place {
	var ps []blame.Place
	for _, n := range workers {
		if s := p.books.Get(n); s != nil {
			ps = append(ps, blame.Place{Worker: n, Rack: s.Worker.Rack})
		}
	}
	return ps
}

func (p *Planner) rackSizes(ps []blame.Place) map[string]int {
	out := map[string]int{}
	for _, x := range ps {
		out[x.Rack] = len(p.books.Get(x.Worker).Rack().Sites)
	}
	return out
}

// giveUp refuses a job that can never run and reports whether it did.
func (p *Planner) giveUp(e *entry) bool {
	why := p.blame.Hopeless(e.job.ID)
	if why == "" {
		return false
	}
	p.blame.Forget(e.job.ID, true)
	p.remove(e)
	p.refusals = append(p.refusals, Refusal{Job: e.job.ID, Reason: why, Ran: true})
	return true
}

// declared returns the run time that the caller or the profile gave.
func (e *entry) declared() time.Duration {
	if e.job.RunTime > 0 {
		return e.job.RunTime
	}
	return e.profile.RunTime
}

// trust brings a site up to date with the evidence and reports whether that closes it.
func (p *Planner) trust(s *place.Site) bool {
	st, _ := p.blame.State(s.Worker.Name, p.now)
	joined := p.blame.IsRamping(s.Worker.Name)
	probe := st == blame.Probation && !joined
	p.dirty = p.dirty || probe != s.Probe || joined != s.Joined
	s.Probe, s.Joined = probe, joined
	return st == blame.Quarantined
}

// settledAfter is the age of a planner from which a worker that it did not know counts as one that joined lately.
const settledAfter = time.Minute

// isSettled reports whether the planner has known its workers for a while.
func (p *Planner) isSettled() bool {
	return !p.born.IsZero() && p.now.Sub(p.born) >= settledAfter
}
