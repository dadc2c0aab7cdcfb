package gang

import (
	"fmt"
	"net/netip"
	"sort"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// State says what is known of the start of an attempt.
type State string

// States of an attempt.
const (
	// NotStarted means that no task ran or ever will.
	NotStarted State = "NotStarted"
	// Started means that all tasks run, or ran.
	Started State = "Started"
	// Partly means that some tasks ran and that all are stopped.
	Partly State = "Partly"
	// Unknown means that tasks may run on workers that do not answer.
	Unknown State = "Unknown"
)

// Attempt is one start of a job's gang on concrete workers.
type Attempt struct {
	Term      fleet.Term
	Job       fleet.Job
	Placement []fleet.Assignment
	State     State
	// Unsure names the workers whose tasks may run when State is Unknown.
	Unsure []string
}

// Workers returns the names of the attempt's workers in order and without repeats.
func (a Attempt) Workers() []string {
	var out []string
	for _, s := range a.Placement {
		out = append(out, s.Worker)
	}
	return sorted(out)
}

// part is what one worker does of an attempt.
type part struct {
	worker string
	addr   netip.AddrPort
	tasks  []fleet.Task
	refs   []fleet.TaskRef
}

// parts splits an attempt by worker after checking that its placement is whole.
func (g *Gangs) parts(a Attempt) ([]part, error) {
	n := a.Job.Shape.Tasks
	if len(a.Placement) != n {
		return nil, fmt.Errorf("%d tasks placed of %d: %w", len(a.Placement), n, ErrPlacementInvalid)
	}
	seen := make([]bool, n)
	for _, s := range a.Placement {
		if s.Task < 0 || s.Task >= n || seen[s.Task] {
			return nil, fmt.Errorf("task %d placed wrongly: %w", s.Task, ErrPlacementInvalid)
		}
		seen[s.Task] = true
	}
	return g.split(a)
}

// split groups the placed tasks by worker.
func (g *Gangs) split(a Attempt) ([]part, error) {
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

func sorted(names []string) []string {
	sort.Strings(names)
	out := names[:0]
	for i, n := range names {
		if i == 0 || n != names[i-1] {
			out = append(out, n)
		}
	}
	return out
}
