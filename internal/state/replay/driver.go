package replay

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/auburncleat/auburncleat/internal/state/speed"
)

const (
	// startDelay is the time from the decision to start a gang until it runs.
	startDelay = 200 * time.Millisecond
	// failDelay is the time until a task fails that runs on a faulty worker or belongs to a job that always fails.
	failDelay = 5 * time.Second
	// restartDelay is the time that a gang needs to resume from a checkpoint.
	restartDelay = 15 * time.Second
	// tickInterval is the longest time between two passes while jobs are queued.
	tickInterval = 10 * time.Second
	// drainLimit is how long a replay runs on after the last event, so that jobs can finish.
	drainLimit = 48 * time.Hour
)

type action struct {
	at time.Time
	// seq orders actions of the same time by when they were scheduled.
	seq int
	do  func()
}

// actionQueue is a heap of the scheduled actions, earliest first.
type actionQueue []action

func (a actionQueue) Len() int { return len(a) }
func (a actionQueue) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a actionQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actionQueue) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actionQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// Driver runs a discrete-event simulation of one trace under one policy.
type Driver struct {
	policy    Policy
	newPolicy func() Policy
	actions   actionQueue
	seq       int
	now       time.Time
	end       time.Time
	config    config.Config
	workers   map[string]fleet.Worker
	faulty    map[string]bool
	jobs      map[string]*jobState
	ledger    *place.Ledger
	metrics   metrics
	err       error
	// speedOf returns the true speed of a worker, and speeds is what the policy can learn of it; nil if all workers are alike.
	speedOf func(worker string, at time.Time) float64
	speeds  *speed.Tracker
}

type jobState struct {
	job       fleet.Job
	truth     GroundTruth
	placement []fleet.Assignment
	// attempt lets a scheduled action detect that its attempt has ended.
	attempt  int
	stopping bool
	placed   time.Time
	started  time.Time
	// first is when the first attempt started.
	first time.Time
	ended time.Time
	// progress is the run time saved by the last checkpoint.
	progress time.Duration
	// outcome is empty until the job has ended.
	outcome string
	// overhead is the time that the current attempt spends resuming from a checkpoint.
	overhead time.Duration
}

// Run replays a trace under the policy that newPolicy returns; it calls newPolicy again when the owner changes.
func Run(t Trace, newPolicy func() Policy, opts ...Option) (Report, error) {
	d := &Driver{
		policy: newPolicy(), newPolicy: newPolicy, workers: map[string]fleet.Worker{}, faulty: map[string]bool{},
		jobs: map[string]*jobState{}, ledger: place.New(), speeds: speed.New(),
	}
	for _, o := range opts {
		o(d)
	}
	for _, e := range t.Events {
		d.schedule(e.At.Time(), func() { d.handle(e) })
	}
	d.end = t.Events[len(t.Events)-1].At.Time().Add(drainLimit)
	d.run()
	if d.err != nil {
		return Report{}, fmt.Errorf("replay trace %s: %w", t.Name, d.err)
	}
	return d.report(t.Name), nil
}

func (d *Driver) schedule(t time.Time, do func()) {
	d.seq++
	heap.Push(&d.actions, action{at: t, seq: d.seq, do: do})
}

func (d *Driver) run() {
	var nextTick time.Time
	for len(d.actions) > 0 && d.err == nil && !d.actions[0].at.After(d.end) {
		d.now = d.actions[0].at
		for len(d.actions) > 0 && !d.actions[0].at.After(d.now) {
			heap.Pop(&d.actions).(action).do()
		}
		d.pass()
		d.metrics.sample(d)
		if d.hasQueued() && d.now.After(nextTick) {
			nextTick = d.now.Add(tickInterval)
			d.schedule(nextTick, func() {})
		}
	}
}

func (d *Driver) hasQueued() bool {
	for _, r := range d.jobs {
		if r.outcome == "" && r.placement == nil {
			return true
		}
	}
	return false
}

func (d *Driver) handle(e events.Event) {
	switch e.Kind {
	case events.ConfigInForce:
		c, err := ParseConfig(e)
		d.err = err
		d.config = c
		d.policy.Configure(c)
	case events.WorkerUp:
		w, faulty := ParseWorker(e)
		d.workers[w.Name] = w
		d.faulty[w.Name] = faulty
		d.ledger.Put(w)
		d.policy.PutWorker(w)
	case events.WorkerDown:
		d.workerDown(e.Worker)
	case events.JobAccepted:
		j, t, err := ParseJob(e)
		if err != nil {
			d.err = err
			return
		}
		r := &jobState{job: j, truth: t}
		d.jobs[j.ID] = r
		if err := d.policy.Submit(j); err != nil {
			d.setOutcome(r, "Refused: "+err.Error())
		}
	case events.JobCancelled:
		d.cancel(strings.Split(e.Job, ","))
	case events.OwnerChanged:
		d.changeOwner()
	default:
	}
}

func (d *Driver) workerDown(name string) {
	d.ledger.Drop(name)
	delete(d.workers, name)
	for _, id := range d.policy.DropWorker(name) {
		r := d.jobs[id]
		if r.job.IsOnce() {
			d.endAttempt(r, plan.Ended{Result: plan.ResultLost, Workers: []string{name}})
			d.setOutcome(r, "Unknown")
			continue
		}
		d.metrics.addLost(r, d.now.Sub(r.started))
		d.endAttempt(r, plan.Ended{Result: plan.ResultLost, Workers: []string{name}, Progress: r.progress, Requeue: true})
	}
}

