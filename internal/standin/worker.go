package standin

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/auburncleat/auburncleat/internal/transport/worker"
)

const (
	// checkpointTime is how long a task takes to save its progress.
	checkpointTime = 20 * time.Millisecond
	maxStarts      = 100_000
	maxForgotten   = 10_000
	changeBits     = 20
)

// Start is one start of a task, kept so that a check can tell work that was started twice.
type Start struct {
	Worker  string
	Job     string
	Attempt int
	Task    int
	Key     string
	At      time.Time
	State   string
}

// Worker is a stand-in for one worker.
type Worker struct {
	info      store.Worker
	clock     clock.Clock
	faults    *faults
	lag       time.Duration
	mu        sync.Mutex
	term      fleet.Term
	lease     time.Time
	change    uint64
	boot      uint64
	since     time.Time
	tasks     map[fleet.TaskRef]*task
	forgotten map[fleet.TaskRef]uint64
	starts    []Start
}

// WorkerOption changes a worker while it is built.
type WorkerOption func(*Worker)

// WithWorkerClock sets the clock.
func WithWorkerClock(c clock.Clock) WorkerOption { return func(w *Worker) { w.clock = c } }

// WithUsageLag sets how late the use of memory is reported.
func WithUsageLag(d time.Duration) WorkerOption { return func(w *Worker) { w.lag = d } }

// NewWorker returns a worker without tasks or lease.
func NewWorker(info store.Worker, opts ...WorkerOption) *Worker {
	w := &Worker{
		info:      info,
		clock:     clock.System(),
		tasks:     map[fleet.TaskRef]*task{},
		forgotten: map[fleet.TaskRef]uint64{},
	}
	for _, o := range opts {
		o(w)
	}
	w.faults = newFaults(w.clock)
	// A counter that starts from the wall clock never repeats after a restart.
	w.since = w.clock.Now()
	w.boot = uint64(w.since.UnixMilli()) << changeBits
	w.change = w.boot
	return w
}

// enter refuses a lower term, takes a higher one and brings the tasks up to date.
func (w *Worker) enter(t fleet.Term) (time.Time, error) {
	now := w.clock.Now()
	w.settle(now)
	if t.Less(w.term) {
		return now, refusal{worker.CodeFenced, fmt.Sprintf("term %s is below %s", t, w.term)}
	}
	w.term = t
	return now, nil
}

func (w *Worker) settle(now time.Time) {
	lapsed := !now.Before(w.lease)
	for ref, t := range w.tasks {
		if t.state == fleet.TaskPrepared && lapsed {
			w.drop(ref)
			continue
		}
		if t.state != fleet.TaskRunning {
			continue
		}
		end := now
		if lapsed {
			end = w.lease
		}
		if t.settle(end, lapsed) || t.measure(now, w.lag) {
			w.touch(t)
		}
	}
}

func (w *Worker) touch(t *task) {
	w.change++
	t.change = w.change
}

func (w *Worker) drop(r fleet.TaskRef) {
	delete(w.tasks, r)
	w.change++
	w.forgotten[r] = w.change
	if len(w.forgotten) > maxForgotten {
		// The oldest half goes, so that memory stays bounded at a small cost per task.
		w.prune()
	}
}

func (w *Worker) prune() {
	cs := slices.Sorted(maps.Values(w.forgotten))
	limit := cs[len(cs)/2]
	maps.DeleteFunc(w.forgotten, func(_ fleet.TaskRef, c uint64) bool { return c < limit })
	w.boot = limit
}

// Renew extends the lease and reports what changed.
func (w *Worker) Renew(q worker.RenewRequest) (worker.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(q.Term)
	if err != nil {
		return worker.Report{}, err
	}
	w.lease = now.Add(time.Duration(q.LeaseMillis) * time.Millisecond)
	return w.report(q.Since, false), nil
}

// Inspect raises the term and reports everything, work included.
func (w *Worker) Inspect(q worker.InspectRequest) (worker.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.enter(q.Term); err != nil {
		return worker.Report{}, err
	}
	return w.report(0, true), nil
}

func (w *Worker) report(since uint64, full bool) worker.Report {
	p := worker.Report{SinceUnixMillis: w.since.UnixMilli(), Term: w.term, Change: w.change, Partial: since >= w.boot && since <= w.change}
	if !p.Partial {
		p.Worker = &w.info
	}
	now := w.clock.Now()
	for _, t := range w.tasks {
		if p.Partial && t.change <= since {
			continue
		}
		p.Tasks = append(p.Tasks, t.report(now, full))
	}
	for r, c := range w.forgotten {
		if p.Partial && c > since {
			p.Gone = append(p.Gone, r)
		}
	}
	return p
}

