package tests

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
)

const (
	// soakMaxStall is how long a job may have nothing running beside room for it, and soakCalmBefore how long before that no
	// fault may have been in force, for the job to count as stalled.
	soakMaxStall   = 3 * time.Second
	soakCalmBefore = 4 * time.Second
	// soakLastingStop is the time after its last run from which a task that lasts counts by itself.
	soakLastingStop    = 6 * time.Second
	soakSampleInterval = 50 * time.Millisecond
	soakStallMessage   = "job is stalled"
)

// stallMonitor looks for accepted jobs that stand still beside room for them while no fault is in force, from what clients and
// workers see.
type stallMonitor struct {
	s *soakSite
	// mu guards the fields below.
	mu   sync.Mutex
	jobs []*watchedJob
	// active counts the faults in force; lastFault is when the last one was in force.
	active    int
	lastFault time.Time
	// longestGap is the longest time between two samples, which tells how busy the machine was.
	longestGap time.Duration
}

// watchedJob is an accepted job.
type watchedJob struct {
	job        *soakJob
	acceptedAt time.Time
	// stalls holds what stands still now, by its name.
	stalls map[string]*stall
	// lastRuns holds when each task that lasts was last seen on a worker, by its step and index.
	lastRuns map[[2]int]time.Time
	// lastOn holds the workers that the job was last seen on.
	lastOn []string
	// isOver is set once the job has ended or its client begins to cancel it.
	isOver bool
}

// stall is a job or a task that lasts which has been idle beside room for it since a time.
type stall struct {
	what       string
	since      time.Time
	isReported bool
}

// watch samples the jobs until the test ends.
func (m *stallMonitor) watch() {
	for m.s.t.Context().Err() == nil {
		sampledAt := time.Now()
		for _, x := range m.sample(sampledAt) {
			m.report(x)
		}
		askedFor := time.Since(sampledAt)
		m.s.sleep(soakSampleInterval)
		m.noteGap(time.Since(sampledAt) - askedFor)
	}
}

func (m *stallMonitor) noteGap(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longestGap = max(m.longestGap, d)
}

// getLongestGap returns the longest time between two samples so far.
func (m *stallMonitor) getLongestGap() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.longestGap
}

// accept adds a job that a host has accepted.
func (m *stallMonitor) accept(j *soakJob) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.jobs = append(m.jobs, &watchedJob{job: j, acceptedAt: time.Now(), stalls: map[string]*stall{}, lastRuns: map[[2]int]time.Time{}})
}

// end notes that a job has ended or is being cancelled.
func (m *stallMonitor) end(j *soakJob) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.jobs {
		x.isOver = x.isOver || x.job == j
	}
}

// beginFault notes that a fault is in force until the returned function is called.
func (m *stallMonitor) beginFault() func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.active--
		m.lastFault = time.Now()
	}
}

// sample updates the stalls of all open jobs, and returns the jobs with a calm stall that is not reported.
func (m *stallMonitor) sample(now time.Time) []*watchedJob {
	assigned, done := m.s.runners.FindAssigned(), m.s.runners.FindDone()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.active > 0 {
		m.lastFault = now
	}
	rooms, running := m.findRooms(assigned)
	var out []*watchedJob
	for _, x := range m.jobs {
		if x.isOver {
			continue
		}
		x.update(now, rooms, running[x.job.id], done)
		isCalm := now.Sub(m.lastFault) >= soakMaxStall+soakCalmBefore
		if isCalm && x.findOverdue(now) != nil {
			out = append(out, x)
		}
	}
	return out
}

// findRooms returns what is free on the usable workers, and the tasks of each job with their workers.
func (m *stallMonitor) findRooms(assigned map[string][]port.RunRef) ([]*room, map[string]map[port.RunRef]string) {
	var rooms []*room
	running := map[string]map[port.RunRef]string{}
	for _, w := range m.s.workers {
		ts, isUp := assigned[w.worker.Name]
		r := newRoom(w)
		for _, t := range ts {
			if running[t.Job] == nil {
				running[t.Job] = map[port.RunRef]string{}
			}
			t.Run = 0
			running[t.Job][t] = w.worker.Name
			r.take(m.s.plan.byID[t.Job], t)
		}
		if !r.fits() && !w.isOverfull {
			w.isOverfull = true
			m.s.violate("%s runs more than it holds: %v", w.worker.Name, ts)
		}
		if isUp && w.isUsable() {
			rooms = append(rooms, r)
		}
	}
	return rooms, running
}

