package exec

import (
	"maps"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/feed"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/auburncleat/auburncleat/internal/state/queue"
)

// syncConfig passes the configuration in force to the planner when it has changed.
func (e *Engine) syncConfig() {
	c := e.deps.Config()
	if c == nil || c == e.config {
		return
	}
	e.config = c
	maps.DeleteFunc(e.retired, func(name string, _ queue.Queue) bool { return c.GetAnyQueue(name) != nil })
	e.configurePlanner()
	e.syncServices()
	e.planner.SetGuaranteed(guaranteedAccelerators(c))
	e.log.Info("planner uses configuration", "Version", c.Version, "Queues", len(c.Queues))
}

// configurePlanner passes the queues that are in force, or whose jobs go on, to the planner as profiles.
func (e *Engine) configurePlanner() {
	out := config.Config{Profiles: map[string]config.Profile{}, Organisations: map[string]config.Organisation{}}
	for _, q := range e.retired {
		out.Profiles[q.Name] = plannerProfile(q, e.bounds)
	}
	if e.config != nil {
		for _, q := range slices.Concat(e.config.Removed, e.config.Queues) {
			out.Profiles[q.Name] = plannerProfile(q, e.bounds)
		}
	}
	e.planner.Configure(out)
}

func plannerProfile(q queue.Queue, b Bounds) config.Profile {
	return config.Profile{
		Name: q.Name, Service: q.Service, Urgency: q.Urgency, WaitBound: waitBound(q), Stoppable: true, ReclaimBound: b.StopTimeout,
	}
}

// getQueue returns the queue with the name, by the terms that it last had if it has been removed, or nil if these are not known.
func (e *Engine) getQueue(name string) *queue.Queue {
	if e.config != nil {
		if q := e.config.GetAnyQueue(name); q != nil {
			return q
		}
	}
	if q, ok := e.retired[name]; ok {
		return &q
	}
	return nil
}

// retainQueue keeps the terms of the queue of a job when no configuration that this host has seen holds the queue.
func (e *Engine) retainQueue(job, name string, t *jobs.Terms) {
	if t == nil || e.getQueue(name) != nil {
		return
	}
	e.retired[name] = queue.Queue{
		Name: name, Service: t.Service, Urgency: t.Urgency, MaxAttempts: t.MaxAttempts, Stretch: t.Stretch, Objective: t.Objective,
	}
	if e.config != nil {
		e.log.Info("job of a removed queue keeps its terms", "Job", job, "Queue", name, "MaxAttempts", t.MaxAttempts)
	}
	e.configurePlanner()
	e.syncServices()
}

// waitBound returns the wait bound of a queue; the planner orders waiting work by its wait relative to this bound.
func waitBound(q queue.Queue) time.Duration {
	return max(q.Objective, minWaitBound)
}

// minWaitBound is the shortest wait bound of a profile.
const minWaitBound = 10 * time.Second

func guaranteedAccelerators(c *queue.Config) map[string]int {
	out := map[string]int{}
	for _, o := range c.Organisations {
		out[o.Name] = o.Accelerators
	}
	return out
}

// runPass runs a planner pass over all units, or over the urgent ones alone until the next full pass is due: the
// duration of a full pass grows with the queue, and urgent units must not wait for it.
func (e *Engine) runPass(now time.Time) {
	if now.Before(e.nextFullPass) {
		if e.planner.HasUrgentWaiting() {
			e.applyDecisions(e.planner.PassUrgent(now))
		}
		return
	}
	e.applyDecisions(e.planner.Pass(now))
	e.lastPassTime = e.clock.Since(now)
	e.nextFullPass = e.clock.Now().Add(time.Duration(float64(e.lastPassTime) * (1/fullPassShare - 1)))
	e.scope.Timer("pass").Record(e.lastPassTime)
}

// applyDecisions starts, stops and defers units as the planner decided.
func (e *Engine) applyDecisions(d plan.Decisions) {
	for _, t := range d.Health {
		e.log.Info("worker health changed", "Worker", t.Worker, "State", string(t.State), "Reason", t.Reason, "Until", t.Until, "FailedJobs", t.Jobs)
	}
	for _, s := range d.Starts {
		e.storeStart(s)
	}
	for _, s := range d.Stops {
		if u := e.units[s.Job]; u != nil {
			e.runCounts.preempted++
			e.scope.Counter("units_preempted").Inc(1)
			e.stopRun(u, s.Reason)
		}
	}
	for _, r := range d.Refusals {
		u := e.units[r.Job]
		if u == nil || u.phase != phaseQueued {
			continue
		}
		e.log.Info("planner refused a unit", "Unit", u.name, "Reason", r.Reason)
		e.deferred[u.name] = u
	}
}

// storeStart writes the start of a unit to the store, and sends it to the workers once it is stored.
func (e *Engine) storeStart(s plan.Start) {
	u := e.units[s.Job.ID]
	if u == nil {
		e.log.Error("planner started an unknown unit", "Unit", s.Job.ID)
		return
	}
	e.setPhase(u, phaseStoring)
	u.run++
	u.since = e.clock.Now()
	u.members = nil
	for i, a := range s.Placement {
		w := e.getWorker(a.Worker)
		m := &member{worker: a.Worker, instance: w.instance, task: i, isSettled: e.isSettled(w, u.since)}
		if u.key.Index != jobs.WholeGang {
			m.task = u.key.Index
		}
		u.members = append(u.members, m)
		w.addTask(u, m)
	}
	e.log.Info("unit starts", "Job", u.job, "Unit", u.name, "Run", u.run, "Workers", len(u.members),
		"First", u.members[0].worker, "Reason", s.Reason, "Checkpoint", u.checkpoint != "")
	r, err := jobs.UnitRecord(e.record(u, jobs.Running))
	if err != nil {
		e.log.Error("cannot encode a start", "Unit", u.name, "Cause", err.Error())
		return
	}
	run := u.run
	e.store([]jobs.Record{r}, func() {
		if u.run == run && u.phase == phaseStoring {
			e.sendStarts(u)
		}
	})
}

// afterStored calls done, with the lock held, once everything submitted to the writer so far is stored.
func (e *Engine) afterStored(done func()) {
	e.store(nil, done)
}

// store appends records, applies them to the table once they are stored, and then calls done with the lock held.
func (e *Engine) store(rs []jobs.Record, done func()) {
	var groups []*feed.EntryGroup
	if len(rs) > 0 {
		groups = e.takeBegun()
	}
	e.writer.Submit(append(groups, e.newGroup(rs, done))...)
}

// newGroup returns the records as a group, which is applied to the table once it is stored; done is then called with the lock held.
func (e *Engine) newGroup(rs []jobs.Record, done func()) *feed.EntryGroup {
	i := &feed.EntryGroup{}
	for _, r := range rs {
		i.Entries = append(i.Entries, port.Entry{Key: r.Key, Value: r.Value})
	}
	i.Done = func(first int64, err error) {
		if err != nil {
			// The writer has stopped, which ends the term.
			return
		}
		for k, r := range rs {
			if err := e.deps.Table.Apply(first+int64(k), r); err != nil {
				e.log.Error("stored record cannot be applied", "Key", r.Key, "Cause", err.Error())
			}
		}
		if done == nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		done()
		e.requestPass()
	}
	return i
}
