package gang

import (
	"context"
	"fmt"
	"sort"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// ReportedAttempt is an attempt reconstructed from the reports of workers.
type ReportedAttempt struct {
	Attempt Attempt
	// Ran is set when at least one of its tasks was started.
	Ran bool
	// MissingTasks is the number of tasks that no worker reports as running or done.
	MissingTasks int
	// Unconfirmed names the workers that did not confirm the stop.
	Unconfirmed []string
}

// Adoption is the result of Gangs.Adopt: the attempts found on the workers, grouped by how Adopt handled them.
type Adoption struct {
	// Complete holds attempts of which every task runs or is done; they are tracked from now on.
	Complete []Attempt
	// Stopped holds incomplete attempts; their tasks were stopped.
	Stopped []ReportedAttempt
	// Open holds incomplete attempts whose missing tasks may be on a worker that has not reported yet.
	Open []ReportedAttempt
}

// Adopt takes over the gangs found in the reports of all reachable workers, under the new owner's term.
//
// The reports must come from Inspect with that term, so that commands of former owners are fenced. If hasUnresponsive
// is set, some workers have not reported yet: incomplete gangs are then left in Open until Adopt is called again,
// either with more reports or with hasUnresponsive unset. Jobs supplies the fields that task reports lack: key,
// deadline and run time.
func (g *Gangs) Adopt(
	ctx context.Context,
	t fleet.Term,
	reports []fleet.Report,
	hasUnresponsive bool,
	jobs map[string]fleet.Job,
) (Adoption, error) {
	var out Adoption
	newest := map[string]int{}
	fs := groupByAttempt(t, reports, jobs)
	g.clearOpen()
	for _, f := range fs {
		if f.MissingTasks == 0 {
			newest[f.Attempt.Job.ID] = max(newest[f.Attempt.Job.ID], f.Attempt.Job.Attempt)
		}
	}
	for _, f := range fs {
		ps, err := g.splitByWorker(f.Attempt)
		if err != nil {
			return out, fmt.Errorf("adopt job %s: %w", f.Attempt.Job.ID, err)
		}
		switch {
		case f.MissingTasks == 0 && f.Attempt.Job.Attempt == newest[f.Attempt.Job.ID]:
			f.Attempt.State = Started
			g.adoptRun(f.Attempt, ps)
			out.Complete = append(out.Complete, f.Attempt)
		case f.MissingTasks > 0 && hasUnresponsive:
			g.addOpen(f)
			out.Open = append(out.Open, f)
		default:
			out.Stopped = append(out.Stopped, g.stopIncomplete(ctx, f, ps))
		}
	}
	return out, nil
}

// stopIncomplete stops the tasks of an incomplete or superseded attempt. The state of the attempt is Unknown if a
// worker did not confirm the stop, Partly if a task was started, and NotStarted otherwise.
func (g *Gangs) stopIncomplete(ctx context.Context, f ReportedAttempt, ps []part) ReportedAttempt {
	g.stats.broken.Inc(1)
	g.addEvent(events.JobStopped, f.Attempt.Job, "", fmt.Sprintf("%d of its tasks are missing", f.MissingTasks))
	if g.disabled.stop {
		return f
	}
	c, cancel := g.detachedContext(ctx)
	defer cancel()
	errs := forEachPart(ps, func(p part) error {
		_, err := g.stopAndInspect(c, f.Attempt, p)
		return err
	})
	f.Unconfirmed = failedWorkers(ps, errs)
	f.Attempt.State = NotStarted
	if f.Ran {
		f.Attempt.State = Partly
	}
	if len(f.Unconfirmed) > 0 {
		f.Attempt.State = Unknown
		f.Attempt.Unconfirmed = f.Unconfirmed
	}
	return f
}

// groupByAttempt groups the tasks of all reports by attempt, ordered by job and attempt number.
func groupByAttempt(t fleet.Term, reports []fleet.Report, jobs map[string]fleet.Job) []ReportedAttempt {
	byAttempt := map[runKey]*ReportedAttempt{}
	seen := map[fleet.TaskRef]bool{}
	for _, r := range reports {
		for _, tr := range r.Tasks {
			if tr.Task.Ref.Task < 0 || tr.Task.Ref.Task >= tr.Task.Shape.Tasks {
				continue
			}
			k := runKey{job: tr.Task.Ref.Job, attempt: tr.Task.Ref.Attempt}
			f, ok := byAttempt[k]
			if !ok {
				f = &ReportedAttempt{Attempt: Attempt{Term: t, Job: jobOf(tr.Task, jobs)}, MissingTasks: tr.Task.Shape.Tasks}
				byAttempt[k] = f
			}
			f.Ran = f.Ran || tr.Started
			f.Attempt.Placement = append(f.Attempt.Placement, fleet.Assignment{Task: tr.Task.Ref.Task, Worker: r.Worker.Name})
			if countsAsPresent(tr, seen) {
				f.MissingTasks--
			}
		}
	}
	out := make([]ReportedAttempt, 0, len(byAttempt))
	for _, f := range byAttempt {
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

// countsAsPresent reports whether a task report counts towards a complete gang. Only the first report of each task
// does, so that a task reported by two workers is not counted twice; the call adds the task to seen.
func countsAsPresent(t fleet.TaskReport, seen map[fleet.TaskRef]bool) bool {
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
