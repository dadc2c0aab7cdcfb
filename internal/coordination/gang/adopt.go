package gang

import (
	"context"
	"fmt"
	"sort"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// Found is an attempt that workers report.
type Found struct {
	Attempt Attempt
	// Ran is set when any of its tasks ever ran.
	Ran bool
	// Missing counts the tasks that no worker reports as running or done.
	Missing int
	// Unsure names workers that did not confirm the stop.
	Unsure []string
}

// Adopted is what a new owner finds on its workers.
type Adopted struct {
	// Whole attempts run, or are done, and are followed from now on.
	Whole []Attempt
	// Stopped attempts were not whole; their tasks were stopped.
	Stopped []Found
	// Open attempts are not whole, but a silent worker may hold the rest.
	Open []Found
}

// Adopt takes over the gangs that the reports of all reachable workers show, under the new owner's term.
//
// The reports must come from Inspect with that term. Silent says that some workers have not reported yet: gangs that
// are not whole are then left in Open, until Adopt is called again with more reports or without silent workers.
// Jobs completes what the tasks do not say: key, deadline and run time.
func (g *Gangs) Adopt(
	ctx context.Context,
	t fleet.Term,
	reports []fleet.Report,
	silent bool,
	jobs map[string]fleet.Job,
) (Adopted, error) {
	var out Adopted
	newest := map[string]int{}
	fs := group(t, reports, jobs)
	g.clearOpen()
	for _, f := range fs {
		if f.Missing == 0 {
			newest[f.Attempt.Job.ID] = max(newest[f.Attempt.Job.ID], f.Attempt.Job.Attempt)
		}
	}
	for _, f := range fs {
		ps, err := g.split(f.Attempt)
		if err != nil {
			return out, fmt.Errorf("adopt job %s: %w", f.Attempt.Job.ID, err)
		}
		switch {
		case f.Missing == 0 && f.Attempt.Job.Attempt == newest[f.Attempt.Job.ID]:
			f.Attempt.State = Started
			g.adoptRun(f.Attempt, ps)
			out.Whole = append(out.Whole, f.Attempt)
		case f.Missing > 0 && silent:
			g.keepOpen(f)
			out.Open = append(out.Open, f)
		default:
			out.Stopped = append(out.Stopped, g.discard(ctx, f, ps))
		}
	}
	return out, nil
}

// discard stops an attempt that is not whole.
func (g *Gangs) discard(ctx context.Context, f Found, ps []part) Found {
	g.stats.broken.Inc(1)
	g.note(events.JobStopped, f.Attempt.Job, "", fmt.Sprintf("%d of its tasks are missing", f.Missing))
	if g.off.stop {
		return f
	}
	c, cancel := g.detached(ctx)
	defer cancel()
	errs := each(ps, func(p part) error {
		_, err := g.undo(c, f.Attempt, p)
		return err
	})
	f.Unsure = failedWorkers(ps, errs)
	f.Attempt.State = NotStarted
	if f.Ran {
		f.Attempt.State = Partly
	}
	if len(f.Unsure) > 0 {
		f.Attempt.State = Unknown
		f.Attempt.Unsure = f.Unsure
	}
	return f
}

// group gathers the tasks of all reports by attempt, ordered by job and attempt.
func group(t fleet.Term, reports []fleet.Report, jobs map[string]fleet.Job) []Found {
	by := map[runKey]*Found{}
	seen := map[fleet.TaskRef]bool{}
	for _, r := range reports {
		for _, tr := range r.Tasks {
			if tr.Task.Ref.Task < 0 || tr.Task.Ref.Task >= tr.Task.Shape.Tasks {
				continue
			}
			k := runKey{job: tr.Task.Ref.Job, attempt: tr.Task.Ref.Attempt}
			f, ok := by[k]
			if !ok {
				f = &Found{Attempt: Attempt{Term: t, Job: jobOf(tr.Task, jobs)}, Missing: tr.Task.Shape.Tasks}
				by[k] = f
			}
			f.Ran = f.Ran || tr.Started
			f.Attempt.Placement = append(f.Attempt.Placement, fleet.Assignment{Task: tr.Task.Ref.Task, Worker: r.Worker.Name})
			if isWhole(tr, seen) {
				f.Missing--
			}
		}
	}
	out := make([]Found, 0, len(by))
	for _, f := range by {
		sort.Slice(f.Attempt.Placement, func(i, j int) bool {
			return f.Attempt.Placement[i].Task < f.Attempt.Placement[j].Task
		})
		out = append(out, *f)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].Attempt.Job, out[j].Attempt.Job
		if a.ID != b.ID {
			return a.ID < b.ID
		}
		return a.Attempt < b.Attempt
	})
	return out
}

// isWhole reports whether a task counts towards a whole gang, which each task does once.
func isWhole(t fleet.TaskReport, seen map[fleet.TaskRef]bool) bool {
	r := t.Task.Ref
	if seen[r] {
		return false
	}
	seen[r] = true
	return t.State == fleet.TaskRunning || t.State == fleet.TaskDone
}

func jobOf(t fleet.Task, jobs map[string]fleet.Job) fleet.Job {
	j, ok := jobs[t.Ref.Job]
	if !ok {
		j = fleet.Job{
			ID:           t.Ref.Job,
			Organisation: t.Organisation,
			Profile:      t.Profile,
			Shape:        t.Shape,
			Work:         t.Work,
		}
	}
	j.Shape = t.Shape
	j.Attempt = t.Ref.Attempt
	j.Progress = t.Progress
	return j
}
