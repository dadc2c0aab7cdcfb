package sched

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/coordination/once"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// resolveRetry separates the questions to workers that leave a claim unclear.
const resolveRetry = 5 * time.Second

// claim reserves the key for an attempt whose workers have all prepared.
func (r *ownership) claim(ctx context.Context, a *attempt) error {
	return r.s.book.Claim(ctx, r.term, a.job, gang.Attempt{Placement: a.placement}.Workers())
}

// releaseClaim gives back the key of an attempt that never started.
func (r *ownership) releaseClaim(a *attempt) {
	if a.job.IsOnce() {
		r.release(a.job)
	}
}

func (r *ownership) release(j fleet.Job) {
	// Without a claim there is nothing to give back; a claim that stays is resolved by the next owner.
	_ = r.s.book.Release(r.ctx, r.term, j)
}

// yield leaves a job whose key an earlier attempt holds: its end, once known, is the end of this job too.
func (r *ownership) yield(a *attempt, x plan.Ended, claimed once.ErrClaimed) {
	x.At = r.now()
	x.Requeue = false
	_ = r.do(r.ctx, func() {
		delete(r.attempts, a.job.ID)
		r.planner.Ended(x)
		r.isChanged = true
	})
	if claimed.Outcome != nil {
		// The first outcome of the key is kept for this job as well.
		_ = r.s.keeper.PutOutcome(r.ctx, r.term, claimed.Outcome)
		r.notify(a.job.ID)
		return
	}
	if c, ok := r.s.book.Find(a.job.Organisation, a.job.Key); ok {
		r.tasks.Go(func() { r.askUnclear([]once.Claimed{c}) })
	}
}

// resolveClaims decides for each job with an open claim of a former owner whether it may start again.
func (r *ownership) resolveClaims(jobs map[string]fleet.Job) {
	var unclear []once.Claimed
	for _, c := range r.s.book.FindOpen() {
		if _, running := r.attempts[c.Job]; running {
			continue
		}
		j, kept := jobs[c.Job]
		if !r.resolveClaim(c, j, kept) {
			delete(jobs, c.Job)
			unclear = append(unclear, c)
		}
	}
	if len(unclear) > 0 {
		r.tasks.Go(func() { r.askUnclear(unclear) })
	}
}

// resolveClaim reports whether the claim's attempt is known not to have run, after which its key is free.
func (r *ownership) resolveClaim(c once.Claimed, j fleet.Job, kept bool) bool {
	x, err := r.s.book.Resolve(r.ctx, r.term, c)
	if err != nil || x.Finding != once.NotRun {
		return false
	}
	if !kept {
		j = fleet.Job{ID: c.Job, Organisation: c.Organisation, Key: c.Key}
	}
	j.Attempt = c.Attempt
	r.release(j)
	return true
}

// askUnclear goes on asking until each claim is settled: as not run, or by the gang that was adopted.
func (r *ownership) askUnclear(cs []once.Claimed) {
	for len(cs) > 0 && r.s.clock.Sleep(r.ctx, resolveRetry) == nil {
		var left []once.Claimed
		for _, c := range cs {
			if !r.settleClaim(c) {
				left = append(left, c)
			}
		}
		cs = left
	}
}

func (r *ownership) settleClaim(c once.Claimed) bool {
	running := false
	if r.do(r.ctx, func() { _, running = r.attempts[c.Job] }) != nil || running {
		return true
	}
	if _, ended := r.s.outcome(c.Job); ended {
		return true
	}
	j, kept := r.keptJobs()[c.Job]
	if !r.resolveClaim(c, j, kept) {
		return false
	}
	if kept {
		_ = r.do(r.ctx, func() { r.queue(j) })
	}
	return true
}

// keptJobs returns the accepted jobs that this host and its peers hold and that have not ended.
func (r *ownership) keptJobs() map[string]fleet.Job {
	js, err := r.s.keeper.Kept(r.ctx)
	if err != nil {
		r.s.scope.Counter("sched_kept_failed").Inc(1)
	}
	out := map[string]fleet.Job{}
	for _, j := range js {
		if _, ended := r.s.outcome(j.ID); !ended {
			out[j.ID] = j
		}
	}
	return out
}

// queueRest queues the jobs that do not run.
func (r *ownership) queueRest(jobs map[string]fleet.Job) {
	for _, j := range jobs {
		r.queue(j)
	}
}

func (r *ownership) queue(j fleet.Job) {
	if _, err := r.planner.Status(j.ID); err == nil {
		return
	}
	j.Attempt = int(r.term.Counter) << attemptBits
	// The refusal ends the job, which is all that can be done for it here.
	_ = r.admit(j)
}
