package gang

import (
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

type runKey struct {
	job     string
	attempt int
}

// run is the tracked state of one attempt.
type run struct {
	key     runKey
	attempt Attempt
	parts   []part
	// since is the time at which the run was added or, once its start is sent, the time of the start.
	since time.Time
	// wake has a value when the state has changed since Watch last evaluated it.
	wake chan struct{}

	mu       sync.Mutex
	tasks    []taskStatus
	workers  map[string]*workerStatus
	stopping bool
	ended    *Ended
	done     chan struct{}
}

// taskStatus is the state of a task from the latest report.
type taskStatus struct {
	worker   string
	state    fleet.TaskState
	started  bool
	missing  bool
	progress time.Duration
	bytes    int64
	digest   uint64
	err      string
}

// workerStatus tracks the polls of one worker of the run.
type workerStatus struct {
	// lastPolled is when the latest accepted report was requested, or when the latest poll failed.
	lastPolled  time.Time
	missedPolls int
	lost        bool
}

func (g *Gangs) addRun(a Attempt, ps []part) *run {
	now := g.clock.Now()
	r := &run{
		key:     runKey{job: a.Job.ID, attempt: a.Job.Attempt},
		attempt: a,
		parts:   ps,
		since:   now,
		wake:    make(chan struct{}, 1),
		tasks:   make([]taskStatus, a.Job.Shape.Tasks),
		workers: map[string]*workerStatus{},
		done:    make(chan struct{}),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[r.key] = r
	for _, p := range ps {
		r.workers[p.worker] = &workerStatus{lastPolled: now}
		for _, ref := range p.refs {
			r.tasks[ref.Task] = taskStatus{worker: p.worker, state: fleet.TaskRunning}
		}
		if g.byWorker[p.worker] == nil {
			g.byWorker[p.worker] = map[runKey]*run{}
		}
		g.byWorker[p.worker][r.key] = r
	}
	return r
}

func (g *Gangs) removeRun(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs[r.key] == r {
		delete(g.runs, r.key)
	}
	for _, p := range r.parts {
		if g.byWorker[p.worker][r.key] != r {
			continue
		}
		delete(g.byWorker[p.worker], r.key)
		if len(g.byWorker[p.worker]) == 0 {
			delete(g.byWorker, p.worker)
		}
	}
}

// resetForStart discards what was reported before the start is sent, since it does not apply to the started tasks.
func (r *run) resetForStart(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since = now
	for i := range r.tasks {
		r.tasks[i] = taskStatus{worker: r.tasks[i].worker, state: fleet.TaskRunning}
	}
	for _, w := range r.workers {
		w.lastPolled = now
	}
}

// findOrAddRun returns the run of an attempt. It adds one if the attempt was started by another host.
func (g *Gangs) findOrAddRun(a Attempt) (*run, error) {
	g.mu.Lock()
	r := g.runs[runKey{job: a.Job.ID, attempt: a.Job.Attempt}]
	g.mu.Unlock()
	if r != nil {
		return r, nil
	}
	ps, err := g.validateAndSplit(a)
	if err != nil {
		return nil, err
	}
	return g.addRun(a, ps), nil
}

func (g *Gangs) runsOn(worker string) []*run {
	g.mu.Lock()
	defer g.mu.Unlock()
	var rs []*run
	for _, r := range g.byWorker[worker] {
		rs = append(rs, r)
	}
	return rs
}

// Observe updates the runs on a worker from a report, such as the reply to a lease renewal. RequestedAt is when the
// report was requested; a report requested before the latest accepted one, or before the start of a run, is ignored.
func (g *Gangs) Observe(worker string, rep fleet.Report, requestedAt time.Time) {
	rs := g.runsOn(worker)
	if len(rs) == 0 {
		return
	}
	byRef := map[fleet.TaskRef]*fleet.TaskReport{}
	for i := range rep.Tasks {
		byRef[rep.Tasks[i].Task.Ref] = &rep.Tasks[i]
	}
	for _, r := range rs {
		r.observe(worker, byRef, requestedAt)
	}
}

// Lost marks a worker as lost, so that its gangs are stopped without waiting for missed polls.
func (g *Gangs) Lost(worker string) {
	for _, r := range g.runsOn(worker) {
		r.mu.Lock()
		r.workers[worker].lost = true
		r.mu.Unlock()
		r.notify()
	}
}

func (r *run) observe(worker string, byRef map[fleet.TaskRef]*fleet.TaskReport, requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workers[worker]
	// A report requested before the start does not reflect the started tasks, and a report requested before the latest
	// accepted report is stale.
	if requestedAt.Before(r.since) || requestedAt.Before(w.lastPolled) {
		return
	}
	w.lastPolled = requestedAt
	w.missedPolls = 0
	for _, p := range r.parts {
		if p.worker != worker {
			continue
		}
		for _, ref := range p.refs {
			r.tasks[ref.Task].update(byRef[ref])
		}
	}
	r.notify()
}

func (v *taskStatus) update(t *fleet.TaskReport) {
	if t == nil {
		v.missing = true
		return
	}
	v.missing = false
	v.state = t.State
	v.started = t.Started
	v.progress = t.Progress
	v.bytes = t.AnswerBytes
	v.digest = t.AnswerDigest
	v.err = t.Error
}

func (r *run) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// end records how the run ended. If an end is already recorded, end keeps it; it returns the recorded end.
func (r *run) end(e Ended) Ended {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended == nil {
		r.ended = &e
		close(r.done)
	}
	return *r.ended
}
