package host

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

const (
	// sampleInterval is the time between two looks of a stallMonitor.
	sampleInterval = 50 * time.Millisecond
	// maxStall is how long a job may have nothing running beside room for it, and calmBefore how long before that no fault
	// may have been in force, for the job to count as stalled.
	maxStall   = 3 * time.Second
	calmBefore = 4 * time.Second
)

// knownJob is an accepted job as its caller knows it.
type knownJob struct {
	id       string
	queue    string
	org      string
	steps    []jobs.Step
	accepted time.Time
	// idle tells since when the job has had nothing running.
	idle idleTime
	// lasting holds the same of each of its tasks that last, which are missed by themselves.
	lasting map[port.RunRef]*idleTime
	// isOver is set once the job has ended or is being cancelled.
	isOver bool
}

// idleTime is a time in which a job, or a task that lasts, has nothing running beside room for it.
type idleTime struct {
	// since is when it was first seen so; zero while it is not.
	since time.Time
	task  string
	// lastOn holds the workers that it was last seen on, and lastSeen when.
	lastOn   []string
	lastSeen time.Time
}

// stall is a time in which a job had nothing running beside room for it.
type stall struct {
	job      *knownJob
	task     string
	lastOn   []string
	from, to time.Time
	// isCalm is set when no fault was in force in the last maxStall of it and in calmBefore before that.
	isCalm bool
}

func (x stall) String() string {
	return fmt.Sprintf("%s of %s in %s: %s from %s for %s, last on %v", x.job.id, x.job.org, x.job.queue, x.task,
		x.from.Format("04:05.000"), x.to.Sub(x.from), x.lastOn)
}

// stallMonitor looks for jobs that have nothing running while one of their tasks could run and there is room for it twice
// over on the workers, as these know it.
type stallMonitor struct {
	s      *site
	roster *roster
	// mu guards the fields below.
	mu   sync.Mutex
	jobs []*knownJob
	// steps holds the steps of all jobs that were submitted, also of those that were not accepted as far as the caller knows.
	steps map[string][]jobs.Step
	// active counts the faults in force; lastFault is when the last one was in force.
	active    int
	lastFault time.Time
	stalls    []stall
}

// advance lets time pass and looks at the jobs meanwhile.
func (m *stallMonitor) advance(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		m.s.advance(min(sampleInterval, time.Until(until)))
		m.sample()
	}
}

// findStalls returns the stalls of at least a given time so far.
func (m *stallMonitor) findStalls(atLeast time.Duration) []stall {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, j := range m.jobs {
		m.endStalls(j, time.Now())
	}
	return slices.DeleteFunc(slices.Clone(m.stalls), func(x stall) bool { return x.to.Sub(x.from) < atLeast })
}

// submit notes that a job is being submitted.
func (m *stallMonitor) submit(id string, steps []jobs.Step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.steps == nil {
		m.steps = map[string][]jobs.Step{}
	}
	m.steps[id] = steps
}

// accept adds an accepted job.
func (m *stallMonitor) accept(id, queue, org string, steps []jobs.Step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.jobs = append(m.jobs, &knownJob{id: id, queue: queue, org: org, steps: steps, accepted: time.Now(), lasting: map[port.RunRef]*idleTime{}})
}

// cancel notes that a job is being cancelled.
func (m *stallMonitor) cancel(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, j := range m.jobs {
		if j.id == id {
			j.isOver = true
			m.endStalls(j, time.Now())
		}
	}
}

// findOpen returns the jobs that have neither ended nor are being cancelled.
func (m *stallMonitor) findOpen() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for _, j := range m.jobs {
		if !j.isOver {
			ids = append(ids, j.id)
		}
	}
	return ids
}

// beginFault notes that a fault is in force, until the returned function is called.
func (m *stallMonitor) beginFault() func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active++
	m.lastFault = time.Now()
	return sync.OnceFunc(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.active--
		m.lastFault = time.Now()
	})
}

