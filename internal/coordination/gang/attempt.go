package gang

import (
	"fmt"
	"net/netip"
	"sort"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// State tells which tasks of an attempt were started, as far as this host knows.
type State string

// States of an attempt.
const (
	// NotStarted means that no task has run and none will.
	NotStarted State = "NotStarted"
	// Started means that all tasks were started.
	Started State = "Started"
	// Partly means that some tasks ran and that all of them have been stopped.
	Partly State = "Partly"
	// Unknown means that tasks may be running on workers that do not respond.
	Unknown State = "Unknown"
)

// Attempt is one execution of a job's gang on an assigned set of workers.
type Attempt struct {
	Term      fleet.Term
	Job       fleet.Job
	Placement []fleet.Assignment
	State     State
	// Unconfirmed names the workers whose tasks may be running when State is Unknown.
	Unconfirmed []string
}

// Workers returns the names of the attempt's workers, sorted and without duplicates.
func (a Attempt) Workers() []string {
	var out []string
	for _, s := range a.Placement {
		out = append(out, s.Worker)
	}
	return sortedUnique(out)
}

// part is the set of an attempt's tasks that are assigned to one worker.
type part struct {
	worker string
	addr   netip.AddrPort
	tasks  []fleet.Task
	refs   []fleet.TaskRef
}

// validateAndSplit checks that the placement holds each task exactly once, and groups the tasks by worker.
func (g *Gangs) validateAndSplit(a Attempt) ([]part, error) {
	n := a.Job.Shape.Tasks
	if len(a.Placement) != n {
		return nil, fmt.Errorf("%d tasks placed, want %d: %w", len(a.Placement), n, ErrPlacementInvalid)
	}
	seen := make([]bool, n)
	for _, s := range a.Placement {
		if s.Task < 0 || s.Task >= n || seen[s.Task] {
			return nil, fmt.Errorf("task %d is out of range or placed twice: %w", s.Task, ErrPlacementInvalid)
		}
		seen[s.Task] = true
	}
	return g.splitByWorker(a)
}

// splitByWorker groups the placed tasks by worker.
func (g *Gangs) splitByWorker(a Attempt) ([]part, error) {
	at := map[string]int{}
	var ps []part
	for _, s := range a.Placement {
		i, ok := at[s.Worker]
		if !ok {
			addr, known := g.resolve(s.Worker)
			if !known {
				return nil, fmt.Errorf("worker %s has no address: %w", s.Worker, ErrPlacementInvalid)
			}
			i = len(ps)
			at[s.Worker] = i
			ps = append(ps, part{worker: s.Worker, addr: addr})
		}
		t := taskOf(a.Job, s.Task)
		ps[i].tasks = append(ps[i].tasks, t)
		ps[i].refs = append(ps[i].refs, t.Ref)
	}
	return ps, nil
}

func taskOf(j fleet.Job, n int) fleet.Task {
	return fleet.Task{
		Ref:          fleet.TaskRef{Job: j.ID, Attempt: j.Attempt, Task: n},
		Shape:        j.Shape,
		Progress:     j.Progress,
		Work:         j.Work,
		Organisation: j.Organisation,
		Profile:      j.Profile,
	}
}

func sortedUnique(names []string) []string {
	sort.Strings(names)
	out := names[:0]
	for i, n := range names {
		if i == 0 || n != names[i-1] {
			out = append(out, n)
		}
	}
	return out
}
