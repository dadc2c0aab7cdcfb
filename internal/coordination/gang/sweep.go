package gang

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// adoptRun follows a run that another owner started; its next question is due at once.
func (g *Gangs) adoptRun(a Attempt, ps []part) {
	r := g.addRun(a, ps)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		w.asked = r.added.Add(-g.bounds.MaxPoll)
	}
}

func (g *Gangs) clearOpen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = map[runKey]bool{}
}

func (g *Gangs) keepOpen(f Found) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[runKey{job: f.Attempt.Job.ID, attempt: f.Attempt.Job.Attempt}] = true
}

// Sweep stops the tasks in a worker's report that belong to no live attempt, and returns the number of those forgotten.
//
// Such tasks stay behind when a worker did not answer an abort. Those that ran are forgotten only once their outcome is
// kept (WithSettled), since they are the evidence that they ran. A new owner calls Adopt first.
func (g *Gangs) Sweep(ctx context.Context, t fleet.Term, worker string, rep fleet.Report) (int, error) {
	addr, known := g.resolve(worker)
	if !known {
		return 0, fmt.Errorf("sweep worker %s without an address: %w", worker, ErrPlacementInvalid)
	}
	active, ended := g.strays(rep)
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

// strays returns the tasks to stop and those to forget.
func (g *Gangs) strays(rep fleet.Report) (active, ended []fleet.TaskRef) {
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
		if !tr.Started || g.settled(ref) {
			ended = append(ended, ref)
		}
	}
	return active, ended
}

// Live returns the number of attempts that are followed now.
func (g *Gangs) Live() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs)
}

// age returns how long the run has been going at the given time.
func (r *run) age(now time.Time) time.Duration {
	return now.Sub(r.added)
}