// sample looks at all open jobs once.
func (m *stallMonitor) sample() {
	assigned, done, listed := m.s.runners.FindAssigned(), m.s.runners.FindDone(), m.s.runners.FindListedDone()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.active > 0 {
		m.lastFault = now
	}
	running := map[string][]string{}
	on := map[port.RunRef]string{}
	room := map[string]room{}
	for w, ts := range assigned {
		x := newRoom(m.findWorker(w))
		for _, t := range ts {
			t.Run = 0
			on[t] = w
			steps := m.steps[t.Job]
			if steps != nil {
				x.take(steps[t.Step], t)
			}
			if steps == nil || !isTaskDone(t, steps[t.Step], listed) {
				running[t.Job] = append(running[t.Job], w)
			}
		}
		if m.roster.isUsable(w) {
			room[w] = x
		}
	}
	for _, j := range m.jobs {
		if j.isOver {
			continue
		}
		if j.isOver = m.hasEnded(j.id); j.isOver {
			m.endStalls(j, now)
			continue
		}
		m.sampleLasting(j, on, done, room)
		step := j.findRunnable(done)
		isIdle := step >= 0 && len(running[j.id]) == 0 && fitsTwice(j, step, room)
		m.note(j, &j.idle, running[j.id], isIdle, func() string { return j.describe(step) })
	}
}

// note takes up whether a job, or a task of it that lasts, is idle beside room.
func (m *stallMonitor) note(j *knownJob, x *idleTime, on []string, isIdle bool, describe func() string) {
	now := time.Now()
	if len(on) > 0 {
		x.lastOn, x.lastSeen = on, now
	}
	if !isIdle {
		m.endStall(j, x, now)
		return
	}
	if x.since.IsZero() {
		x.since = now
	}
	x.task = describe()
	m.checkCalm(j, x, now)
}

// describe returns what a step needs.
func (j *knownJob) describe(step int) string {
	x := j.steps[step]
	return fmt.Sprintf("step %d (%d x %d accelerators, gang %v, label %q, per worker %d)", step, x.Tasks, x.Accelerators, x.Gang, x.Label, x.PerWorker)
}

// checkCalm records a calm stall as soon as it has lasted for maxStall.
func (m *stallMonitor) checkCalm(j *knownJob, i *idleTime, now time.Time) {
	if now.Sub(i.since) < maxStall || now.Sub(m.lastFault) < maxStall+calmBefore {
		return
	}
	for _, x := range m.stalls {
		if x.job == j && x.task == i.task && x.isCalm && x.from.Equal(i.since) {
			return
		}
	}
	m.s.log.Error("job is stalled", "Job", j.id, "Queue", j.queue, "Task", i.task, "Since", i.since)
	m.stalls = append(m.stalls, stall{job: j, task: i.task, lastOn: i.lastOn, from: i.since, to: now, isCalm: true})
}

// endStall notes that a job, or a task of it that lasts, is not stalled at a time.
func (m *stallMonitor) endStall(j *knownJob, x *idleTime, at time.Time) {
	if !x.since.IsZero() {
		m.stalls = append(m.stalls, stall{job: j, task: x.task, lastOn: x.lastOn, from: x.since, to: at})
	}
	x.since = time.Time{}
}

// endStalls notes that neither a job nor a task of it that lasts is stalled at a time.
func (m *stallMonitor) endStalls(j *knownJob, at time.Time) {
	m.endStall(j, &j.idle, at)
	for _, x := range j.lasting {
		m.endStall(j, x, at)
	}
}

// hasEnded reports whether any live host shows a job as ended.
func (m *stallMonitor) hasEnded(id string) bool {
	for _, h := range m.s.liveHosts() {
		if h := m.s.hosts[h]; h != nil {
			if p, ok := m.peek(h, id); ok && p >= intake.Completed {
				return true
			}
		}
	}
	return false
}

