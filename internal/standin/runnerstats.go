package standin

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
)

// HasStarted reports whether any task of a job was started.
func (r *Runners) HasStarted(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startedJobs[job]
}

// CountDone returns the number of tasks of a job that are done.
func (r *Runners) CountDone(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, w := range r.byAddr {
		r.advance(w)
	}
	for t := range r.doneTasks {
		if t.Job == job {
			n++
		}
	}
	return n
}

// CountFailed returns the highest number of failed runs of any one task or gang of a job.
func (r *Runners) CountFailed(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for t, x := range r.allFailedRuns {
		if t.Job == job {
			n = max(n, x)
		}
	}
	return n
}

// FindRunning returns the tasks that run on any worker.
func (r *Runners) FindRunning() []port.RunRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []port.RunRef
	for _, w := range r.byAddr {
		r.advance(w)
		for _, x := range w.tasks {
			out = append(out, x.ref)
		}
	}
	return out
}

// FindAssigned returns the tasks on each worker that is up, by the name of the worker.
func (r *Runners) FindAssigned() map[string][]port.RunRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]port.RunRef{}
	for _, w := range r.byAddr {
		r.advance(w)
		out[w.worker.Name] = nil
		for _, x := range w.tasks {
			out[w.worker.Name] = append(out[w.worker.Name], x.ref)
		}
	}
	return out
}

// FindDone returns the tasks that were done in any run, without the number of the run.
func (r *Runners) FindDone() map[port.RunRef]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.doneTasks)
}

// FindListedDone returns the tasks that were done in any run, without the number of the run, but for those of which the only end was
// lost with its worker.
func (r *Runners) FindListedDone() map[port.RunRef]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := maps.Clone(r.doneTasks)
	for t := range r.lostTasks {
		delete(out, t)
	}
	return out
}

// FindWorker returns the name of the worker on which a task runs, or an empty string.
func (r *Runners) FindWorker(t port.RunRef) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.byAddr {
		if r.advance(w); w.tasks[taskOf(t)] != nil {
			return w.worker.Name
		}
	}
	return ""
}

// List returns the entry by which the platform lists the present lifetime of a worker; it is empty while the worker is away.
func (r *Runners) List(addr netip.AddrPort) port.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.byAddr[addr]
	if w == nil {
		return port.Runner{}
	}
	return port.Runner{Worker: w.worker, Instance: w.instance}
}

// checkLabel records a violation if a worker lacks the label that a task requires.
func (r *Runners) checkLabel(x *runTask) {
	l := x.outcome.Label
	if l == "" || slices.Contains(strings.Split(x.worker.worker.Labels, ","), l) {
		return
	}
	r.violations = append(r.violations, fmt.Sprintf("%v started on %s, which has no label %s", x.ref, x.worker.worker.Name, l))
}
