package plan

import (
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
)

const (
	// memoryGrowthFactor is the memory planned for a job that is moved, relative to its measured use.
	memoryGrowthFactor = 1.25
	// throttledShare is the share of its processors left to a task that uses more memory than its worker can spare.
	throttledShare = 0.25
	// unthrottleBelow is the fraction of its booked memory below which a throttled task is no longer throttled.
	unthrottleBelow = 0.9
)

// Usage is a worker's measurement of the memory of one task; it lags behind the actual use.
type Usage struct {
	Job    string
	Task   int
	Worker string
	Memory fleet.Bytes
}

// Throttle limits a running task to a share of its processors between 0 and 1; 1 lifts the limit.
type Throttle struct {
	Job    string
	Task   int
	Worker string
	Share  float64
	Reason string
}

// taskRef identifies a task of a job's current attempt.
type taskRef struct {
	task int
	site *place.Site
}

// RecordUsage records the memory use of a task. If a task exceeds its declared memory, more memory is booked for the
// task while its worker has memory to spare. Otherwise a job that may be stopped is stopped and queued again with more
// memory, and a task of any other job is throttled, so that other tasks on the worker keep the memory that they
// declared.
func (p *Planner) RecordUsage(u Usage) {
	e, ok := p.jobs[u.Job]
	s := p.ledger.Get(u.Worker)
	if !ok || s == nil || u.Task < 0 || u.Task >= len(e.sites) || e.sites[u.Task] != s || e.vacated[u.Task] {
		return
	}
	e.peakMemory = max(e.peakMemory, u.Memory)
	ref := taskRef{task: u.Task, site: s}
	over := max(u.Memory-e.need.Memory, 0)
	spare := s.Capacity.Memory - s.Used.Memory + e.extra[ref]
	if over <= spare {
		p.bookExtraMemory(e, ref, over)
		if e.throttled[ref] && float64(u.Memory) < unthrottleBelow*float64(e.need.Memory+over) {
			p.throttle(e, ref, 1, "its memory is within what is booked again")
		}
		return
	}
	reason := fmt.Sprintf("task %d uses %d MB of memory, declared %d MB, and worker %s can spare %d MB",
		u.Task, u.Memory/fleet.Megabyte, e.job.Shape.Memory/fleet.Megabyte, u.Worker, spare/fleet.Megabyte)
	if e.profile.Stoppable && !e.job.IsOnce() && !e.profile.Once {
		e.neededMemory = max(e.neededMemory, fleet.Bytes(memoryGrowthFactor*float64(u.Memory)))
		p.requestStop(e, reason+"; it moves to where there is more")
		return
	}
	if !e.throttled[ref] {
		p.throttle(e, ref, throttledShare, reason)
	}
}

// bookExtraMemory sets the memory booked for a task beyond what it declared.
func (p *Planner) bookExtraMemory(e *entry, ref taskRef, over fleet.Bytes) {
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

// releaseExtraMemory releases the memory booked for the tasks of a job beyond what they declared.
func (p *Planner) releaseExtraMemory(e *entry) {
	for ref, over := range e.extra {
		ref.site.Used.Memory -= over
	}
	e.extra = nil
	e.throttled = nil
}

// releaseExtraMemoryOf releases the memory booked for one task beyond what it declared.
func (p *Planner) releaseExtraMemoryOf(e *entry, ref taskRef) {
	p.bookExtraMemory(e, ref, 0)
	delete(e.throttled, ref)
}

// raiseMemory increases the planned memory of a job that exceeded it, up to that of the largest worker.
func (p *Planner) raiseMemory(e *entry) {
	if e.neededMemory <= e.shape.Memory {
		return
	}
	e.shape.Memory = min(e.neededMemory, max(p.largestWorker().Memory, e.shape.Memory))
	e.need = place.TaskResources(e.shape)
}
