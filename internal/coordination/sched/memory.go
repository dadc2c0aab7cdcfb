package sched

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
)

const throttleTimeout = 2 * time.Second

// recordMemoryUse passes the memory use of a worker's tasks to the planner; the values lag behind the real use.
func (r *ownership) recordMemoryUse(p fleet.Report) {
	for _, t := range p.Tasks {
		ref := t.Task.Ref
		a, ok := r.attempts[ref.Job]
		if !ok || a.job.Attempt != ref.Attempt || t.Memory == 0 {
			continue
		}
		r.planner.RecordUsage(plan.Usage{Job: ref.Job, Task: ref.Task, Worker: p.Worker.Name, Memory: t.Memory})
	}
}

// throttle limits one task. A failed command is not repeated, since the planner decides anew with the next report.
func (r *ownership) throttle(x plan.Throttle) {
	a, ok := r.attempts[x.Job]
	addr, known := r.s.Resolve(x.Worker)
	if !ok || !known {
		return
	}
	ref := fleet.TaskRef{Job: x.Job, Attempt: a.job.Attempt, Task: x.Task}
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, throttleTimeout)
		defer cancel()
		if err := r.s.workers.Throttle(ctx, addr, r.term, ref, x.Share); err != nil {
			r.s.scope.Counter("sched_throttles_failed").Inc(1)
		}
	})
}
