package sched

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// claimRetryInterval is the pause between attempts to resolve a claim when the workers' answers were inconclusive.
const claimRetryInterval = 5 * time.Second

// claim reserves the idempotency key for an attempt whose workers have all prepared.
func (r *ownership) claim(ctx context.Context, a *attempt) error {
	return r.s.ledger.Claim(ctx, r.term, a.job, gang.Attempt{Placement: a.placement}.Workers())
}

// releaseClaim releases the idempotency key of an attempt that never started.
func (r *ownership) releaseClaim(a *attempt) {
	if a.job.IsOnce() {
		r.releaseKey(a.job)
	}
}

func (r *ownership) releaseKey(j fleet.Job) {
	// The error is ignored: either the key was not claimed, or the next owner resolves the claim.
	_ = r.s.ledger.Release(r.ctx, r.term, j)
}

// yieldToClaim ends an attempt whose idempotency key is claimed by an earlier attempt. Once the outcome of the earlier
// attempt is known, it is also the outcome of the job of this attempt.
func (r *ownership) yieldToClaim(a *attempt, x plan.Ended, claimed dedup.ErrClaimed) {
	x.At = r.now()
	x.Requeue = false
	_ = r.runInLoop(r.ctx, func() {
		delete(r.attempts, a.job.ID)
		r.planner.Ended(x)
		r.isChanged = true
	})
	if claimed.Outcome != nil {
		// The first outcome stored for the key is also the outcome of this job.
		_ = r.s.replica.PutOutcome(r.ctx, r.term, claimed.Outcome)
		r.notifyWaiters(a.job.ID)
		return
	}
	if c, ok := r.s.ledger.Find(a.job.Organisation, a.job.Key); ok {
		r.tasks.Go(func() { r.retryClaims([]dedup.Claimed{c}) })
	}
}

// resolveClaims decides for each open claim of a former owner whether its job may start again. Jobs with a claim that
// cannot be resolved yet are removed from jobs and retried in the background.
func (r *ownership) resolveClaims(jobs map[string]fleet.Job) {
	var unresolved []dedup.Claimed
	for _, c := range r.s.ledger.FindOpen() {
		if _, isRunning := r.attempts[c.Job]; isRunning {
			continue
		}
		j, isKept := jobs[c.Job]
		if !r.resolveClaim(c, j, isKept) {
			delete(jobs, c.Job)
			unresolved = append(unresolved, c)
		}
	}
	if len(unresolved) > 0 {
		r.tasks.Go(func() { r.retryClaims(unresolved) })
	}
}

// resolveClaim reports whether the claimed attempt is known not to have run, and releases its key in that case.
func (r *ownership) resolveClaim(c dedup.Claimed, j fleet.Job, isKept bool) bool {
	x, err := r.s.ledger.Resolve(r.ctx, r.term, c)
	if err != nil || x.Finding != dedup.NotRun {
		return false
	}
	if !isKept {
		j = fleet.Job{ID: c.Job, Organisation: c.Organisation, Key: c.Key}
	}
	j.Attempt = c.Attempt
	r.releaseKey(j)
	return true
}

// retryClaims tries to settle the claims until none is left. A claim is settled when its attempt is known not to have
// run, when the job has a current attempt, or when the job has an outcome.
func (r *ownership) retryClaims(claims []dedup.Claimed) {
	for len(claims) > 0 && r.s.clock.Sleep(r.ctx, claimRetryInterval) == nil {
		var unresolved []dedup.Claimed
		for _, c := range claims {
			if !r.settleClaim(c) {
				unresolved = append(unresolved, c)
			}
		}
		claims = unresolved
	}
}

func (r *ownership) settleClaim(c dedup.Claimed) bool {
	isRunning := false
	if r.runInLoop(r.ctx, func() { _, isRunning = r.attempts[c.Job] }) != nil || isRunning {
		return true
	}
	if _, hasEnded := r.s.outcome(c.Job); hasEnded {
		return true
	}
	j, isKept := r.keptJobs()[c.Job]
	if !r.resolveClaim(c, j, isKept) {
		return false
	}
	if isKept {
		_ = r.runInLoop(r.ctx, func() { r.queueJob(j) })
	}
	return true
}

// keptJobs returns the accepted jobs, held by this host or its peers, that have not ended.
func (r *ownership) keptJobs() map[string]fleet.Job {
	js, err := r.s.replica.Kept(r.ctx)
	if err != nil {
		r.s.scope.Counter("sched_kept_failed").Inc(1)
	}
	out := map[string]fleet.Job{}
	for _, j := range js {
		if _, hasEnded := r.s.outcome(j.ID); !hasEnded {
			out[j.ID] = j
		}
	}
	return out
}

// queueAll queues the jobs that are not running.
func (r *ownership) queueAll(jobs map[string]fleet.Job) {
	for _, j := range jobs {
		r.queueJob(j)
	}
}

func (r *ownership) queueJob(j fleet.Job) {
	if _, err := r.planner.Status(j.ID); err == nil {
		return
	}
	j.Attempt = int(r.term.Counter) << attemptBits
	// admit ends a refused job with an outcome, so that the error needs no further handling.
	_ = r.admit(j)
}
