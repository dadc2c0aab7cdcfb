package plan

import (
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

const (
	// growth is the memory that a moved job is given over what it was seen to use.
	growth = 1.25
	// throttledShare slows a task that takes more memory than its worker can spare.
	throttledShare = 0.25
	// restoreBelow is the part of its booked memory below which a throttled task runs freely again.
	restoreBelow = 0.9
)

// Usage is the memory that a worker measured for one task; it lags.
type Usage struct {
	Job    string
	Task   int
	Worker string
	Memory fleet.Bytes
}

// Throttle asks to limit a running task to a share of its processors between 0 and 1; 1 lifts the limit.
type Throttle struct {
	Job    string
	Task   int
	Worker string
	Share  float64
	Reason string
}

// taskRef names a task of a job's current attempt.
type taskRef struct {
	task int
	site *place.Site
}

// Measured notes the memory of a task. One that outgrows its declared memory is booked with more while its worker can
// spare it. Otherwise it is moved if it may be stopped, else throttled; its neighbours keep what they declared.
func (p *Planner) Measured(u Usage) {
	e, ok := p.jobs[u.Job]
	s := p.books.Get(u.Worker)
	if !ok || s == nil || u.Task < 0 || u.Task >= len(e.sites) || e.sites[u.Task] != s {
		return
	}
	e.peak = max(e.peak, u.Memory)
	ref := taskRef{task: u.Task, site: s}
	over := max(u.Memory-e.need.Memory, 0)
	spare := s.Capacity.Memory - s.Used.Memory + e.extra[ref]
	if over <= spare {
		p.grow(e, ref, over)
		if e.throttled[ref] && float64(u.Memory) < restoreBelow*float64(e.need.Memory+over) {
			p.throttle(e, ref, 1, "its memory is within what is booked again")
		}
		return
	}
	reason := fmt.Sprintf("task %d uses %d MB of memory, declared %d MB, and worker %s can spare %d MB",
		u.Task, u.Memory/fleet.Megabyte, e.job.Shape.Memory/fleet.Megabyte, u.Worker, spare/fleet.Megabyte)
	if e.profile.Stoppable && !e.job.IsOnce() && !e.profile.Once {
		e.outgrown = max(e.outgrown, fleet.Bytes(growth*float64(u.Memory)))
		p.doom(e, reason+"; it moves to where there is more")
		return
	}
	if !e.throttled[ref] {
		p.throttle(e, ref, throttledShare, reason)
	}
}

// grow books the memory of a task beyond its declared one.
func (p *Planner) grow(e *entry, ref taskRef, over fleet.Bytes) {
	if e.extra[ref] == over {
		return
	}
	ref.site.Used.Memory += over - e.extra[ref]
	if over == 0 {
		delete(e.extra, ref)
		return
	}
	if e.extra == nil {
		e.extra = map[taskRef]fleet.Bytes{}
	}
	e.extra[ref] = over
}

func (p *Planner) throttle(e *entry, ref taskRef, share float64, reason string) {
	if e.throttled == nil {
		e.throttled = map[taskRef]bool{}
	}
	e.throttled[ref] = share < 1
	p.throttles = append(p.throttles, Throttle{
		Job: e.job.ID, Task: ref.task, Worker: ref.site.Worker.Name, Share: share, Reason: reason,
	})
}

// shrink gives back what the tasks of a job took beyond their declared memory.
func (p *Planner) shrink(e *entry) {
	for ref, over := range e.extra {
		ref.site.Used.Memory -= over
	}
	e.extra = nil
	e.throttled = nil
}

// resize plans a job that outgrew its memory with more of it from now on.
func (p *Planner) resize(e *entry) {
	if e.outgrown <= e.shape.Memory {
		return
	}
	e.shape.Memory = min(e.outgrown, max(p.largest().Memory, e.shape.Memory))
	e.need = place.TaskRoom(e.shape)
}
