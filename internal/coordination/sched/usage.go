package sched

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

const throttleBound = 2 * time.Second

// measure tells the planner what memory the tasks of a worker use; the figures lag.
func (r *ownership) measure(p fleet.Report) {
	for _, t := range p.Tasks {
		ref := t.Task.Ref
		a, ok := r.attempts[ref.Job]
		if !ok || a.job.Attempt != ref.Attempt || t.Memory == 0 {
			continue
		}
		r.planner.RecordUsage(plan.Usage{Job: ref.Job, Task: ref.Task, Worker: p.Worker.Name, Memory: t.Memory})
	}
}

// throttle limits one task; a command that fails is decided again with the next report.
func (r *ownership) throttle(x plan.Throttle) {
	a, ok := r.attempts[x.Job]
	addr, known := r.s.Resolve(x.Worker)
	if !ok || !known {
		return
	}
	ref := fleet.TaskRef{Job: x.Job, Attempt: a.job.Attempt, Task: x.Task}
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, throttleBound)
		defer cancel()
		if err := r.s.workers.Throttle(ctx, addr, r.term, ref, x.Share); err != nil {
			r.s.scope.Counter("sched_throttles_failed").Inc(1)
		}
	})
}
