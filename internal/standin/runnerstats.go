package standin

import "github.com/auburncleat/auburncleat/internal/coordination/port"

// HasBegun reports whether a task of a job was ever started.
func (r *Runners) HasBegun(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun[job]
}

// CountDone returns how many tasks of a job have ended well.
func (r *Runners) CountDone(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, w := range r.byAddr {
		r.advance(w)
	}
	for t := range r.done {
		if t.Job == job {
			n++
		}
	}
	return n
}

// CountFailed returns the most runs of one task or gang of a job that have failed.
func (r *Runners) CountFailed(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for t, x := range r.everFailed {
		if t.Job == job {
			n = max(n, x)
		}
	}
	return n
}

// FindRunning returns the tasks that run anywhere.
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