func (d *Driver) cancel(ids []string) {
	for _, id := range d.policy.Cancel(ids) {
		d.setOutcome(d.jobs[id], "Cancelled")
	}
	for _, id := range ids {
		if r := d.jobs[id]; r != nil && r.outcome == "" && r.placement != nil {
			d.endAttempt(r, plan.Ended{Result: plan.ResultStopped})
			d.setOutcome(r, "Cancelled")
		}
	}
}

// changeOwner replaces the policy by a new one and restores its state, as a new owner does from workers and peers.
func (d *Driver) changeOwner() {
	d.policy = d.newPolicy()
	d.speeds = speed.New()
	d.policy.Configure(d.config)
	for _, n := range sortedKeys(d.workers) {
		d.policy.PutWorker(d.workers[n])
	}
	for _, id := range sortedKeys(d.jobs) {
		r := d.jobs[id]
		switch {
		case r.outcome != "":
		case r.placement != nil:
			r.stopping = false
			d.policy.Adopt(r.job, r.placement, r.started)
		default:
			_ = d.policy.Submit(r.job)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (d *Driver) pass() {
	x := d.policy.Pass(d.now)
	for _, s := range x.Starts {
		d.start(s)
	}
	for _, s := range x.Stops {
		d.stop(s)
	}
	for _, f := range x.Refusals {
		d.setOutcome(d.jobs[f.Job], "Refused: "+f.Reason)
	}
}

func (d *Driver) start(s plan.Start) {
	r := d.jobs[s.Job.ID]
	r.job = s.Job
	r.attempt++
	r.placement = s.Placement
	r.placed = d.now
	r.started = d.now.Add(startDelay)
	r.overhead = 0
	if r.progress > 0 {
		r.overhead = restartDelay
		d.metrics.addLost(r, restartDelay)
	}
	if r.first.IsZero() {
		r.first = r.started
	}
	n := place.TaskResources(s.Job.Shape)
	for _, a := range s.Placement {
		if b := d.ledger.Get(a.Worker); b != nil {
			b.Used = b.Used.Plus(n)
		}
	}
	k := r.attempt
	d.schedule(r.started, func() {
		if r.attempt == k && r.placement != nil {
			d.policy.Started(s.Job.ID, d.now)
		}
	})
	at, do := d.attemptEnd(r)
	d.schedule(at, func() {
		if r.attempt == k && r.placement != nil && !r.stopping {
			do()
		}
	})
}

// attemptEnd returns when the current attempt ends unless it is stopped, and the action that ends it.
func (d *Driver) attemptEnd(r *jobState) (time.Time, func()) {
	fail := func(w string) func() {
		return func() {
			d.endAttempt(r, plan.Ended{Result: plan.ResultFailed, Workers: []string{w}, Progress: r.progress, Requeue: !r.job.IsOnce()})
			if r.job.IsOnce() {
				d.setOutcome(r, "Failed")
			}
		}
	}
	for _, a := range r.placement {
		if d.faulty[a.Worker] {
			return r.started.Add(failDelay), fail(a.Worker)
		}
	}
	if r.truth.Fails {
		return r.started.Add(failDelay), fail(r.placement[0].Worker)
	}
	work := float64(max(r.truth.Ran-r.progress, 0))
	remaining := time.Duration(work/d.slowestSpeed(r)) + r.overhead
	return r.started.Add(remaining), func() {
		d.observeSpeeds(r)
		d.endAttempt(r, plan.Ended{Result: plan.ResultDone})
		d.setOutcome(r, "Done")
	}
}

// stop stops a gang after a checkpoint, which takes half of the grace period.
func (d *Driver) stop(s plan.Stop) {
	r := d.jobs[s.Job]
	if r.stopping || r.placement == nil {
		return
	}
	r.stopping = true
	k := r.attempt
	checkpointTime := s.Grace / 2
	ran := max(d.now.Sub(r.started)-r.overhead, 0)
	d.metrics.stops++
	d.schedule(d.now.Add(checkpointTime), func() {
		if r.attempt != k || r.placement == nil {
			return
		}
		d.metrics.addLost(r, checkpointTime)
		r.progress += time.Duration(float64(ran) * d.slowestSpeed(r))
		d.endAttempt(r, plan.Ended{Result: plan.ResultStopped, Progress: r.progress, Requeue: true})
	})
}

// endAttempt releases the workers of the current attempt and reports its end to the policy.
func (d *Driver) endAttempt(r *jobState, x plan.Ended) {
	n := place.TaskResources(r.job.Shape)
	for _, a := range r.placement {
		if b := d.ledger.Get(a.Worker); b != nil {
			b.Used = b.Used.Minus(n)
		}
	}
	r.placement = nil
	r.stopping = false
	x.Job = r.job.ID
	x.At = d.now
	d.policy.Ended(x)
}

// setOutcome ends the job with its final outcome.
func (d *Driver) setOutcome(r *jobState, outcome string) {
	r.outcome = outcome
	r.ended = d.now
}
