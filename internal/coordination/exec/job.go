package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/queue"
)

// adopt takes over the units that former owners have started.
func (e *Engine) adopt() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.syncConfig()
	e.out.Table.TakeChanged()
	for _, id := range e.out.Table.FindOpen() {
		e.syncJob(id)
	}
	e.log.Info("jobs taken over", "Term", e.term, "Units", len(e.units))
}

// syncJobs takes up the jobs that came, were cancelled or ended.
func (e *Engine) syncJobs() {
	for _, id := range e.out.Table.TakeChanged() {
		e.syncJob(id)
	}
}

// syncJob brings the units of a job in line with its record.
func (e *Engine) syncJob(id string) {
	if e.ending[id] {
		return
	}
	var fresh []*unit
	isCancelling, isEnded, isDone := false, false, false
	e.out.Table.View(id, func(j *jobs.Job) {
		if j == nil || j.State != jobs.Open {
			isEnded = true
			return
		}
		isCancelling = j.IsCancelling
		isDone = j.IsDone()
		if !isCancelling {
			fresh = e.findFresh(j)
		}
	})
	if isCancelling {
		e.endJob(id, jobs.Cancelled, "cancelled by the caller", nil)
		return
	}
	if isEnded {
		return
	}
	if isDone {
		e.endJob(id, jobs.Completed, "", nil)
		return
	}
	for _, u := range fresh {
		e.units[u.name] = u
		if u.phase == phaseRunning {
			e.adoptUnit(u)
			continue
		}
		e.enqueue(u)
	}
}

// findFresh returns the units whose turn has come and that the engine does not know yet, and notes when the next
// occurrence of the job is due.
func (e *Engine) findFresh(j *jobs.Job) []*unit {
	var out []*unit
	now := e.clock.Now()
	for o := range j.Occurrences() {
		if at := j.DueAt(o); j.Times != nil && now.Before(at) {
			e.due[j.ID] = at
			break
		}
		for s := range j.Steps {
			if !j.IsStepReady(o, s) {
				continue
			}
			for _, k := range j.UnitKeys(o, s) {
				if u := e.newUnit(j, k); u != nil {
					out = append(out, u)
				}
			}
		}
	}
	return out
}

// syncDue takes up the jobs of which an occurrence has come due.
func (e *Engine) syncDue(now time.Time) {
	for id, at := range e.due {
		if now.Before(at) {
			continue
		}
		delete(e.due, id)
		e.syncJob(id)
	}
}

// newUnit returns a unit that the engine does not know yet, unless it is done.
func (e *Engine) newUnit(j *jobs.Job, k jobs.UnitKey) *unit {
	name := k.String()
	if e.units[name] != nil {
		return nil
	}
	u := &unit{
		key: k, name: name, job: j.ID, org: j.Organisation, queue: j.Queue, spec: j.Spec, step: j.Steps[k.Step],
		since: j.DueAt(k.Occurrence),
	}
	x := j.GetUnit(k)
	if x == nil {
		return u
	}
	if x.Result == jobs.Done {
		return nil
	}
	u.run, u.failures, u.checkpoint, u.progress = x.Run, x.Failures, x.Checkpoint, x.Progress
	if x.Result != jobs.Running {
		return u
	}
	u.phase = phaseRunning
	for i, m := range x.Members {
		u.members = append(u.members, &member{worker: m.Worker, instance: m.Instance, task: x.TaskIndex(i)})
	}
	return u
}

// adoptUnit books a run that a former owner has started; the reports of the workers tell what became of it.
func (e *Engine) adoptUnit(u *unit) {
	var p []fleet.Assignment
	now := e.clock.Now()
	for i, m := range u.members {
		p = append(p, fleet.Assignment{Task: i, Worker: m.worker})
		w := e.getWorker(m.worker)
		w.expect(u, m)
		w.leaseEnd = later(w.leaseEnd, now.Add(e.leaseBound()+adoptGrace))
	}
	e.planner.Adopt(e.plannerJob(u), p, now)
}

