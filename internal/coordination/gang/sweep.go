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

// Sweep stops and forgets the tasks in a worker's report that belong to no live attempt, and returns their number.
//
// Such tasks stay behind when a worker did not answer an abort. A new owner calls Adopt first.
func (g *Gangs) Sweep(ctx context.Context, t fleet.Term, worker string, rep fleet.Report) (int, error) {
	addr, known := g.resolve(worker)
	if !known {
		return 0, fmt.Errorf("sweep worker %s without an address: %w", worker, ErrPlacementInvalid)
	}
	p := part{worker: worker, addr: addr, refs: g.strays(rep)}
	if len(p.refs) == 0 {
		return 0, nil
	}
	if err := g.stopPart(ctx, t, p, 0); err != nil {
		return 0, fmt.Errorf("sweep worker %s: %w", worker, err)
	}
	if err := g.forgetPart(ctx, t, p); err != nil {
		return 0, fmt.Errorf("sweep worker %s: %w", worker, err)
	}
	g.stats.swept.Inc(int64(len(p.refs)))
	return len(p.refs), nil
}

func (g *Gangs) strays(rep fleet.Report) []fleet.TaskRef {
	g.mu.Lock()
	defer g.mu.Unlock()
	var refs []fleet.TaskRef
	for _, tr := range rep.Tasks {
		k := runKey{job: tr.Task.Ref.Job, attempt: tr.Task.Ref.Attempt}
		if g.runs[k] == nil && !g.open[k] {
			refs = append(refs, tr.Task.Ref)
		}
	}
	return refs
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