// report reports the stalls of a job, unless a host says that the job has ended.
func (m *stallMonitor) report(x *watchedJob) {
	state, status := "", 0
	for _, h := range m.s.hosts {
		if !h.isFaultFree(time.Now().Add(-soakContactTime)) {
			continue
		}
		if state, status = m.s.state(h, x.job); status != 0 {
			break
		}
	}
	// A host that does not have the queue says nothing about the job.
	if status == 0 || status == http.StatusNotFound {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	x.isOver = x.isOver || isFinal(state)
	now := time.Now()
	for y := x.findOverdue(now); y != nil && !x.isOver; y = x.findOverdue(now) {
		y.isReported = true
		m.s.violate("%s: %s of %s in %s, accepted %s ago: %s, beside room for it twice over since %s for %s, last on %v, %d more so, %q",
			soakStallMessage, x.job.id, x.job.org, x.job.queue, now.Sub(x.acceptedAt).Round(time.Millisecond), y.what,
			y.since.UTC().Format("15:04:05.000"), now.Sub(y.since).Round(time.Millisecond), x.lastOn, m.countStalled(now, x), state)
	}
}

// countStalled returns the number of other jobs of the same organisation and queue that stand still as long.
func (m *stallMonitor) countStalled(now time.Time, x *watchedJob) int {
	n := 0
	for _, o := range m.jobs {
		isAlike := o != x && !o.isOver && o.job.org == x.job.org && o.job.queue == x.job.queue
		if isAlike && slices.ContainsFunc(o.listStalls(), func(y *stall) bool { return now.Sub(y.since) >= soakMaxStall }) {
			n++
		}
	}
	return n
}

func (x *watchedJob) listStalls() []*stall {
	var out []*stall
	for _, y := range x.stalls {
		out = append(out, y)
	}
	return out
}

// findOverdue returns a stall that has lasted for soakMaxStall and is not reported, or nil.
func (x *watchedJob) findOverdue(now time.Time) *stall {
	for _, y := range x.stalls {
		if !y.isReported && now.Sub(y.since) >= soakMaxStall {
			return y
		}
	}
	return nil
}

// update notes what of the job stands still.
func (x *watchedJob) update(now time.Time, rooms []*room, running map[port.RunRef]string, done map[port.RunRef]bool) {
	if len(running) > 0 {
		x.lastOn = x.lastOn[:0]
	}
	for t, w := range running {
		x.lastOn = append(x.lastOn, w)
		x.lastRuns[[2]int{t.Step, t.Task}] = now
	}
	idle := map[string]bool{}
	for s, y := range x.job.steps {
		if !x.job.isTurn(s, done) || !fitsTwice(x.job, s, rooms) {
			continue
		}
		if len(running) == 0 {
			idle[fmt.Sprintf("nothing runs of step %d %+v", s, y)] = true
		}
		for k := range y.Count {
			if y.Lasts && running[port.RunRef{Job: x.job.id, Step: s, Task: k}] == "" && now.Sub(x.lastRun(s, k)) >= soakLastingStop {
				idle[fmt.Sprintf("task %d of step %d %+v does not run", k, s, y)] = true
			}
		}
	}
	for k := range x.stalls {
		if !idle[k] {
			delete(x.stalls, k)
		}
	}
	for k := range idle {
		if x.stalls[k] == nil {
			x.stalls[k] = &stall{what: k, since: now}
		}
	}
}

// lastRun returns when a task that lasts was last seen on a worker, or when its job was accepted.
func (x *watchedJob) lastRun(step, task int) time.Time {
	if t, ok := x.lastRuns[[2]int{step, task}]; ok {
		return t
	}
	return x.acceptedAt
}

// isTurn reports whether a task of a step could run: the step is not done, and those that it starts after are.
func (j *soakJob) isTurn(step int, done map[port.RunRef]bool) bool {
	return !j.isStepDone(step, done) && !slices.ContainsFunc(j.steps[step].StartAfter, func(s int) bool { return !j.isStepDone(s, done) })
}

// isStepDone reports whether all tasks of a step are done, or any task of a gang.
func (j *soakJob) isStepDone(step int, done map[port.RunRef]bool) bool {
	x := j.steps[step]
	for k := range x.Count {
		if is := done[port.RunRef{Job: j.id, Step: step, Task: k}]; is == x.Gang {
			return is
		}
	}
	return !x.Gang
}

// room is what is free on a worker.
type room struct {
	worker *soakWorker
	gpus   int
	cpu    int
	memory int
	// ofStep counts the tasks of each step, whose index is in a reference without task.
	ofStep map[port.RunRef]int
}

func newRoom(w *soakWorker) *room {
	return &room{worker: w, gpus: soakWorkerGPUs, cpu: soakWorkerCPU, memory: soakWorkerMemory, ofStep: map[port.RunRef]int{}}
}

// take takes the room of a task; a job that no client submitted has none.
func (r *room) take(j *soakJob, t port.RunRef) {
	if j == nil || t.Step >= len(j.steps) {
		return
	}
	x := j.steps[t.Step]
	r.gpus -= x.GPUs
	r.cpu -= x.CPU
	r.memory -= x.Memory
	r.ofStep[port.RunRef{Job: t.Job, Step: t.Step}]++
}

// fits reports whether no more runs on the worker than it holds.
func (r *room) fits() bool {
	return r.gpus >= 0 && r.cpu >= 0 && r.memory >= 0
}

// holds returns how many tasks of a step fit, up to limit.
func (r *room) holds(j *soakJob, step, limit int) int {
	x := j.steps[step]
	if x.Label != "" && !slices.Contains(r.worker.labels, x.Label) {
		return 0
	}
	n := limit
	for _, y := range [][2]int{{r.gpus, x.GPUs}, {r.cpu, x.CPU}, {r.memory, x.Memory}, {x.PerWorker - r.ofStep[port.RunRef{Job: j.id, Step: step}], min(x.PerWorker, 1)}} {
		if free, each := y[0], y[1]; each > 0 {
			n = min(n, free/each)
		}
	}
	return max(n, 0)
}

// fitsTwice reports whether two tasks of a step, or its gang twice, fit on the workers.
func fitsTwice(j *soakJob, step int, rooms []*room) bool {
	need, have := 2, 0
	if j.steps[step].Gang {
		need = 2 * j.steps[step].Count
	}
	for _, r := range rooms {
		have += r.holds(j, step, need)
	}
	return have >= need
}
