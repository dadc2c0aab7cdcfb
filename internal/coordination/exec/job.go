package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/queue"
)

// adopt loads all open jobs and takes over the units that former owners started.
func (e *Engine) adopt() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.syncConfig()
	e.deps.Table.TakeChanged()
	for _, id := range e.deps.Table.FindOpen() {
		e.syncJob(id)
	}
	e.log.Info("jobs taken over", "Term", e.term, "Units", len(e.units))
}

// syncJobs processes the jobs that were submitted, cancelled or ended since the last call.
func (e *Engine) syncJobs() {
	for _, id := range e.deps.Table.TakeChanged() {
		e.syncJob(id)
	}
}

// syncJob updates the units of a job from its record.
func (e *Engine) syncJob(id string) {
	if e.endingJobs[id] {
		return
	}
	var newUnits []*unit
	isCancelling, isEnded, isDone := false, false, false
	var queueName string
	var terms *jobs.Terms
	e.deps.Table.View(id, func(j *jobs.Job) {
		if j == nil || j.State != jobs.Open {
			isEnded = true
			return
		}
		isCancelling = j.IsCancelling
		isDone = j.IsDone()
		queueName, terms = j.Queue, j.Terms
		if !isCancelling {
			newUnits = e.findNewUnits(j)
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
	e.retainQueue(id, queueName, terms)
	if len(newUnits) > 0 {
		e.log.Info("job taken up", "Job", id, "Units", len(newUnits), "Step", newUnits[0].key.Step, "Term", e.term)
	}
	for _, u := range newUnits {
		e.units[u.name] = u
		if u.phase == phaseRunning {
			e.adoptUnit(u)
			continue
		}
		e.enqueue(u)
	}
}

// findNewUnits returns the units that are ready to run and not yet known to the engine, and records when the next
// occurrence of the job is due.
func (e *Engine) findNewUnits(j *jobs.Job) []*unit {
	var out []*unit
	now := e.clock.Now()
	for o := range j.Occurrences() {
		if at := j.DueAt(o); j.Times != nil && now.Before(at) {
			e.nextDue[j.ID] = at
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

// syncDue processes the jobs with an occurrence that has become due.
func (e *Engine) syncDue(now time.Time) {
	for id, at := range e.nextDue {
		if now.Before(at) {
			continue
		}
		delete(e.nextDue, id)
		e.syncJob(id)
	}
}

// newUnit builds a unit from its record; it returns nil when the engine knows the unit already or the unit is done.
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
	u.run, u.failures, u.checkpoint, u.progress, u.maxAttempts = x.Run, x.Failures, x.Checkpoint, x.Progress, x.MaxAttempts
	u.hasBegun = !x.IsUnbegun
	if x.IsUnbegun {
		u.unbegun = x
	}
	if x.Result != jobs.Running {
		return u
	}
	u.phase = phaseRunning
	for i, m := range x.Members {
		u.members = append(u.members, &member{
			worker: m.Worker, instance: m.Instance, task: x.TaskIndex(i), isSent: true, isAdopted: true, isSettled: m.IsSettled,
		})
	}
	return u
}

// adoptUnit registers a run that a former owner started; the reports of the workers tell its current state.
func (e *Engine) adoptUnit(u *unit) {
	var p []fleet.Assignment
	now := e.clock.Now()
	for i, m := range u.members {
		p = append(p, fleet.Assignment{Task: i, Worker: m.worker})
		e.getWorker(m.worker).addTask(u, m)
	}
	e.planner.Adopt(e.plannerJob(u), p, now)
}

// plannerJob converts a unit to a job of the planner.
func (e *Engine) plannerJob(u *unit) fleet.Job {
	var q queue.Queue
	if x := e.getQueue(u.queue); x != nil {
		q = *x
	}
	return fleet.Job{
		ID: u.name, Submission: u.job, Organisation: u.org, Profile: u.queue, Shape: e.shape(u), RunTime: u.step.Estimate,
		Submitted: u.since, Progress: u.progress, Group: spreadGroup(u), PerWorker: u.step.PerWorker, Label: u.step.Label,
		Rack: u.step.Rack, LosesProgress: !u.step.Checkpoints,
		Objective: q.Objective, Stretch: q.Stretch, Lasts: u.step.Lasts, IsFirm: u.step.Lasts && u.step.MayMiss > 0,
	}
}

// spreadGroup returns the name of the step whose tasks must be spread over workers, or "" when there is no such limit.
func spreadGroup(u *unit) string {
	if u.step.PerWorker == 0 {
		return ""
	}
	return jobs.UnitKey{Job: u.key.Job, Occurrence: u.key.Occurrence, Step: u.key.Step, Index: jobs.WholeGang}.String()
}

// enqueue submits a unit to the planner; a unit that the planner rejects is deferred and submitted again later.
func (e *Engine) enqueue(u *unit) {
	e.setPhase(u, phaseQueued)
	u.members = nil
	if err := e.submit(u); err != nil && e.deferred[u.name] == nil {
		e.log.Info("unit deferred", "Job", u.job, "Unit", u.name, "Cause", err.Error())
		e.deferred[u.name] = u
	}
}

// submit submits a unit to the planner, and ends its deferral if the planner accepts it.
func (e *Engine) submit(u *unit) error {
	if err := e.planner.Submit(e.plannerJob(u)); err != nil {
		return err
	}
	delete(e.deferred, u.name)
	e.requestPass()
	return nil
}

// maxGroupRecords bounds the records that are stored as one, whose size the store limits.
const maxGroupRecords = 10_000

// endJob writes the end of a job to the store and stops its remaining units.
func (e *Engine) endJob(id string, s jobs.State, reason string, more []jobs.Record) {
	var final *jobs.Job
	records := more
	hasCancel := false
	e.deps.Table.View(id, func(j *jobs.Job) {
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
	if final == nil || e.endingJobs[id] {
		return
	}
	r, err := jobs.EndRecord(final)
	if err != nil {
		e.log.Error("cannot encode the end of a job", "Job", id, "Cause", err.Error())
		return
	}
	ends := []jobs.Record{r, jobs.JobTombstone(id)}
	if hasCancel {
		ends = append(ends, jobs.CancelTombstone(id))
	}
	// The end comes first: an open job without the records of its units would run again.
	records = append(ends, records...)
	e.log.Info("job ends", "Job", id, "State", int(s), "Reason", reason, "Term", e.term)
	e.scope.Tagged(map[string]string{"State": stateName(s)}).Counter("jobs_ended").Inc(1)
	e.endingJobs[id] = true
	for len(records) > maxGroupRecords {
		e.store(records[:maxGroupRecords], nil)
		records = records[maxGroupRecords:]
	}
	e.store(records, func() { delete(e.endingJobs, id) })
	for _, u := range e.units {
		if u.job == id {
			e.abandonUnit(u, reason)
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

// abandonUnit stops or dequeues a unit whose job has ended.
func (e *Engine) abandonUnit(u *unit, reason string) {
	u.isOver = true
	switch u.phase {
	case phaseQueued:
		e.planner.Cancel([]string{u.name})
		e.removeUnit(u)
	case phaseStarting, phaseRunning:
		e.stopRun(u, reason)
	case phaseStoring, phaseStopping, phaseEnding:
	}
}

// removeUnit deletes a unit that occupies no worker.
func (e *Engine) removeUnit(u *unit) {
	delete(e.units, u.name)
	delete(e.deferred, u.name)
}
