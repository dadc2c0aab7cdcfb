package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/feed"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/auburncleat/auburncleat/internal/state/queue"
)

// syncConfig gives the planner the configuration in force.
func (e *Engine) syncConfig() {
	c := e.out.Config()
	if c == nil || c == e.config {
		return
	}
	e.config = c
	e.planner.Configure(policy(c, e.bounds))
	e.planner.SetGuaranteed(guaranteed(c))
	e.log.Info("configuration planned with", "Version", c.Version, "Queues", len(c.Queues))
}

// policy translates queues into profiles of the planner.
func policy(c *queue.Config, b Bounds) config.Config {
	out := config.Config{Profiles: map[string]config.Profile{}, Organisations: map[string]config.Organisation{}}
	for _, q := range c.Queues {
		out.Profiles[q.Name] = config.Profile{
			Name: q.Name, Urgency: q.Urgency, WaitBound: waitBound(q), Stoppable: true, ReclaimBound: b.StopTimeout,
		}
	}
	return out
}

// waitBound is how long work of a queue may wait before it is ordered before other work of its urgency.
func waitBound(q queue.Queue) time.Duration {
	return max(q.Objective, minWaitBound)
}

// minWaitBound is the shortest bound that a profile is given.
const minWaitBound = 10 * time.Second

func guaranteed(c *queue.Config) map[string]int {
	out := map[string]int{}
	for _, o := range c.Organisations {
		out[o.Name] = o.Accelerators
	}
	return out
}

// passInTime lets the planner decide about all units, or about the urgent ones alone until the others' turn comes: the
// longer the queue, the longer a pass over it takes.
func (e *Engine) passInTime(now time.Time) {
	if now.Before(e.nextFull) {
		if e.planner.HasUrgentWaiting() {
			e.carryOut(e.planner.PassUrgent(now))
		}
		return
	}
	e.carryOut(e.planner.Pass(now))
	e.passTook = e.clock.Since(now)
	e.nextFull = e.clock.Now().Add(time.Duration(float64(e.passTook) * (1/fullShare - 1)))
	e.scope.Timer("pass").Record(e.passTook)
}

// carryOut starts, stops and gives up units as the planner decided.
func (e *Engine) carryOut(d plan.Decisions) {
	for _, s := range d.Starts {
		e.begin(s)
	}
	for _, s := range d.Stops {
		if u := e.units[s.Job]; u != nil {
			e.stop(u, s.Reason)
		}
	}
	for _, r := range d.Refusals {
		u := e.units[r.Job]
		if u == nil {
			continue
		}
		e.log.Info("planner gave a unit up", "Unit", u.name, "Reason", r.Reason)
		e.deferred[u.name] = u
	}
}

// begin stores the start of a unit before it is sent.
func (e *Engine) begin(s plan.Start) {
	u := e.units[s.Job.ID]
	if u == nil {
		e.log.Error("planner started an unknown unit", "Unit", s.Job.ID)
		return
	}
	u.phase = phaseStoring
	u.run++
	u.since = e.clock.Now()
	u.members = nil
	for i, a := range s.Placement {
		w := e.getWorker(a.Worker)
		m := &member{worker: a.Worker, instance: w.instance, task: i}
		if u.key.Index != jobs.WholeGang {
			m.task = u.key.Index
		}
		u.members = append(u.members, m)
		w.expect(u, m)
	}
	e.log.Info("unit starts", "Job", u.job, "Unit", u.name, "Run", u.run, "Workers", len(u.members),
		"First", u.members[0].worker, "Reason", s.Reason, "Checkpoint", u.checkpoint != "")
	r, err := jobs.UnitRecord(u.record(jobs.Running))
	if err != nil {
		e.log.Error("cannot encode a start", "Unit", u.name, "Cause", err.Error())
		return
	}
	run := u.run
	e.store([]jobs.Record{r}, func() {
		if u.run == run && u.phase == phaseStoring {
			e.launch(u)
		}
	})
}

// afterStored calls done with the lock held once all that was handed to the writer before is stored.
func (e *Engine) afterStored(done func()) {
	e.store(nil, done)
}

// store appends records, folds them once they are stored, and then calls done with the lock held.
func (e *Engine) store(rs []jobs.Record, done func()) {
	i := &feed.Item{}
	for _, r := range rs {
		i.Entries = append(i.Entries, port.Entry{Key: r.Key, Value: r.Value})
	}
	i.Done = func(first int64, err error) {
		if err != nil {
			// The writer has ended and with it the term.
			return
		}
		for k, r := range rs {
			if err := e.out.Table.Apply(first+int64(k), r); err != nil {
				e.log.Error("stored record cannot be folded", "Key", r.Key, "Cause", err.Error())
			}
		}
		if done == nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		done()
		e.kick()
	}
	e.writer.Submit(i)
}
