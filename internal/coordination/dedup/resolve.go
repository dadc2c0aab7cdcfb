package dedup

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Finding is what the workers of a claim prove about its attempt.
type Finding string

// Findings on a claimed attempt.
const (
	// NotRun means that no task ran or ever will; the key may be released and the job started again.
	NotRun Finding = "NotRun"
	// Ran means that at least one task has started; gangs that run completely are adopted.
	Ran Finding = "Ran"
	// Unclear means that a worker does not answer, or that its record of tasks may not reach back to the claim.
	Unclear Finding = "Unclear"
)

// Resolution is the result of Resolve.
type Resolution struct {
	Finding Finding
	// Tasks holds the reports of the attempt's tasks, by task.
	Tasks []fleet.TaskReport
	// Silent names the workers that prove nothing.
	Silent []string
	// Why is the reason why one of the Silent workers proves nothing.
	Why string
}

// Resolve inspects the workers of a claim to find out whether its attempt ran. It calls them under the new
// owner's term, which fences starts of older owners.
//
// A worker without any of the tasks proves that they did not run only if its record of tasks reaches back to the claim.
func (l *Ledger) Resolve(ctx context.Context, t fleet.Term, c Claimed) (Resolution, error) {
	if err := l.check(); err != nil {
		return Resolution{}, fmt.Errorf("resolve claim of job %s: %w", c.Job, err)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	r := Resolution{Finding: NotRun}
	ran := false
	for _, w := range c.Workers {
		wg.Go(func() {
			ts, why := l.inspect(ctx, t, w, c)
			mu.Lock()
			defer mu.Unlock()
			r.Tasks = append(r.Tasks, ts...)
			for _, x := range ts {
				ran = ran || x.Started
			}
			if why != "" {
				r.Silent = append(r.Silent, w)
				r.Why = why
			}
		})
	}
	wg.Wait()
	sort.Strings(r.Silent)
	sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].Task.Ref.Task < r.Tasks[j].Task.Ref.Task })
	switch {
	case ran:
		r.Finding = Ran
	case len(r.Silent) > 0:
		r.Finding = Unclear
	}
	return r, nil
}

// inspect returns one worker's reports of a claimed attempt, or the reason why the worker proves nothing.
func (l *Ledger) inspect(ctx context.Context, t fleet.Term, worker string, c Claimed) ([]fleet.TaskReport, string) {
	addr, ok := l.workerAddr(worker)
	if !ok {
		return nil, fmt.Sprintf("worker %s is not known", worker)
	}
	x, cancel := context.WithTimeout(ctx, l.bounds.Call)
	defer cancel()
	rep, err := l.workers.Inspect(x, addr, t)
	if err != nil {
		return nil, fmt.Sprintf("worker %s: %v", worker, err)
	}
	var ts []fleet.TaskReport
	for _, r := range rep.Tasks {
		if r.Task.Ref.Job == c.Job && r.Task.Ref.Attempt == c.Attempt {
			ts = append(ts, r)
		}
	}
	if len(ts) == 0 && (rep.Since.IsZero() || !rep.Since.Add(l.bounds.Skew).Before(c.At)) {
		return nil, fmt.Sprintf("worker %s may have lost its record of tasks since the claim", worker)
	}
	return ts, ""
}
