package plan

import (
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/health"
	"github.com/auburncleat/auburncleat/internal/state/learn"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

func (e *entry) kind() learn.Kind {
	return learn.Kind{Organisation: e.job.Organisation, Profile: e.job.Profile}
}

// recordAttempt records the end of an attempt in the health of the workers and, after a success, in the estimates of
// run time and memory for this kind of work. It also updates the list of workers that the job avoids.
func (p *Planner) recordAttempt(e *entry, x Ended) {
	at := x.At
	if at.IsZero() {
		at = p.now
	}
	refs := p.workerRefs(x.Workers)
	switch x.Result {
	case ResultDone:
		var ws []string
		for _, s := range e.sites {
			ws = append(ws, s.Worker.Name)
		}
		p.health.Succeeded(e.job.ID, ws, at, p.ledger.Len())
		ran := max(at.Sub(e.since), 0)
		p.health.RecordRunTime(ran)
		p.estimator.Ran(e.kind(), e.declaredRunTime(), scale(ran, 1/slowest(e.sites))+e.job.Progress)
		if e.peakMemory > 0 {
			p.estimator.Used(e.kind(), e.job.Shape.Memory, e.peakMemory)
		}
	case ResultFailed:
		p.health.Failed(e.job.ID, refs, at, p.ledger.Len(), p.rackSizes(refs))
	case ResultLost, ResultNoStart:
		p.health.Lost(e.job.ID, refs, at, p.ledger.Len())
	case ResultStopped:
	}
	if x.Result == ResultLost || x.Result == ResultNoStart {
		e.refusedBy = appendNew(e.refusedBy, x.Workers)
	}
	e.refusedBy = appendNew(e.refusedBy, x.Refused)
	e.avoid = appendNew(slices.Clone(p.health.FindFailedWorkers(e.job.ID)), e.refusedBy)
	if 2*len(e.avoid) > p.ledger.Len() {
		e.avoid, e.refusedBy = nil, nil
	}
}

// appendNew appends the workers that are not listed yet.
func appendNew(to, workers []string) []string {
	for _, w := range workers {
		if !slices.Contains(to, w) {
			to = append(to, w)
		}
	}
	return to
}

// RecordCrash records that a worker crashed and lost its work; instance names the lifetime that ended. All work lost in one
// crash is one piece of evidence against the worker.
func (p *Planner) RecordCrash(worker, instance string, at time.Time) {
	p.health.Lost("lifetime "+instance, p.workerRefs([]string{worker}), at, p.ledger.Len())
}

// relaxAvoidance lets a job use the workers that it avoids if it would not fit on the other workers even if these were
// idle.
func (p *Planner) relaxAvoidance(e *entry) {
	if len(e.avoid) == 0 {
		return
	}
	empty := p.openView(e, p.now, func(s *place.Site) place.Resources { return s.Capacity })
	if p.ledger.Fit(place.Search{Shape: e.shape, View: empty}) == nil {
		e.avoid, e.refusedBy = nil, nil
	}
}

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxLongRunningBackoff is shorter, because a long-running job is missed throughout the backoff.
	maxLongRunningBackoff = time.Second
	// maxOverdueBackoff applies once nothing of a submission has run for the idle bound beside room for it.
	maxOverdueBackoff = 500 * time.Millisecond
)

// applyBackoff delays a job after an unsuccessful attempt, and twice as long after each further one in a row. A start as a last
// resort that a worker refused counts as one, as the next would be on the same worker.
func (p *Planner) applyBackoff(e *entry, x Ended) {
	isRefused := e.isLastResort && len(x.Refused) > 0
	isUnsuccessful := x.Result != ResultStopped && x.Result != ResultDone || isRefused
	if !isUnsuccessful || p.disabled[Backoff] {
		e.backoff, e.notBefore = 0, time.Time{}
		return
	}
	limit := maxBackoff
	switch {
	case isRefused:
		limit = maxOverdueBackoff
	case e.job.Lasts:
		limit = maxLongRunningBackoff
	}
	e.backoff = min(max(2*e.backoff, minBackoff), limit)
	e.notBefore = p.now.Add(e.backoff)
	if x.At.After(p.now) {
		e.notBefore = x.At.Add(e.backoff)
	}
}

// retryTime returns when the backoff of a job ends.
func (p *Planner) retryTime(e *entry) time.Time {
	if e.backoff > maxOverdueBackoff && p.now.Before(e.notBefore) && p.isOverdue(e) {
		return e.notBefore.Add(maxOverdueBackoff - e.backoff)
	}
	return e.notBefore
}

// Next returns the earliest time at which another pass may decide differently if nothing else changes, or zero while
// no job is queued.
func (p *Planner) Next(now time.Time) time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if p.queuedTotal == 0 {
		return next
	}
	consider(now.Add(maxPassInterval))
	for _, e := range p.jobs {
		if e.isQueued() {
			consider(e.notBefore)
			consider(e.submission.idleSince.Add(p.idleBound))
			consider(e.expected)
			consider(e.job.Deadline)
		}
	}
	return next
}

// maxPassInterval is the longest time between two passes while jobs are queued.
const maxPassInterval = 5 * time.Second

func (p *Planner) workerRefs(workers []string) []health.WorkerRef {
	var refs []health.WorkerRef
	for _, n := range workers {
		if s := p.ledger.Get(n); s != nil {
			refs = append(refs, health.WorkerRef{Worker: n, Rack: s.Worker.Rack})
		}
	}
	return refs
}

func (p *Planner) rackSizes(refs []health.WorkerRef) map[string]int {
	out := map[string]int{}
	for _, r := range refs {
		out[r.Rack] = len(p.ledger.Get(r.Worker).Rack().Sites)
	}
	return out
}

// refuseIfHopeless refuses a job that failed on too many workers to ever succeed, and reports whether it did.
func (p *Planner) refuseIfHopeless(e *entry) bool {
	why := p.health.RefusalReason(e.job.ID)
	if why == "" {
		return false
	}
	p.health.Forget(e.job.ID, true)
	p.remove(e)
	p.refusals = append(p.refusals, Refusal{Job: e.job.ID, Reason: why, Ran: true})
	return true
}

// declaredRunTime returns the run time declared by the caller, or that of the profile if the caller declared none.
func (e *entry) declaredRunTime() time.Duration {
	if e.job.RunTime > 0 {
		return e.job.RunTime
	}
	return e.profile.RunTime
}

// updateTrust updates the probation state of a site and reports whether its worker is quarantined or avoided.
func (p *Planner) updateTrust(s *place.Site) bool {
	st, _ := p.healthState(s.Worker.Name)
	joined := !p.disabled[Health] && p.health.IsRamping(s.Worker.Name)
	probe := st == health.Probation && !joined
	p.dirty = p.dirty || probe != s.OnProbation || joined != s.Ramping
	s.OnProbation, s.Ramping = probe, joined
	return st == health.Quarantined || s.Worker.Avoided
}

// settledAge is the time after the first pass from which an unknown worker counts as newly joined.
const settledAge = time.Minute

// isSettled reports whether a worker that the planner does not know yet counts as newly joined.
func (p *Planner) isSettled() bool {
	return !p.firstPass.IsZero() && p.now.Sub(p.firstPass) >= settledAge
}