// plannerJob returns the unit as the planner knows it.
func (e *Engine) plannerJob(u *unit) fleet.Job {
	var q queue.Queue
	if e.config != nil {
		if x := e.config.GetQueue(u.queue); x != nil {
			q = *x
		}
	}
	return fleet.Job{
		ID: u.name, Organisation: u.org, Profile: u.queue, Shape: e.shape(u), RunTime: u.step.Estimate,
		Submitted: u.since, Progress: u.progress, Group: groupOf(u), PerWorker: u.step.PerWorker, Label: u.step.Label,
		Rack: u.step.Rack, LosesProgress: !u.step.Checkpoints,
		Objective: q.Objective, Stretch: q.Stretch, Lasts: u.step.Lasts, IsFirm: u.step.Lasts && u.step.MayMiss > 0,
	}
}

// groupOf names the step whose tasks must be spread over workers; empty when they need not be.
func groupOf(u *unit) string {
	if u.step.PerWorker == 0 {
		return ""
	}
	return jobs.UnitKey{Job: u.key.Job, Occurrence: u.key.Occurrence, Step: u.key.Step, Index: jobs.WholeGang}.String()
}

// enqueue hands a unit to the planner; one that it does not take now is handed in again later.
func (e *Engine) enqueue(u *unit) {
	u.phase = phaseQueued
	u.members = nil
	if err := e.planner.Submit(e.plannerJob(u)); err != nil {
		if e.deferred[u.name] == nil {
			e.log.Info("unit deferred", "Job", u.job, "Unit", u.name, "Cause", err.Error())
		}
		e.deferred[u.name] = u
		return
	}
	delete(e.deferred, u.name)
	e.kick()
}

// endJob stores the end of a job, and stops what still runs of it.
func (e *Engine) endJob(id string, s jobs.State, reason string, more []jobs.Record) {
	var final *jobs.Job
	records := more
	hasCancel := false
	e.out.Table.View(id, func(j *jobs.Job) {
		if j == nil || j.State != jobs.Open {
			return
		}
		final = &jobs.Job{
			ID: j.ID, Organisation: j.Organisation, Queue: j.Queue, Accepted: j.Accepted, State: s,
			Ended: e.clock.Now(), Reason: reason,
		}
		hasCancel = j.IsCancelling
		for _, u := range j.FindUnits() {
			records = append(records, jobs.UnitTombstone(u.Key))
		}
	})
	if final == nil || e.ending[id] {
		return
	}
	r, err := jobs.EndRecord(final)
	if err != nil {
		e.log.Error("cannot encode the end of a job", "Job", id, "Cause", err.Error())
		return
	}
	records = append(records, r, jobs.JobTombstone(id))
	if hasCancel {
		records = append(records, jobs.CancelTombstone(id))
	}
	e.log.Info("job ends", "Job", id, "State", int(s), "Reason", reason, "Term", e.term)
	e.scope.Tagged(map[string]string{"State": stateName(s)}).Counter("jobs_ended").Inc(1)
	e.ending[id] = true
	e.store(records, func() { delete(e.ending, id) })
	for _, u := range e.units {
		if u.job == id {
			e.giveUp(u, reason)
		}
	}
}

func stateName(s jobs.State) string {
	switch s {
	case jobs.Completed:
		return "Completed"
	case jobs.Failed:
		return "Failed"
	case jobs.Cancelled:
		return "Cancelled"
	default:
		return "Open"
	}
}

// giveUp ends a unit whose job is over.
func (e *Engine) giveUp(u *unit, reason string) {
	u.isOver = true
	switch u.phase {
	case phaseQueued:
		e.planner.Cancel([]string{u.name})
		e.forget(u)
	case phaseStarting, phaseRunning:
		e.stop(u, reason)
	case phaseStoring, phaseStopping, phaseEnding:
	}
}

// forget drops a unit that holds nothing any more.
func (e *Engine) forget(u *unit) {
	delete(e.units, u.name)
	delete(e.deferred, u.name)
}