func (m *stallMonitor) findWorker(name string) fleet.Worker {
	for _, w := range m.s.workers {
		if w.Name == name {
			return w
		}
	}
	return fleet.Worker{}
}

// isTaskDone reports whether a task is done; the end of one task of a gang is that of all.
func isTaskDone(t port.RunRef, x jobs.Step, done map[port.RunRef]bool) bool {
	if !x.Gang {
		return done[t]
	}
	for t.Task = range x.Tasks {
		if done[t] {
			return true
		}
	}
	return false
}

// isStepDone reports whether all tasks of a step are done.
func (j *knownJob) isStepDone(step int, done map[port.RunRef]bool) bool {
	for k := range j.steps[step].Tasks {
		if !isTaskDone(port.RunRef{Job: j.id, Step: step, Task: k}, j.steps[step], done) {
			return false
		}
	}
	return true
}

// isDue reports whether all steps before a step are done.
func (j *knownJob) isDue(step int, done map[port.RunRef]bool) bool {
	return !slices.ContainsFunc(j.steps[step].After, func(a int) bool { return !j.isStepDone(a, done) })
}

// findRunnable returns a step with a task that could run, or -1; steps that last are left out.
func (j *knownJob) findRunnable(done map[port.RunRef]bool) int {
	for s, x := range j.steps {
		if !x.Lasts && !j.isStepDone(s, done) && j.isDue(s, done) {
			return s
		}
	}
	return -1
}

// room is what is free on a worker.
type room struct {
	worker       fleet.Worker
	accelerators int
	processors   int
	memory       fleet.Bytes
	// ofStep counts the tasks of each step.
	ofStep map[string]int
}

func newRoom(w fleet.Worker) room {
	return room{worker: w, accelerators: w.Accelerators, processors: w.Processors, memory: w.Memory, ofStep: map[string]int{}}
}

func stepName(job string, step int) string {
	return fmt.Sprint(job, "/", step)
}

func (r *room) take(x jobs.Step, t port.RunRef) {
	r.accelerators -= x.Accelerators
	r.processors -= x.Processors
	r.memory -= x.Memory
	r.ofStep[stepName(t.Job, t.Step)]++
}

// holds returns how many tasks of a step fit.
func (r *room) holds(j *knownJob, step int) int {
	x := j.steps[step]
	if x.Label != "" && !slices.Contains(strings.Split(r.worker.Labels, ","), x.Label) {
		return 0
	}
	n := 2 * x.Tasks
	if x.Accelerators > 0 {
		n = min(n, r.accelerators/x.Accelerators)
	}
	if x.Processors > 0 {
		n = min(n, r.processors/x.Processors)
	}
	if x.Memory > 0 {
		n = min(n, int(r.memory/x.Memory))
	}
	if x.PerWorker > 0 {
		n = min(n, x.PerWorker-r.ofStep[stepName(j.id, step)])
	}
	return max(n, 0)
}

// fitsTwice reports whether two tasks of a step, or its gang twice, fit on the workers.
func fitsTwice(j *knownJob, step int, rooms map[string]room) bool {
	need, have := 2, 0
	if j.steps[step].Gang {
		need = 2 * j.steps[step].Tasks
	}
	for _, r := range rooms {
		have += r.holds(j, step)
	}
	return have >= need
}

// peek returns the state of a job in the table of a host, without a read of the store.
func (m *stallMonitor) peek(h *Host, id string) (out intake.Progress, isKnown bool) {
	h.table.View(id, func(j *jobs.Job) {
		isKnown = j != nil
		switch {
		case j == nil:
		case j.State == jobs.Completed:
			out = intake.Completed
		case j.State == jobs.Failed:
			out = intake.Failed
		case j.State == jobs.Cancelled, j.IsCancelling:
			out = intake.Cancelled
		}
	})
	return out, isKnown
}
