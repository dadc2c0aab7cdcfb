package plan

import (
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

// WithIdleBound sets how long a submission may have nothing running while there is room for two of a queued job of it. After
// that, no rule that keeps room for other work holds the job back. Zero means no bound.
func WithIdleBound(d time.Duration) Option {
	return func(p *Planner) { p.idleBound = d }
}

// maxStartTime is how long a start without outcome counts as work of its submission.
const maxStartTime = time.Second

// steadyPeriod is how long room stands free that other jobs wait for, before an overdue job may have it. The stops for which they
// wait take less, unless they hang.
const steadyPeriod = 500 * time.Millisecond

// submissionKeep is how long a submission without jobs is kept, as jobs that leave a full queue are submitted again.
const submissionKeep = time.Second

// submission holds the jobs that were submitted together.
type submission struct {
	key  string
	jobs int
	// most is the highest number of jobs that it had.
	most int
	// idleSince is when one of its jobs was last at work, or when the first was submitted.
	idleSince time.Time
	// emptySince is when its last job was deleted.
	emptySince time.Time
}

// emptied is a submission that lost its last job.
type emptied struct {
	submission *submission
	at         time.Time
}

// submissionKey returns the name of the submission that a job is part of. A job that lasts counts by itself, as it is missed
// whatever else of its submission runs.
func submissionKey(j fleet.Job) string {
	if j.Submission != "" && !j.Lasts {
		return j.Submission
	}
	return j.ID
}

// addJob adds a job to the table and to its submission.
func (p *Planner) addJob(e *entry) {
	p.jobs[e.job.ID] = e
	k := submissionKey(e.job)
	if p.submissions[k] == nil {
		p.submissions[k] = &submission{key: k, idleSince: p.now}
		if p.now.IsZero() {
			p.submissions[k].idleSince = e.job.Submitted
		}
	}
	e.submission = p.submissions[k]
	e.submission.jobs++
	e.submission.most = max(e.submission.most, e.submission.jobs)
}

// deleteJob removes a job from the table and from its submission.
func (p *Planner) deleteJob(e *entry) {
	delete(p.jobs, e.job.ID)
	x := e.submission
	if x.jobs--; x.jobs == 0 {
		x.emptySince = p.now
		p.emptied = append(p.emptied, emptied{submission: x, at: p.now})
	}
}

// dropSubmissions deletes the submissions that have had no job for submissionKeep.
func (p *Planner) dropSubmissions() {
	n := 0
	for ; n < len(p.emptied) && p.now.Sub(p.emptied[n].at) >= submissionKeep; n++ {
		x := p.emptied[n]
		if x.submission.jobs == 0 && x.submission.emptySince.Equal(x.at) {
			delete(p.submissions, x.submission.key)
		}
	}
	p.emptied = slices.Delete(p.emptied, 0, n)
}

// isAtWork reports whether a job runs, on workers that stay and answer, and is not to be stopped.
func (e *entry) isAtWork() bool {
	isLeaving := func(s *place.Site) bool { return s.Worker.Leaving }
	return e.state == StateRunning && e.stopReason == "" && !slices.ContainsFunc(e.sites, isLeaving)
}

// noteWork records whether a job ends the idle time of its submission, or may do so soon.
func (p *Planner) noteWork(e *entry) {
	switch {
	case e.isAtWork():
		e.submission.idleSince = p.now
	case e.state == StateStarting && p.now.Sub(e.since) < maxStartTime:
		p.pass.isStarting[e.submission] = true
	}
}

// hasIdled reports whether the submission of a queued job has been idle for the idle bound.
func (p *Planner) hasIdled(e *entry) bool {
	return p.idleBound > 0 && !p.pass.isStarting[e.submission] && p.now.Sub(e.submission.idleSince) >= p.idleBound
}

// isOverdue reports whether the submission of a queued job has been idle for the idle bound while there is room for two of the
// job.
func (p *Planner) isOverdue(e *entry) bool {
	if !p.hasIdled(e) {
		return false
	}
	k := e.roomQuery()
	if p.pass.isTight[k] {
		return false
	}
	p.pass.isTight[k] = !p.fitsTwice(e, p.unused(), freeForOverdue)
	return !p.pass.isTight[k]
}

// IdleSince returns since when the submission of a queued job has had nothing running, or zero for a job that the planner does
// not have.
func (p *Planner) IdleSince(id string) time.Time {
	e, ok := p.jobs[id]
	if !ok {
		return time.Time{}
	}
	return e.submission.idleSince
}

// freeForOverdue returns the room of a site that no running job and no claim of a guarantee takes, if no other job waits for it or
// it has stood free for steadyPeriod.
func freeForOverdue(s *place.Site) place.Resources {
	return s.Free().Max(s.SteadilyUnused().Min(s.FreeForClaim()))
}

// fitsTwice reports whether there is room for two of a job in the view, whatever is believed of the health of the workers. A limit
// of tasks per worker has to leave room for one.
func (p *Planner) fitsTwice(e *entry, us []unusedRoom, v place.View) bool {
	once, twice := 0, 0
	for i := range us {
		if !e.need.IsWithin(us[i].room) {
			continue
		}
		s := us[i].site
		n := p.lastResortRoom(e, s, v).Holds(e.need)
		if e.shape.Adjacent == fleet.LevelWorker {
			n -= n % e.shape.Tasks
		}
		if n == 0 {
			continue
		}
		left := p.tasksLeft(e, s)
		if left == 0 {
			continue
		}
		once += min(n, left)
		twice += n
		if once >= e.shape.Tasks && twice >= 2*e.shape.Tasks {
			return true
		}
	}
	return false
}

// FitsTwice reports whether the workers have room for two of a queued job beside what runs, whatever is kept there for other
// work and whatever is believed of their health.
func (p *Planner) FitsTwice(id string) bool {
	e, ok := p.jobs[id]
	return ok && p.fitsTwice(e, p.findUnused(), (*place.Site).FreeForClaim)
}

// lastResortRoom returns the room of a site in the view, beside guarantees, if the job may use its worker.
func (p *Planner) lastResortRoom(e *entry, s *place.Site, v place.View) place.Resources {
	if s.Worker.Leaving || s.Stopped || !s.StopFrom.IsZero() || !p.mayUse(e, s) {
		return place.Resources{}
	}
	return besideGuarantees(e, s, v(s))
}

// besideGuarantees returns the part of the room of a site that a job may use beside guarantees.
func besideGuarantees(e *entry, s *place.Site, room place.Resources) place.Resources {
	if e.isPreemptible {
		return room
	}
	return room.Min(s.Uncommitted())
}

// startOverdue starts an overdue job outside of its guarantee and reports whether there is room for it.
func (p *Planner) startOverdue(e *entry, d *Decisions) bool {
	if !p.isOverdue(e) || p.exceedsQuota(e) {
		return false
	}
	sites := p.findLastResort(e)
	if sites == nil {
		p.pass.isTight[e.roomQuery()] = true
		return false
	}
	p.withdrawClaim(e)
	p.startOutside(e, sites, "as its submission has nothing running beside free room", d)
	e.isLastResort = true
	return true
}

// findLastResort looks for room for an overdue job without regard to reservations for blocked gangs and adjacency. If there is
// none that nothing waits for, it takes room that stands free while other jobs wait for more, and at last disregards the health of the
// workers and the job's own record with them.
func (p *Planner) findLastResort(e *entry) []*place.Site {
	end := p.now.Add(p.runTime(e))
	for _, v := range []place.View{
		p.openView(e, end, func(s *place.Site) place.Resources { return besideGuarantees(e, s, s.Free()) }),
		p.openView(e, end, func(s *place.Site) place.Resources { return besideGuarantees(e, s, freeForOverdue(s)) }),
		func(s *place.Site) place.Resources {
			return p.limitPerWorker(e, s, p.lastResortRoom(e, s, freeForOverdue))
		},
	} {
		q := place.Search{Shape: e.shape, Targets: p.scoringTargets(), View: v}
		if to := p.ledger.Fit(q); to != nil {
			return to
		}
		q.Shape.Adjacent = fleet.LevelDomain
		if to := p.ledger.Fit(q); e.shape.Adjacent == fleet.LevelRack && to != nil {
			return to
		}
	}
	return nil
}
