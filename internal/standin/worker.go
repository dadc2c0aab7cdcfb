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

// Start is the record of one start of a task, from which Check finds duplicate starts.
type Start struct {
	Worker  string
	Job     string
	Attempt int
	Task    int
	Key     string
	At      time.Time
	State   string
}

// Worker simulates one worker.
type Worker struct {
	info       store.Worker
	clock      clock.Clock
	faults     *faultInjector
	usageLag   time.Duration
	mu         sync.Mutex
	term       fleet.Term
	leaseEnd   time.Time
	lastChange uint64
	// firstChange is the oldest change number from which a partial report is complete.
	firstChange uint64
	bootedAt    time.Time
	tasks       map[fleet.TaskRef]*task
	// forgotten holds the removed tasks by the change number of their removal.
	forgotten map[fleet.TaskRef]uint64
	starts    []Start
}

// WorkerOption configures a worker.
type WorkerOption func(*Worker)

// WithWorkerClock sets the clock.
func WithWorkerClock(c clock.Clock) WorkerOption { return func(w *Worker) { w.clock = c } }

// WithUsageLag sets the delay after which the memory usage of a task is reported.
func WithUsageLag(d time.Duration) WorkerOption { return func(w *Worker) { w.usageLag = d } }

// NewWorker returns a worker without tasks and without a lease.
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
	w.faults = newFaultInjector(w.clock)
	// Starting the change counter from the wall clock keeps it from repeating numbers after a restart.
	w.bootedAt = w.clock.Now()
	w.firstChange = uint64(w.bootedAt.UnixMilli()) << changeBits
	w.lastChange = w.firstChange
	return w
}

// admit brings the tasks up to date, rejects a lower term and adopts a higher one.
func (w *Worker) admit(t fleet.Term) (time.Time, error) {
	now := w.clock.Now()
	w.advance(now)
	if t.Less(w.term) {
		return now, refusal{worker.CodeFenced, fmt.Sprintf("term %s is below %s", t, w.term)}
	}
	w.term = t
	return now, nil
}

func (w *Worker) advance(now time.Time) {
	isLapsed := !now.Before(w.leaseEnd)
	for ref, t := range w.tasks {
		if t.state == fleet.TaskPrepared && isLapsed {
			w.remove(ref)
			continue
		}
		if t.state != fleet.TaskRunning {
			continue
		}
		end := now
		if isLapsed {
			end = w.leaseEnd
		}
		if t.advance(end, isLapsed) || t.updateMemory(now, w.usageLag) {
			w.markChanged(t)
		}
	}
}

func (w *Worker) markChanged(t *task) {
	w.lastChange++
	t.changeNumber = w.lastChange
}

func (w *Worker) remove(r fleet.TaskRef) {
	delete(w.tasks, r)
	w.lastChange++
	w.forgotten[r] = w.lastChange
	if len(w.forgotten) > maxForgotten {
		// Dropping half of the entries at a time bounds the memory at a small amortised cost per task.
		w.pruneForgotten()
	}
}

func (w *Worker) pruneForgotten() {
	cs := slices.Sorted(maps.Values(w.forgotten))
	limit := cs[len(cs)/2]
	maps.DeleteFunc(w.forgotten, func(_ fleet.TaskRef, c uint64) bool { return c < limit })
	w.firstChange = limit
}

// Renew extends the lease and reports the changes since the given change number.
func (w *Worker) Renew(q worker.RenewRequest) (worker.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.admit(q.Term)
	if err != nil {
		return worker.Report{}, err
	}
	w.leaseEnd = now.Add(time.Duration(q.LeaseMillis) * time.Millisecond)
	return w.report(q.Since, false), nil
}

// Inspect raises the term and reports all tasks with their work.
func (w *Worker) Inspect(q worker.InspectRequest) (worker.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.admit(q.Term); err != nil {
		return worker.Report{}, err
	}
	return w.report(0, true), nil
}

