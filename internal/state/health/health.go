package health

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// scoreLimit is the score from which a worker is quarantined or a job is refused. A failure of full weight scores 1.
	scoreLimit = 2.9
	// maxFailures is the number of failures after which a job is refused whatever its score.
	maxFailures = 8
	// The first quarantine lasts quarantineRuns times the mean run time of jobs, but at least minFirstQuarantine and at
	// most firstQuarantine, which also applies while no run time is known. Each further one in a row doubles it up to
	// maxQuarantine.
	quarantineRuns     = 2
	minFirstQuarantine = 5 * time.Second
	firstQuarantine    = 5 * time.Minute
	maxQuarantine      = time.Hour
	// runTimeWeight is the weight of one run in the moving average of run times.
	runTimeWeight = 1.0 / 16
	// maxEvidence is the maximum number of failures kept for one worker, and of workers kept for one job.
	maxEvidence = 16
	// rackWindow is the period within which failures of a rack's workers are correlated.
	rackWindow = 10 * time.Minute
	// minRackJobs is the minimum number of different jobs that failed in a rack before it is quarantined.
	minRackJobs = 5
	// rackFactor is the minimum ratio of the jobs that failed only in the rack to those that failed only in some other
	// rack, counted over all other racks.
	rackFactor = 4
	// rampTime is how long a worker that joined or returned stays on probation unless a job succeeds earlier.
	rampTime = 2 * time.Minute
	// maxRampShare is the maximum fraction of all workers that may be on probation because they joined recently.
	maxRampShare = 0.25
	// maxQuarantineShare is the maximum fraction of all workers that may be quarantined at the same time.
	maxQuarantineShare = 0.5
)

// State is the health state of a worker.
type State string

// States of a worker.
const (
	Good        State = "Good"
	Quarantined State = "Quarantined"
	// Probation limits a worker to one job at a time until one succeeds.
	Probation State = "Probation"
)

// Transition is a change of the state of a worker, with its reason and, for a quarantine, its expected end.
type Transition struct {
	Worker string
	State  State
	Reason string
	Until  time.Time
	// Jobs is the number of jobs that failed on the worker since its last success.
	Jobs int
}

// WorkerRef is a worker with its rack.
type WorkerRef struct {
	Worker string
	Rack   string
}

// evidence is one failure of a job on a worker.
type evidence struct {
	weight float64
	at     time.Time
}

type worker struct {
	rack string
	// failures holds the failures since the last success by job id.
	failures map[string]evidence
	state    State
	// rampEnd is when the probation of a worker that joined recently ends.
	rampEnd time.Time
	// quarantinedAt is when the last quarantine began, and quarantines the number of quarantines since the last success.
	quarantinedAt time.Time
	quarantines   int
	reason        string
	// hasLeft is set once the worker has left.
	hasLeft bool
	// isRamping is set while the worker is on probation only because it joined recently; such a probation ends by time.
	isRamping bool
}

// job is what is known of a job that failed: the workers that it failed on and its number of failures.
type job struct {
	workers  []string
	failures int
}

// Tracker keeps the evidence against workers and jobs. It is not safe for concurrent use.
type Tracker struct {
	workers map[string]*worker
	jobs    map[string]*job
	// meanRunTime is a moving average of the run times of successful jobs; zero while there was none.
	meanRunTime time.Duration
	transitions []Transition
	// unweighted disables the weighting of failures by workers, so that tests can measure its effect.
	unweighted bool
}

// New returns a Tracker without evidence.
func New() *Tracker {
	return &Tracker{workers: map[string]*worker{}, jobs: map[string]*job{}}
}

func (t *Tracker) workerAt(p WorkerRef) *worker {
	w := t.workers[p.Worker]
	if w == nil {
		w = &worker{failures: map[string]evidence{}, state: Good}
		t.workers[p.Worker] = w
	}
	w.rack = p.Rack
	w.hasLeft = false
	return w
}

// Failed records an attempt that failed on the workers; all is the number of workers in total and racks that by rack.
func (t *Tracker) Failed(id string, ps []WorkerRef, at time.Time, all int, racks map[string]int) {
	j := t.jobs[id]
	if j == nil {
		j = &job{}
		t.jobs[id] = j
	}
	j.failures++
	for _, p := range ps {
		if !slices.Contains(j.workers, p.Worker) && len(j.workers) < maxEvidence {
			j.workers = append(j.workers, p.Worker)
		}
	}
	t.distributeWeight(id, j, ps, at)
	for _, p := range ps {
		t.evaluate(p, at, all)
	}
	for _, p := range ps {
		t.evaluateRack(p.Rack, at, racks[p.Rack], all)
	}
}

// distributeWeight distributes the weight of a job's failures evenly over all workers that it failed on.
func (t *Tracker) distributeWeight(id string, j *job, ps []WorkerRef, at time.Time) {
	for _, p := range ps {
		w := t.workerAt(p)
		if len(w.failures) >= maxEvidence {
			t.evictOldest(w)
		}
		w.failures[id] = evidence{at: at}
	}
	for _, n := range j.workers {
		w := t.workers[n]
		if w == nil {
			continue
		}
		if e, ok := w.failures[id]; ok {
			e.weight = 1 / float64(len(j.workers))
			if t.unweighted {
				e.weight = 1
			}
			w.failures[id] = e
		}
	}
}

