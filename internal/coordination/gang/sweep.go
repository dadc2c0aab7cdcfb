package gang

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// adoptRun tracks an attempt that a former owner started; its workers are due for a poll immediately.
func (g *Gangs) adoptRun(a Attempt, ps []part) {
	r := g.addRun(a, ps)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		w.lastPolled = r.since.Add(-g.bounds.MaxPollInterval)
	}
}

func (g *Gangs) clearOpen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = map[runKey]bool{}
}

func (g *Gangs) addOpen(f ReportedAttempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[runKey{job: f.Attempt.Job.ID, attempt: f.Attempt.Job.Attempt}] = true
}

// Sweep stops and deletes the orphaned tasks in a worker's report and returns the number of deleted tasks. A task is
// orphaned if it belongs to no tracked attempt.
//
// Tasks become orphaned when a worker does not respond to an abort. A started task is deleted only after the outcome of
// its job is stored (WithOutcomeStored), because until then the task on the worker is the evidence that it ran. A new
// owner has to call Adopt before Sweep.
func (g *Gangs) Sweep(ctx context.Context, t fleet.Term, worker string, rep fleet.Report) (int, error) {
	addr, known := g.resolve(worker)
	if !known {
		return 0, fmt.Errorf("sweep worker %s: address is unknown: %w", worker, ErrPlacementInvalid)
	}
	active, ended := g.orphans(rep)
	if len(active) > 0 {
		if err := g.stopPart(ctx, t, part{worker: worker, addr: addr, refs: active}, 0); err != nil {
			return 0, fmt.Errorf("sweep worker %s: %w", worker, err)
		}
	}
	if len(ended) == 0 {
		return 0, nil
	}
	if err := g.forgetPart(ctx, t, part{worker: worker, addr: addr, refs: ended}); err != nil {
		return 0, fmt.Errorf("sweep worker %s: %w", worker, err)
	}
	g.stats.swept.Inc(int64(len(ended)))
	return len(ended), nil
}

// orphans returns the orphaned tasks of a report that have to be stopped, and those that can be deleted.
func (g *Gangs) orphans(rep fleet.Report) (active, ended []fleet.TaskRef) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, tr := range rep.Tasks {
		ref := tr.Task.Ref
		k := runKey{job: ref.Job, attempt: ref.Attempt}
		if g.runs[k] != nil || g.open[k] {
			continue
		}
		if isActive(tr.State) {
			active = append(active, ref)
		}
		if !tr.Started || g.isOutcomeStored(ref) {
			ended = append(ended, ref)
		}
	}
	return active, ended
}

// RunCount returns the number of tracked attempts.
func (g *Gangs) RunCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs)
}

// age returns the time since the start of the run.
func (r *run) age(now time.Time) time.Duration {
	return now.Sub(r.since)
}
