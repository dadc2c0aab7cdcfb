package plan

import (
	"fmt"
	"sort"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
)

// ErrNeverFits says that no worker set of the failure domain can hold a shape.
var ErrNeverFits = errors.New("shape can never be placed")

// ErrJobNotExist says that the planner does not hold a job.
var ErrJobNotExist = errors.New("job does not exist")

type entry struct {
	job       fleet.Job
	state     string
	placement []fleet.Assignment
}

// Planner holds the books of one failure domain.
type Planner struct {
	domain  string
	config  config.Config
	workers map[string]fleet.Worker
	jobs    map[string]*entry
}

// New returns an empty planner for a failure domain.
func New(domain string) *Planner {
	return &Planner{
		domain:  domain,
		workers: map[string]fleet.Worker{},
		jobs:    map[string]*entry{},
	}
}

// Configure replaces the configuration in force.
func (p *Planner) Configure(c config.Config) {
	p.config = c
}

// PutWorker adds a worker or updates what is known of it.
func (p *Planner) PutWorker(w fleet.Worker) {
	p.workers[w.Name] = w
}

// DropWorker removes a worker and returns the jobs that had tasks on it.
func (p *Planner) DropWorker(name string) []string {
	delete(p.workers, name)
	var ids []string
	for id, e := range p.jobs {
		for _, a := range e.placement {
			if a.Worker == name {
				ids = append(ids, id)
				break
			}
		}
	}
	sort.Strings(ids)
	return ids
}

// Submit queues a job, or returns an error that says why it can never run here.
func (p *Planner) Submit(j fleet.Job) error {
	if err := j.Shape.Check(); err != nil {
		return fmt.Errorf("submit %s: %w", j.ID, err)
	}
	p.jobs[j.ID] = &entry{job: j, state: StateQueued}
	return nil
}

// Adopt books a gang that a former owner started.
func (p *Planner) Adopt(j fleet.Job, placement []fleet.Assignment, started time.Time) {
	p.jobs[j.ID] = &entry{job: j, state: StateRunning, placement: placement}
}

// Cancel removes queued jobs and returns the ids that were still queued; running ones are left to the caller.
func (p *Planner) Cancel(ids []string) []string {
	var out []string
	for _, id := range ids {
		e, ok := p.jobs[id]
		if ok && e.state == StateQueued {
			delete(p.jobs, id)
			out = append(out, id)
		}
	}
	return out
}

// Started notes that all tasks of a job run.
func (p *Planner) Started(id string, at time.Time) {
	if e, ok := p.jobs[id]; ok {
		e.state = StateRunning
	}
}

// Ended notes the end of an attempt and frees what it held.
func (p *Planner) Ended(x Ended) {
	e, ok := p.jobs[x.Job]
	if !ok {
		return
	}
	if !x.Requeue {
		delete(p.jobs, x.Job)
		return
	}
	e.state = StateQueued
	e.placement = nil
	e.job.Progress = x.Progress
}

// Pass decides what to start, stop and refuse now.
func (p *Planner) Pass(now time.Time) Decisions {
	var d Decisions
	used := map[string]int{}
	accs := map[string]int{}
	var queued []*entry
	for _, e := range p.jobs {
		for _, a := range e.placement {
			used[a.Worker]++
			accs[a.Worker] += e.job.Shape.Accelerators
		}
		if e.state == StateQueued {
			queued = append(queued, e)
		}
	}
	sort.Slice(queued, func(i, j int) bool { return queued[i].job.ID < queued[j].job.ID })
	for _, e := range queued {
		as := p.fit(e.job.Shape, used, accs)
		if as == nil {
			continue
		}
		for _, a := range as {
			used[a.Worker]++
			accs[a.Worker] += e.job.Shape.Accelerators
		}
		e.job.Attempt++
		e.state = StateStarting
		e.placement = as
		d.Starts = append(d.Starts, Start{Job: e.job, Placement: as, Reason: "first fit"})
	}
	return d
}

func (p *Planner) fit(s fleet.Shape, used, accs map[string]int) []fleet.Assignment {
	names := make([]string, 0, len(p.workers))
	for n, w := range p.workers {
		if !w.Leaving {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	var as []fleet.Assignment
	for _, n := range names {
		w := p.workers[n]
		u, a := used[n], accs[n]
		for len(as) < s.Tasks && u < w.Slots && a+s.Accelerators <= w.Accelerators {
			as = append(as, fleet.Assignment{Task: len(as), Worker: n})
			u++
			a += s.Accelerators
		}
	}
	if len(as) < s.Tasks {
		return nil
	}
	return as
}

// Status explains where a job stands.
func (p *Planner) Status(id string) (Status, error) {
	e, ok := p.jobs[id]
	if !ok {
		return Status{}, fmt.Errorf("status of %s: %w", id, ErrJobNotExist)
	}
	s := Status{Job: e.job, State: e.state}
	for _, a := range e.placement {
		s.Workers = append(s.Workers, a.Worker)
	}
	return s, nil
}

// FindStatus explains all jobs, ordered by id.
func (p *Planner) FindStatus() []Status {
	var out []Status
	for id := range p.jobs {
		s, _ := p.Status(id)
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Job.ID < out[j].Job.ID })
	return out
}

// FindWorkers returns the books of all workers, ordered by name.
func (p *Planner) FindWorkers() []WorkerView {
	var out []WorkerView
	for _, w := range p.workers {
		out = append(out, WorkerView{Worker: w, State: "Ready"})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker.Name < out[j].Worker.Name })
	return out
}

// Summary describes the load for other failure domains.
func (p *Planner) Summary(now time.Time) Summary {
	return Summary{Wait: map[config.Urgency]time.Duration{}}
}