func (t *Tracker) evictOldest(w *worker) {
	var oldest string
	for id, e := range w.failures {
		if oldest == "" || e.at.Before(w.failures[oldest].at) || e.at.Equal(w.failures[oldest].at) && id < oldest {
			oldest = id
		}
	}
	delete(w.failures, oldest)
}

func (w *worker) score() float64 {
	x := 0.0
	for _, e := range w.failures {
		x += e.weight
	}
	return x
}

// evaluate quarantines a worker if its score is high enough, or if it failed at all while on probation.
func (t *Tracker) evaluate(p WorkerRef, at time.Time, all int) {
	w := t.workerAt(p)
	if w.state == Quarantined {
		return
	}
	if w.state == Probation {
		if w.score() == 0 || t.exceedsShare(1, all) {
			return
		}
		t.quarantine(p.Worker, at, "failed again on probation")
		return
	}
	if w.score() < scoreLimit || t.exceedsShare(1, all) {
		return
	}
	t.quarantine(p.Worker, at, fmt.Sprintf("failed %d different jobs in a row", len(w.failures)))
}

// exceedsShare reports whether more quarantines would exceed the maximum fraction of quarantined workers.
func (t *Tracker) exceedsShare(more, all int) bool {
	return float64(t.countQuarantined()+more) > maxQuarantineShare*float64(all)
}

func (t *Tracker) countQuarantined() int {
	n := 0
	for _, w := range t.workers {
		if w.state == Quarantined {
			n++
		}
	}
	return n
}

func (t *Tracker) quarantine(name string, at time.Time, why string) {
	w := t.workers[name]
	w.quarantines++
	w.quarantinedAt = at
	w.isRamping = false
	w.reason = why
	t.setState(name, w, Quarantined)
}

// quarantineEnd returns when the quarantine of a worker ends. It may change while the run times of jobs become known.
func (t *Tracker) quarantineEnd(w *worker) time.Time {
	d := firstQuarantine
	if t.meanRunTime > 0 {
		d = min(max(quarantineRuns*t.meanRunTime, minFirstQuarantine), firstQuarantine)
	}
	for i := 1; i < w.quarantines && d < maxQuarantine; i++ {
		d *= 2
	}
	return w.quarantinedAt.Add(min(d, maxQuarantine))
}

// RecordRunTime records the run time of a successful job, which determines the duration of quarantines.
func (t *Tracker) RecordRunTime(d time.Duration) {
	if t.meanRunTime == 0 {
		t.meanRunTime = d
		return
	}
	t.meanRunTime += time.Duration(runTimeWeight * float64(d-t.meanRunTime))
}

// setState changes the state of a worker and records the transition.
func (t *Tracker) setState(name string, w *worker, s State) {
	w.state = s
	x := Transition{Worker: name, State: s, Reason: w.reason, Jobs: len(w.failures)}
	if s == Quarantined {
		x.Until = t.quarantineEnd(w)
	}
	t.transitions = append(t.transitions, x)
}

// TakeTransitions returns the changes of state since the last call.
func (t *Tracker) TakeTransitions() []Transition {
	out := t.transitions
	t.transitions = nil
	return out
}

// evaluateRack quarantines a whole rack if at least half of its workers failed jobs within rackWindow, and if far more
// jobs failed only in this rack than failed only in some other rack.
func (t *Tracker) evaluateRack(rack string, at time.Time, size, all int) {
	if size < 2 || size == all || rack == "" {
		return
	}
	failing, trusted := 0, 0
	here, elsewhere := map[string]bool{}, map[string]bool{}
	for _, w := range t.workers {
		if w.rack == rack && t.collectRecent(w, at, here) {
			failing++
		}
		if w.rack != rack {
			t.collectRecent(w, at, elsewhere)
		}
		if w.rack == rack && w.state != Quarantined {
			trusted++
		}
	}
	if failing < max(2, (size+1)/2) || len(here) < max(minRackJobs, rackFactor*len(elsewhere)) {
		return
	}
	if t.exceedsShare(trusted, all) {
		return
	}
	why := fmt.Sprintf("rack %s is at fault: %d of its %d workers failed %d different jobs within %s", rack, failing, size, len(here), rackWindow)
	for n, w := range t.workers {
		if w.rack == rack && w.state != Quarantined {
			t.quarantine(n, at, why)
		}
	}
}

// collectRecent adds to jobs those that failed on a worker within rackWindow and in no other rack, and reports whether
// there are any.
func (t *Tracker) collectRecent(w *worker, at time.Time, jobs map[string]bool) bool {
	found := false
	for id, e := range w.failures {
		if at.Sub(e.at) <= rackWindow && t.failedOnlyIn(id, w.rack) {
			jobs[id] = true
			found = true
		}
	}
	return found
}

