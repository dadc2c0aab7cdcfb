package once

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Finding says what the workers of a claim know of it.
type Finding string

// Findings on a claimed attempt.
const (
	// NotRun means that no task ran or ever will; the job may be started anew under its claim after Release.
	NotRun Finding = "NotRun"
	// Ran means that tasks run or ran; whole gangs are adopted.
	Ran Finding = "Ran"
	// Unclear means that a worker does not answer or has lost its memory since the claim.
	Unclear Finding = "Unclear"
)

// Resolution is what became of a claimed attempt.
type Resolution struct {
	Finding Finding
	// Tasks holds the reports of the attempt's tasks, by task.
	Tasks []fleet.TaskReport
	// Silent names the workers that leave it unclear.
	Silent []string
	// Why says what is unclear.
	Why string
}

// Resolve asks exactly the workers of a claim what became of it, under the new owner's term, which fences older starts off.
//
// A worker that does not know the tasks proves that they did not run only if it has kept its memory since the claim.
func (b *Book) Resolve(ctx context.Context, t fleet.Term, c Claimed) (Resolution, error) {
	if err := b.check(); err != nil {
		return Resolution{}, fmt.Errorf("resolve claim of job %s: %w", c.Job, err)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	r := Resolution{Finding: NotRun}
	ran := false
	for _, w := range c.Workers {
		wg.Go(func() {
			ts, why := b.inspect(ctx, t, w, c)
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

// inspect returns what one worker knows of a claimed attempt, or why that proves nothing.
func (b *Book) inspect(ctx context.Context, t fleet.Term, worker string, c Claimed) ([]fleet.TaskReport, string) {
	addr, ok := b.resolve(worker)
	if !ok {
		return nil, fmt.Sprintf("worker %s is not known", worker)
	}
	x, cancel := context.WithTimeout(ctx, b.bounds.Call)
	defer cancel()
	rep, err := b.workers.Inspect(x, addr, t)
	if err != nil {
		return nil, fmt.Sprintf("worker %s: %v", worker, err)
	}
	var ts []fleet.TaskReport
	for _, r := range rep.Tasks {
		if r.Task.Ref.Job == c.Job && r.Task.Ref.Attempt == c.Attempt {
			ts = append(ts, r)
		}
	}
	if len(ts) == 0 && (rep.Since.IsZero() || !rep.Since.Add(b.bounds.Skew).Before(c.At)) {
		return nil, fmt.Sprintf("worker %s may have lost its memory since the claim", worker)
	}
	return ts, ""
}
