package gang

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// Answer tells where the answer of one task waits, with its length in bytes and its xxhash64 digest.
type Answer struct {
	Task   int
	Worker string
	Bytes  int64
	Digest uint64
}

// Ended is the end of an attempt that was started.
type Ended struct {
	Result plan.Result
	// Workers that failed or were lost.
	Workers []string
	// Progress is the least run time that all tasks have saved.
	Progress time.Duration
	At       time.Time
	Reason   string
	// Answers of all tasks in order, when Result is ResultDone.
	Answers []Answer
	// Unsure names workers that did not confirm the stop; their tasks end when their leases lapse.
	Unsure []string
}

// Watch follows a started attempt until it ends; when one member fails or is lost it stops the others.
//
// The other members are sent their stop within Bounds.StopWithin of the failure. Members that cannot be reached end
// when their workers' leases lapse. An error means that ctx ended or the owner's lease lapsed, not that the gang did.
func (g *Gangs) Watch(ctx context.Context, a Attempt) (Ended, error) {
	r, err := g.runOf(a)
	if err != nil {
		return Ended{}, err
	}
	for {
		if err := g.poll(ctx, r); err != nil {
			return Ended{}, fmt.Errorf("watch job %s: %w", a.Job.ID, err)
		}
		if e, ok := r.verdict(g.clock.Now()); ok {
			return g.finish(ctx, r, e), nil
		}
		select {
		case <-ctx.Done():
			return Ended{}, fmt.Errorf("watch job %s: %w", a.Job.ID, ctx.Err())
		case <-r.over:
			return r.end(Ended{}), nil
		case <-r.wake:
		case <-g.clock.After(g.pollWait(r)):
		}
	}
}

// pollWait returns how long the next question to a worker of the run can wait.
func (g *Gangs) pollWait(r *run) time.Duration {
	now := g.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := g.bounds.MaxPoll
	for name, w := range r.workers {
		if r.isFinished(name) {
			continue
		}
		wait = min(wait, w.asked.Add(g.interval(r, w, now)).Sub(now))
	}
	return max(wait, time.Millisecond)
}

// interval grows with the age of the run, so that the time to notice its end stays a small part of its run time.
func (g *Gangs) interval(r *run, w *workerView, now time.Time) time.Duration {
	if w.misses > 0 {
		return g.bounds.Pause
	}
	return min(max(r.age(now)/pollShare, g.bounds.MinPoll), g.bounds.MaxPoll)
}

// poll asks the workers whose last report is too old.
func (g *Gangs) poll(ctx context.Context, r *run) error {
	if err := g.check(); err != nil && !g.off.check {
		return fmt.Errorf("%w: %w", ErrLeaseLapsed, err)
	}
	due := g.due(r)
	errs := each(due, func(p part) error {
		return g.look(ctx, r.attempt.Term, p)
	})
	for i, err := range errs {
		if err == nil {
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if isFinal(err) {
			return err
		}
		r.miss(due[i].worker, g.clock.Now(), g.bounds.Misses)
	}
	return nil
}

func (g *Gangs) due(r *run) []part {
	now := g.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return nil
	}
	var ps []part
	for _, p := range r.parts {
		w := r.workers[p.worker]
		if w.lost || r.isFinished(p.worker) || now.Before(w.asked.Add(g.interval(r, w, now))) {
			continue
		}
		ps = append(ps, p)
	}
	return ps
}

func (r *run) miss(worker string, at time.Time, limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workers[worker]
	w.asked = at
	w.misses++
	w.lost = w.lost || w.misses >= limit
}

// isFinished reports whether all tasks of a worker are done; the caller holds the lock.
func (r *run) isFinished(worker string) bool {
	for i := range r.tasks {
		if r.tasks[i].worker == worker && r.tasks[i].state != fleet.TaskDone {
			return false
		}
	}
	return true
}

// verdict tells whether the run has ended by itself and how.
func (r *run) verdict(now time.Time) (Ended, bool) {
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
		e.Workers = sorted(failed)
	case len(lost) > 0:
		e.Result = plan.ResultLost
		e.Workers = sorted(lost)
		e.Reason = "worker lost or its lease lapsed"
	default:
		return e, false
	}
	return e, true
}

// answers returns where the answers are; the caller holds the lock.
func (r *run) answers() []Answer {
	as := make([]Answer, len(r.tasks))
	for i, t := range r.tasks {
		as[i] = Answer{Task: i, Worker: t.worker, Bytes: t.bytes, Digest: t.digest}
	}
	return as
}

// finish ends a run; unless it is done, its other members are stopped first.
func (g *Gangs) finish(ctx context.Context, r *run, e Ended) Ended {
	if e.Result == plan.ResultDone {
		return r.end(e)
	}
	g.stats.broken.Inc(1)
	g.note(events.JobStopped, r.attempt.Job, e.Workers[0], e.Reason)
	if !g.off.stop {
		e.Unsure = g.halt(ctx, r)
	}
	g.dropRun(r)
	return r.end(e)
}

// halt stops all members without a checkpoint and returns the workers that did not confirm it.
func (g *Gangs) halt(ctx context.Context, r *run) []string {
	c, cancel := g.detached(ctx)
	defer cancel()
	errs := each(r.parts, func(p part) error {
		_, err := g.undo(c, r.attempt, p)
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
	return sorted(out)
}
