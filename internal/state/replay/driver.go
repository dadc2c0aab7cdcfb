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
)

const (
	// startDelay is the time to prepare and start a gang.
	startDelay = 200 * time.Millisecond
	// failDelay is the time until a task on a faulty worker, or of a job that cannot run, fails.
	failDelay = 5 * time.Second
	// restartDelay is what a gang needs to resume from a checkpoint.
	restartDelay = 15 * time.Second
	// tick is the longest time between two passes while jobs wait.
	tick = 10 * time.Second
	// overtime is how long after the last event a replay goes on.
	overtime = 48 * time.Hour
)

type action struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []action

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(action)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// Driver plays one trace through one policy.
type Driver struct {
	policy  Policy
	make    func() Policy
	agenda  agenda
	seq     int
	now     time.Time
	end     time.Time
	config  config.Config
	workers map[string]fleet.Worker
	faulty  map[string]bool
	jobs    map[string]*record
	books   *place.Ledger
	measure measure
	err     error
}

type record struct {
	job       fleet.Job
	truth     Truth
	placement []fleet.Assignment
	// attempt tells a late action from one of the current attempt.
	attempt  int
	stopping bool
	placed   time.Time
	started  time.Time
	first    time.Time
	ended    time.Time
	progress time.Duration
	outcome  string
	// overhead is the time to resume from a checkpoint in the current attempt.
	overhead time.Duration
}

// Play replays a trace through the policy that makePolicy builds; it builds a new one when the owner changes.
func Play(t Trace, makePolicy func() Policy) (Report, error) {
	d := &Driver{
		policy: makePolicy(), make: makePolicy, workers: map[string]fleet.Worker{}, faulty: map[string]bool{},
		jobs: map[string]*record{}, books: place.New(),
	}
	for _, e := range t.Events {
		d.at(e.At.Time(), func() { d.feed(e) })
	}
	d.end = t.Events[len(t.Events)-1].At.Time().Add(overtime)
	d.run()
	if d.err != nil {
		return Report{}, fmt.Errorf("replay trace %s: %w", t.Name, d.err)
	}
	return d.report(t.Name), nil
}

func (d *Driver) at(t time.Time, do func()) {
	d.seq++
	heap.Push(&d.agenda, action{at: t, seq: d.seq, do: do})
}

func (d *Driver) run() {
	var nextTick time.Time
	for len(d.agenda) > 0 && d.err == nil && !d.agenda[0].at.After(d.end) {
		d.now = d.agenda[0].at
		for len(d.agenda) > 0 && !d.agenda[0].at.After(d.now) {
			heap.Pop(&d.agenda).(action).do()
		}
		d.pass()
		d.measure.note(d)
		if d.hasQueued() && d.now.After(nextTick) {
			nextTick = d.now.Add(tick)
			d.at(nextTick, func() {})
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

func (d *Driver) feed(e events.Event) {
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
		d.books.Put(w)
		d.policy.PutWorker(w)
	case events.WorkerDown:
		d.workerDown(e.Worker)
	case events.JobAccepted:
		j, t, err := ParseJob(e)
		if err != nil {
			d.err = err
			return
		}
		r := &record{job: j, truth: t}
		d.jobs[j.ID] = r
		if err := d.policy.Submit(j); err != nil {
			d.close(r, "Refused: "+err.Error())
		}
	case events.JobCancelled:
		d.cancel(strings.Split(e.Job, ","))
	case events.OwnerChanged:
		d.changeOwner()
	default:
	}
}

func (d *Driver) workerDown(name string) {
	d.books.Drop(name)
	delete(d.workers, name)
	for _, id := range d.policy.DropWorker(name) {
		r := d.jobs[id]
		if r.job.IsOnce() {
			d.finish(r, plan.Ended{Result: plan.ResultLost, Workers: []string{name}})
			d.close(r, "Unknown")
			continue
		}
		d.measure.lose(r, d.now.Sub(r.started))
		d.finish(r, plan.Ended{Result: plan.ResultLost, Workers: []string{name}, Progress: r.progress, Requeue: true})
	}
}

func (d *Driver) cancel(ids []string) {
	for _, id := range d.policy.Cancel(ids) {
		d.close(d.jobs[id], "Cancelled")
	}
	for _, id := range ids {
		if r := d.jobs[id]; r != nil && r.outcome == "" && r.placement != nil {
			d.finish(r, plan.Ended{Result: plan.ResultStopped})
			d.close(r, "Cancelled")
		}
	}
}

// changeOwner gives all to a new policy, as a new owner does from workers and peers.
func (d *Driver) changeOwner() {
	d.policy = d.make()
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
		d.close(d.jobs[f.Job], "Refused: "+f.Reason)
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
		d.measure.lose(r, restartDelay)
	}
	if r.first.IsZero() {
		r.first = r.started
	}
	n := place.TaskResources(s.Job.Shape)
	for _, a := range s.Placement {
		if b := d.books.Get(a.Worker); b != nil {
			b.Used = b.Used.Plus(n)
		}
	}
	k := r.attempt
	d.at(r.started, func() {
		if r.attempt == k && r.placement != nil {
			d.policy.Started(s.Job.ID, d.now)
		}
	})
	at, do := d.fate(r)
	d.at(at, func() {
		if r.attempt == k && r.placement != nil && !r.stopping {
			do()
		}
	})
}

// fate returns when the current attempt ends by itself, and how.
func (d *Driver) fate(r *record) (time.Time, func()) {
	fail := func(w string) func() {
		return func() {
			d.finish(r, plan.Ended{Result: plan.ResultFailed, Workers: []string{w}, Progress: r.progress, Requeue: !r.job.IsOnce()})
			if r.job.IsOnce() {
				d.close(r, "Failed")
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
	left := max(r.truth.Ran-r.progress, 0) + r.overhead
	return r.started.Add(left), func() {
		d.finish(r, plan.Ended{Result: plan.ResultDone})
		d.close(r, "Done")
	}
}

// stop checkpoints a gang within half of its grace and then stops it.
func (d *Driver) stop(s plan.Stop) {
	r := d.jobs[s.Job]
	if r.stopping || r.placement == nil {
		return
	}
	r.stopping = true
	k := r.attempt
	took := s.Grace / 2
	ran := max(d.now.Sub(r.started)-r.overhead, 0)
	d.measure.stops++
	d.at(d.now.Add(took), func() {
		if r.attempt != k || r.placement == nil {
			return
		}
		d.measure.lose(r, took)
		r.progress += ran
		d.finish(r, plan.Ended{Result: plan.ResultStopped, Progress: r.progress, Requeue: true})
	})
}

// finish ends the current attempt in the books of the driver and of the policy.
func (d *Driver) finish(r *record, x plan.Ended) {
	n := place.TaskResources(r.job.Shape)
	for _, a := range r.placement {
		if b := d.books.Get(a.Worker); b != nil {
			b.Used = b.Used.Minus(n)
		}
	}
	r.placement = nil
	r.stopping = false
	x.Job = r.job.ID
	x.At = d.now
	d.policy.Ended(x)
}

func (d *Driver) close(r *record, outcome string) {
	r.outcome = outcome
	r.ended = d.now
}
