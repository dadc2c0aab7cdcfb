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

// run is the live record of one attempt.
type run struct {
	key     runKey
	attempt Attempt
	parts   []part
	added   time.Time
	// wake holds a value when something new is known.
	wake chan struct{}

	mu       sync.Mutex
	tasks    []taskView
	workers  map[string]*workerView
	stopping bool
	ended    *Ended
	over     chan struct{}
}

// taskView is what the last report said of a task.
type taskView struct {
	worker   string
	state    fleet.TaskState
	started  bool
	missing  bool
	progress time.Duration
	bytes    int64
	digest   uint64
	err      string
}

// workerView is how well a worker of the run answers.
type workerView struct {
	asked  time.Time
	misses int
	lost   bool
}

func (g *Gangs) addRun(a Attempt, ps []part) *run {
	now := g.clock.Now()
	r := &run{
		key:     runKey{job: a.Job.ID, attempt: a.Job.Attempt},
		attempt: a,
		parts:   ps,
		added:   now,
		wake:    make(chan struct{}, 1),
		tasks:   make([]taskView, a.Job.Shape.Tasks),
		workers: map[string]*workerView{},
		over:    make(chan struct{}),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[r.key] = r
	for _, p := range ps {
		r.workers[p.worker] = &workerView{asked: now}
		for _, ref := range p.refs {
			r.tasks[ref.Task] = taskView{worker: p.worker, state: fleet.TaskRunning}
		}
		if g.byWorker[p.worker] == nil {
			g.byWorker[p.worker] = map[runKey]*run{}
		}
		g.byWorker[p.worker][r.key] = r
	}
	return r
}

func (g *Gangs) dropRun(r *run) {
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

// begin restarts the run when its start is sent; what was reported until then says nothing of it.
func (r *run) begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.added = now
	for i := range r.tasks {
		r.tasks[i] = taskView{worker: r.tasks[i].worker, state: fleet.TaskRunning}
	}
	for _, w := range r.workers {
		w.asked = now
	}
}

// runOf returns the run of an attempt, and starts to follow one that this host did not start itself.
func (g *Gangs) runOf(a Attempt) (*run, error) {
	g.mu.Lock()
	r := g.runs[runKey{job: a.Job.ID, attempt: a.Job.Attempt}]
	g.mu.Unlock()
	if r != nil {
		return r, nil
	}
	ps, err := g.parts(a)
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

// Observe takes a worker's report that was asked for at the given time, such as the answer to a renewal.
func (g *Gangs) Observe(worker string, rep fleet.Report, asked time.Time) {
	rs := g.runsOn(worker)
	if len(rs) == 0 {
		return
	}
	by := map[fleet.TaskRef]*fleet.TaskReport{}
	for i := range rep.Tasks {
		by[rep.Tasks[i].Task.Ref] = &rep.Tasks[i]
	}
	for _, r := range rs {
		r.observe(worker, by, asked)
	}
}

// Lost tells that a worker is known to be gone, so that its gangs are stopped at once.
func (g *Gangs) Lost(worker string) {
	for _, r := range g.runsOn(worker) {
		r.mu.Lock()
		r.workers[worker].lost = true
		r.mu.Unlock()
		r.signal()
	}
}

func (r *run) observe(worker string, by map[fleet.TaskRef]*fleet.TaskReport, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workers[worker]
	// A report from before the start says nothing of this attempt.
	if asked.Before(r.added) || asked.Before(w.asked) {
		return
	}
	w.asked = asked
	w.misses = 0
	for _, p := range r.parts {
		if p.worker != worker {
			continue
		}
		for _, ref := range p.refs {
			r.tasks[ref.Task].update(by[ref])
		}
	}
	r.signal()
}

func (v *taskView) update(t *fleet.TaskReport) {
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

func (r *run) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// end keeps the first end of the run and returns it.
func (r *run) end(e Ended) Ended {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended == nil {
		r.ended = &e
		close(r.over)
	}
	return *r.ended
}
