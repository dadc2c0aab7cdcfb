package gang

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// Answer is the location of the answer of one task, with its length in bytes and xxhash64 digest.
type Answer struct {
	Task   int
	Worker string
	Bytes  int64
	Digest uint64
}

// Ended describes how a started attempt ended.
type Ended struct {
	Result plan.Result
	// Workers names the workers that failed or were lost.
	Workers []string
	// Progress is the run time saved by the task that is furthest behind.
	Progress time.Duration
	At       time.Time
	Reason   string
	// Answers holds the answer of each task in order if Result is ResultDone.
	Answers []Answer
	// Unconfirmed names the workers that did not confirm the stop; their tasks end when the workers' leases expire.
	Unconfirmed []string
}

// Watch polls a started attempt until it ends. If one member fails or is lost, it stops the others.
//
// The stop is sent to the other members within Bounds.MaxStopDelay of the failure. Members that cannot be reached end when
// their workers' leases expire. An error means that ctx ended or the owner's lease expired; the gang may still be running.
func (g *Gangs) Watch(ctx context.Context, a Attempt) (Ended, error) {
	r, err := g.findOrAddRun(a)
	if err != nil {
		return Ended{}, err
	}
	for {
		if err := g.poll(ctx, r); err != nil {
			return Ended{}, fmt.Errorf("watch job %s: %w", a.Job.ID, err)
		}
		if e, ok := r.evaluate(g.clock.Now()); ok {
			return g.finish(ctx, r, e), nil
		}
		select {
		case <-ctx.Done():
			return Ended{}, fmt.Errorf("watch job %s: %w", a.Job.ID, ctx.Err())
		case <-r.done:
			return r.end(Ended{}), nil
		case <-r.wake:
		case <-g.clock.After(g.nextPollDelay(r)):
		}
	}
}

// nextPollDelay returns the time until the next worker of the run is due for a poll.
func (g *Gangs) nextPollDelay(r *run) time.Duration {
	now := g.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := g.bounds.MaxPollInterval
	for name, w := range r.workers {
		if r.isFinished(name) {
			continue
		}
		wait = min(wait, w.lastPolled.Add(g.pollInterval(r, w, now)).Sub(now))
	}
	return max(wait, time.Millisecond)
}

// pollInterval returns the polling interval of a worker. It grows with the age of the run, so that the delay in detecting
// the end stays a small fraction of the run time.
func (g *Gangs) pollInterval(r *run, w *workerStatus, now time.Time) time.Duration {
	if w.missedPolls > 0 {
		return g.bounds.RetryDelay
	}
	return min(max(r.age(now)/pollAgeDivisor, g.bounds.MinPollInterval), g.bounds.MaxPollInterval)
}

// poll requests reports from the workers that are due for one.
func (g *Gangs) poll(ctx context.Context, r *run) error {
	if err := g.check(); err != nil && !g.disabled.check {
		return fmt.Errorf("%w: %w", ErrLeaseNotHeld, err)
	}
	due := g.dueParts(r)
	errs := forEachPart(due, func(p part) error {
		return g.refresh(ctx, r.attempt.Term, p)
	})
	for i, err := range errs {
		if err == nil {
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if isPermanent(err) {
			return err
		}
		r.recordMissedPoll(due[i].worker, g.clock.Now(), g.bounds.MaxMissedPolls)
	}
	return nil
}

func (g *Gangs) dueParts(r *run) []part {
	now := g.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return nil
	}
	var ps []part
	for _, p := range r.parts {
		w := r.workers[p.worker]
		if w.lost || r.isFinished(p.worker) || now.Before(w.lastPolled.Add(g.pollInterval(r, w, now))) {
			continue
		}
		ps = append(ps, p)
	}
	return ps
}

func (r *run) recordMissedPoll(worker string, at time.Time, limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workers[worker]
	w.lastPolled = at
	w.missedPolls++
	w.lost = w.lost || w.missedPolls >= limit
}

// isFinished reports whether all tasks of a worker are done. The caller holds r.mu.
func (r *run) isFinished(worker string) bool {
	for i := range r.tasks {
		if r.tasks[i].worker == worker && r.tasks[i].state != fleet.TaskDone {
			return false
		}
	}
	return true
}

// evaluate reports whether the run has ended without a stop request, and how.
func (r *run) evaluate(now time.Time) (Ended, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return Ended{}, false
	}
	e := Ended{At: now, Progress: r.attempt.Job.Progress}
	done := 0
	var failed, lost []string
	for _, t := range r.tasks {
		switch {
		case t.state == fleet.TaskDone && !t.missing:
			done++
		case t.state == fleet.TaskFailed:
			failed = append(failed, t.worker)
			e.Reason = "task failed: " + t.err
		case t.missing || t.state == fleet.TaskStopped:
			lost = append(lost, t.worker)
		case r.workers[t.worker].lost:
			lost = append(lost, t.worker)
		}
	}
	switch {
	case done == len(r.tasks):
		e.Result = plan.ResultDone
		e.Progress = r.attempt.Job.RunTime
		e.Answers = r.answers()
	case len(failed) > 0:
		e.Result = plan.ResultFailed
		e.Workers = sortedUnique(failed)
	case len(lost) > 0:
		e.Result = plan.ResultLost
		e.Workers = sortedUnique(lost)
		e.Reason = "worker lost or its lease lapsed"
	default:
		return e, false
	}
	return e, true
}

// answers returns the locations of all answers in task order. The caller holds r.mu.
func (r *run) answers() []Answer {
	as := make([]Answer, len(r.tasks))
	for i, t := range r.tasks {
		as[i] = Answer{Task: i, Worker: t.worker, Bytes: t.bytes, Digest: t.digest}
	}
	return as
}

// finish ends a run. If the run was not successful, all its members are stopped first.
func (g *Gangs) finish(ctx context.Context, r *run, e Ended) Ended {
	if e.Result == plan.ResultDone {
		return r.end(e)
	}
	g.stats.broken.Inc(1)
	g.addEvent(events.JobStopped, r.attempt.Job, e.Workers[0], e.Reason)
	if !g.disabled.stop {
		e.Unconfirmed = g.stopAllParts(ctx, r)
	}
	g.removeRun(r)
	return r.end(e)
}

// stopAllParts stops all members without a grace period and returns the workers that did not confirm the stop.
func (g *Gangs) stopAllParts(ctx context.Context, r *run) []string {
	c, cancel := g.detachedContext(ctx)
	defer cancel()
	errs := forEachPart(r.parts, func(p part) error {
		_, err := g.stopAndInspect(c, r.attempt, p)
		return err
	})
	return failedWorkers(r.parts, errs)
}

func failedWorkers(ps []part, errs []error) []string {
	var out []string
	for i, err := range errs {
		if err != nil {
			out = append(out, ps[i].worker)
		}
	}
	return sortedUnique(out)
}