// Prepare reserves room for all tasks or for none.
func (w *Worker) Prepare(q worker.PrepareRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(q.Term)
	if err != nil {
		return err
	}
	if !now.Before(w.lease) {
		return refusal{worker.CodeNoRoom, "the lease has lapsed"}
	}
	var fresh []*task
	u := w.use()
	for _, m := range q.Tasks {
		if _, ok := w.tasks[m.Ref]; ok {
			continue
		}
		if _, ok := w.forgotten[m.Ref]; ok {
			return refusal{worker.CodeNoRoom, "the task has been here before"}
		}
		u.add(m.Shape)
		fresh = append(fresh, newTask(m, w.faults.get().FailTasks))
	}
	if text := u.over(w.info); text != "" {
		return refusal{worker.CodeNoRoom, text}
	}
	for _, t := range fresh {
		w.tasks[t.msg.Ref] = t
		w.touch(t)
	}
	return nil
}

func (w *Worker) use() usage {
	var u usage
	for _, t := range w.tasks {
		if t.state == fleet.TaskPrepared || t.state == fleet.TaskRunning {
			u.add(t.msg.Shape)
		}
	}
	return u
}

// Start runs prepared tasks, all or none.
func (w *Worker) Start(q worker.RefsRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(q.Term)
	if err != nil {
		return err
	}
	ts, err := w.find(q.Refs)
	if err != nil {
		return err
	}
	for _, t := range ts {
		if t.state != fleet.TaskPrepared {
			continue
		}
		t.start(now)
		w.touch(t)
		if len(w.starts) < maxStarts {
			w.starts = append(w.starts, w.noteStart(t, now))
		}
	}
	return nil
}

func (w *Worker) noteStart(t *task, now time.Time) Start {
	r := t.msg.Ref
	return Start{Worker: w.info.Name, Job: r.Job, Attempt: r.Attempt, Task: r.Task, Key: t.work.Key, At: now}
}

func (w *Worker) find(rs []fleet.TaskRef) ([]*task, error) {
	var ts []*task
	for _, r := range rs {
		t, ok := w.tasks[r]
		if !ok {
			return nil, refusal{worker.CodeNoTask, fmt.Sprintf("no task %d of %s", r.Task, r.Job)}
		}
		ts = append(ts, t)
	}
	return ts, nil
}

// Stop ends tasks; unknown ones count as stopped.
func (w *Worker) Stop(q worker.StopRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(q.Term)
	if err != nil {
		return err
	}
	grace := time.Duration(q.GraceMillis) * time.Millisecond
	for _, r := range q.Refs {
		t, ok := w.tasks[r]
		switch {
		case !ok:
		case t.state == fleet.TaskPrepared:
			w.drop(r)
		case t.state == fleet.TaskRunning:
			t.stop(now, grace)
			t.settle(now, false)
			w.touch(t)
		}
	}
	return nil
}

// Throttle limits a running task.
func (w *Worker) Throttle(q worker.ThrottleRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(q.Term)
	if err != nil {
		return err
	}
	ts, err := w.find([]fleet.TaskRef{q.Ref})
	if err != nil {
		return err
	}
	ts[0].throttle(now, q.Share)
	w.touch(ts[0])
	return nil
}

// Forget drops tasks that ended.
func (w *Worker) Forget(q worker.RefsRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.enter(q.Term); err != nil {
		return err
	}
	for _, r := range q.Refs {
		t, ok := w.tasks[r]
		if ok && t.state != fleet.TaskRunning && t.state != fleet.TaskPrepared {
			w.drop(r)
		}
	}
	return nil
}

// Answer returns the answer of a task that is done.
func (w *Worker) Answer(r fleet.TaskRef) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(w.clock.Now())
	ts, err := w.find([]fleet.TaskRef{r})
	if err != nil {
		return nil, err
	}
	if ts[0].state != fleet.TaskDone {
		return nil, refusal{worker.CodeNoTask, "the task is not done"}
	}
	return ts[0].answer(), nil
}

// Starts lists every start of a task.
func (w *Worker) Starts() []Start {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(w.clock.Now())
	ss := slices.Clone(w.starts)
	for i, s := range ss {
		r := fleet.TaskRef{Job: s.Job, Attempt: s.Attempt, Task: s.Task}
		if t, ok := w.tasks[r]; ok {
			ss[i].State = string(t.state)
		}
	}
	return ss
}

func sorted[V any](m map[string]V) []V {
	vs := make([]V, 0, len(m))
	for _, k := range slices.SortedFunc(maps.Keys(m), cmp.Compare) {
		vs = append(vs, m[k])
	}
	return vs
}