func (w *Worker) report(since uint64, full bool) worker.Report {
	p := worker.Report{SinceUnixMillis: w.bootedAt.UnixMilli(), Term: w.term, Change: w.lastChange, Partial: since >= w.firstChange && since <= w.lastChange}
	if !p.Partial {
		p.Worker = &w.info
	}
	now := w.clock.Now()
	for _, t := range w.tasks {
		if p.Partial && t.changeNumber <= since {
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

// Prepare reserves resources for all tasks or for none.
func (w *Worker) Prepare(q worker.PrepareRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.admit(q.Term)
	if err != nil {
		return err
	}
	if !now.Before(w.leaseEnd) {
		return refusal{worker.CodeNoRoom, "the lease of the worker has lapsed"}
	}
	var added []*task
	u := w.usage()
	for _, m := range q.Tasks {
		if _, ok := w.tasks[m.Ref]; ok {
			continue
		}
		if _, ok := w.forgotten[m.Ref]; ok {
			return refusal{worker.CodeNoRoom, "the task was already removed from this worker"}
		}
		u.add(m.Shape)
		added = append(added, newTask(m, w.faults.get().FailTasks))
	}
	if text := u.exceeds(w.info); text != "" {
		return refusal{worker.CodeNoRoom, text}
	}
	for _, t := range added {
		w.tasks[t.msg.Ref] = t
		w.markChanged(t)
	}
	return nil
}

func (w *Worker) usage() usage {
	var u usage
	for _, t := range w.tasks {
		if t.state == fleet.TaskPrepared || t.state == fleet.TaskRunning {
			u.add(t.msg.Shape)
		}
	}
	return u
}

// Start starts prepared tasks, all or none.
func (w *Worker) Start(q worker.RefsRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.admit(q.Term)
	if err != nil {
		return err
	}
	ts, err := w.findTasks(q.Refs)
	if err != nil {
		return err
	}
	for _, t := range ts {
		if t.state != fleet.TaskPrepared {
			continue
		}
		t.start(now)
		w.markChanged(t)
		if len(w.starts) < maxStarts {
			w.starts = append(w.starts, w.newStart(t, now))
		}
	}
	return nil
}

func (w *Worker) newStart(t *task, now time.Time) Start {
	r := t.msg.Ref
	return Start{Worker: w.info.Name, Job: r.Job, Attempt: r.Attempt, Task: r.Task, Key: t.work.Key, At: now}
}

func (w *Worker) findTasks(rs []fleet.TaskRef) ([]*task, error) {
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

// Stop stops tasks; a task that is not on the worker counts as stopped.
func (w *Worker) Stop(q worker.StopRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.admit(q.Term)
	if err != nil {
		return err
	}
	grace := time.Duration(q.GraceMillis) * time.Millisecond
	for _, r := range q.Refs {
		t, ok := w.tasks[r]
		switch {
		case !ok:
		case t.state == fleet.TaskPrepared:
			w.remove(r)
		case t.state == fleet.TaskRunning:
			t.stop(now, grace)
			t.advance(now, false)
			w.markChanged(t)
		}
	}
	return nil
}

// Throttle limits the speed of a task to a share of the full speed.
func (w *Worker) Throttle(q worker.ThrottleRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.admit(q.Term)
	if err != nil {
		return err
	}
	ts, err := w.findTasks([]fleet.TaskRef{q.Ref})
	if err != nil {
		return err
	}
	ts[0].throttle(now, q.Share)
	w.markChanged(ts[0])
	return nil
}

// Forget removes tasks that have ended.
func (w *Worker) Forget(q worker.RefsRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.admit(q.Term); err != nil {
		return err
	}
	for _, r := range q.Refs {
		t, ok := w.tasks[r]
		if ok && t.state != fleet.TaskRunning && t.state != fleet.TaskPrepared {
			w.remove(r)
		}
	}
	return nil
}

// Answer returns the answer of a task, which must be done.
func (w *Worker) Answer(r fleet.TaskRef) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.clock.Now())
	ts, err := w.findTasks([]fleet.TaskRef{r})
	if err != nil {
		return nil, err
	}
	if ts[0].state != fleet.TaskDone {
		return nil, refusal{worker.CodeNoTask, "the task is not done"}
	}
	return ts[0].answer(), nil
}

// Starts returns all recorded starts, with the present state of their tasks.
func (w *Worker) Starts() []Start {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.clock.Now())
	ss := slices.Clone(w.starts)
	for i, s := range ss {
		r := fleet.TaskRef{Job: s.Job, Attempt: s.Attempt, Task: s.Task}
		if t, ok := w.tasks[r]; ok {
			ss[i].State = string(t.state)
		}
	}
	return ss
}

func sortedValues[V any](m map[string]V) []V {
	vs := make([]V, 0, len(m))
	for _, k := range slices.SortedFunc(maps.Keys(m), cmp.Compare) {
		vs = append(vs, m[k])
	}
	return vs
}