// failedOnlyIn reports whether a job failed only in the given rack. It is true also for a job that has succeeded elsewhere
// since, because its record is then gone.
func (t *Tracker) failedOnlyIn(id, rack string) bool {
	j := t.jobs[id]
	if j == nil {
		return true
	}
	return !slices.ContainsFunc(j.workers, func(n string) bool { return t.workers[n] != nil && t.workers[n].rack != rack })
}

// Lost records workers that did not start an attempt, that made no progress in it or that crashed; id names the job or the
// crash. This is evidence against the workers only, not against the job. Loss of contact is no such evidence, since it
// says nothing about the worker.
func (t *Tracker) Lost(id string, ps []WorkerRef, at time.Time, all int) {
	for _, p := range ps {
		w := t.workerAt(p)
		if len(w.failures) >= maxEvidence {
			t.evictOldest(w)
		}
		w.failures[id] = evidence{weight: 1, at: at}
		t.evaluate(p, at, all)
	}
}

// Succeeded records an attempt that succeeded on the workers. It clears the evidence against them, and charges the
// earlier failures of the job in full to the workers that it failed on.
func (t *Tracker) Succeeded(id string, workers []string, at time.Time, all int) {
	for _, n := range workers {
		w := t.workers[n]
		if w == nil {
			continue
		}
		clear(w.failures)
		if w.state == Probation {
			w.quarantines, w.isRamping, w.reason = 0, false, "a job succeeded"
			t.setState(n, w, Good)
		}
	}
	if j := t.jobs[id]; j != nil {
		for _, n := range j.workers {
			w := t.workers[n]
			if w == nil {
				continue
			}
			if e, ok := w.failures[id]; ok {
				e.weight = 1
				w.failures[id] = e
				t.evaluate(WorkerRef{Worker: n, Rack: w.rack}, at, all)
			}
		}
	}
	delete(t.jobs, id)
}

// Forget removes a job that left. If the job was at fault, its failures no longer count against the workers.
func (t *Tracker) Forget(id string, isFault bool) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	delete(t.jobs, id)
	if !isFault {
		return
	}
	for _, n := range j.workers {
		if w := t.workers[n]; w != nil {
			delete(w.failures, id)
		}
	}
}

// RefusalReason returns why a job should be refused, or an empty string while it may still succeed. Only healthy workers
// count as evidence against the job, and less the more other jobs failed on them.
func (t *Tracker) RefusalReason(id string) string {
	j := t.jobs[id]
	if j == nil {
		return ""
	}
	score := 0.0
	for _, n := range j.workers {
		w := t.workers[n]
		if w == nil || w.state != Good {
			continue
		}
		others := 0
		for o := range w.failures {
			if o != id {
				others++
			}
		}
		score += 1 / float64(1+others)
	}
	if score < scoreLimit && j.failures < maxFailures {
		return ""
	}
	return fmt.Sprintf("failed %d times, on %d different workers (%s)", j.failures, len(j.workers), strings.Join(j.workers, ", "))
}

// FindFailedWorkers returns the workers that a job failed on and should not be placed on again.
func (t *Tracker) FindFailedWorkers(id string) []string {
	if j := t.jobs[id]; j != nil {
		return j.workers
	}
	return nil
}

// State returns the state of a worker at a time and the reason for it. A quarantine that is over becomes a probation.
func (t *Tracker) State(name string, at time.Time) (State, string) {
	w := t.workers[name]
	if w == nil {
		return Good, ""
	}
	if w.state == Quarantined && !at.Before(t.quarantineEnd(w)) {
		t.setState(name, w, Probation)
	}
	if w.isRamping && !at.Before(w.rampEnd) {
		w.isRamping, w.reason = false, "its probation is over"
		t.setState(name, w, Good)
	}
	if w.state == Good {
		return Good, ""
	}
	return w.state, w.reason
}

// Ramp puts a worker that joined or returned on probation, unless too many workers are on probation for that reason.
func (t *Tracker) Ramp(p WorkerRef, at time.Time, all int) {
	n := 1
	for _, w := range t.workers {
		if w.state == Probation && w.isRamping && at.Before(w.rampEnd) {
			n++
		}
	}
	w := t.workerAt(p)
	if w.state != Good || float64(n) > maxRampShare*float64(all) {
		return
	}
	w.isRamping, w.rampEnd = true, at.Add(rampTime)
	w.reason = "joined recently and runs one job at a time until one succeeds"
	t.setState(p.Worker, w, Probation)
}

// IsRamping reports whether a worker is on probation only because it joined recently.
func (t *Tracker) IsRamping(name string) bool {
	w := t.workers[name]
	return w != nil && w.state == Probation && w.isRamping
}

// Drop removes a worker that left. A quarantined worker is kept until its quarantine is over, so that it stays
// quarantined if it returns earlier.
func (t *Tracker) Drop(name string, at time.Time) {
	if w := t.workers[name]; w != nil {
		w.hasLeft = true
	}
	for n, w := range t.workers {
		isOver := w.state != Quarantined && !at.Before(w.rampEnd) || w.state == Quarantined && !at.Before(t.quarantineEnd(w))
		if w.hasLeft && (w.state == Good || isOver) {
			delete(t.workers, n)
		}
	}
}
