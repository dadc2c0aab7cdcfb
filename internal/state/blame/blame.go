package blame

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
	// firstQuarantine is the duration of the first quarantine; each further one in a row doubles it up to maxQuarantine.
	firstQuarantine = 5 * time.Minute
	maxQuarantine   = time.Hour
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

// Place is a worker with its rack.
type Place struct {
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
	// until is when the quarantine or the ramp ends, and duration that of the last quarantine.
	until    time.Time
	duration time.Duration
	reason   string
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

// Book keeps the evidence against workers and jobs. It is not safe for concurrent use.
type Book struct {
	workers map[string]*worker
	jobs    map[string]*job
	// unweighted disables the weighting of failures by workers, so that tests can measure its effect.
	unweighted bool
}

// New returns an empty Book.
func New() *Book {
	return &Book{workers: map[string]*worker{}, jobs: map[string]*job{}}
}

func (b *Book) workerAt(p Place) *worker {
	w := b.workers[p.Worker]
	if w == nil {
		w = &worker{failures: map[string]evidence{}, state: Good}
		b.workers[p.Worker] = w
	}
	w.rack = p.Rack
	w.hasLeft = false
	return w
}

// Failed records an attempt that failed on the places; all is the number of workers and racks their number by rack.
func (b *Book) Failed(id string, ps []Place, at time.Time, all int, racks map[string]int) {
	j := b.jobs[id]
	if j == nil {
		j = &job{}
		b.jobs[id] = j
	}
	j.failures++
	for _, p := range ps {
		if !slices.Contains(j.workers, p.Worker) && len(j.workers) < maxEvidence {
			j.workers = append(j.workers, p.Worker)
		}
	}
	b.distributeWeight(id, j, ps, at)
	for _, p := range ps {
		b.evaluate(p, at, all)
	}
	for _, p := range ps {
		b.evaluateRack(p.Rack, at, racks[p.Rack], all)
	}
}

// distributeWeight distributes the weight of a job's failures evenly over all workers that it failed on.
func (b *Book) distributeWeight(id string, j *job, ps []Place, at time.Time) {
	for _, p := range ps {
		w := b.workerAt(p)
		if len(w.failures) >= maxEvidence {
			b.evictOldest(w)
		}
		w.failures[id] = evidence{at: at}
	}
	for _, n := range j.workers {
		w := b.workers[n]
		if w == nil {
			continue
		}
		if e, ok := w.failures[id]; ok {
			e.weight = 1 / float64(len(j.workers))
			if b.unweighted {
				e.weight = 1
			}
			w.failures[id] = e
		}
	}
}

func (b *Book) evictOldest(w *worker) {
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
func (b *Book) evaluate(p Place, at time.Time, all int) {
	w := b.workerAt(p)
	if w.state == Quarantined {
		return
	}
	if w.state == Probation {
		if w.score() == 0 || b.exceedsShare(1, all) {
			return
		}
		b.quarantine(w, at, "failed again on probation")
		return
	}
	if w.score() < scoreLimit || b.exceedsShare(1, all) {
		return
	}
	b.quarantine(w, at, fmt.Sprintf("failed %d different jobs in a row", len(w.failures)))
}

// exceedsShare reports whether more quarantines would exceed the maximum fraction of quarantined workers.
func (b *Book) exceedsShare(more, all int) bool {
	return float64(b.countQuarantined()+more) > maxQuarantineShare*float64(all)
}

func (b *Book) countQuarantined() int {
	n := 0
	for _, w := range b.workers {
		if w.state == Quarantined {
			n++
		}
	}
	return n
}

func (b *Book) quarantine(w *worker, at time.Time, why string) {
	w.duration = min(max(2*w.duration, firstQuarantine), maxQuarantine)
	w.state = Quarantined
	w.isRamping = false
	w.until = at.Add(w.duration)
	w.reason = why
}

// evaluateRack quarantines a whole rack if at least half of its workers failed jobs within rackWindow, and if far more
// jobs failed only in this rack than failed only in some other rack.
func (b *Book) evaluateRack(rack string, at time.Time, size, all int) {
	if size < 2 || size == all || rack == "" {
		return
	}
	failing, trusted := 0, 0
	here, elsewhere := map[string]bool{}, map[string]bool{}
	for _, w := range b.workers {
		if w.rack == rack && b.collectRecent(w, at, here) {
			failing++
		}
		if w.rack != rack {
			b.collectRecent(w, at, elsewhere)
		}
		if w.rack == rack && w.state != Quarantined {
			trusted++
		}
	}
	if failing < max(2, (size+1)/2) || len(here) < max(minRackJobs, rackFactor*len(elsewhere)) {
		return
	}
	if b.exceedsShare(trusted, all) {
		return
	}
	why := fmt.Sprintf("rack %s is at fault: %d of its %d workers failed %d different jobs within %s", rack, failing, size, len(here), rackWindow)
	for _, w := range b.workers {
		if w.rack == rack && w.state != Quarantined {
			b.quarantine(w, at, why)
		}
	}
}

// collectRecent adds to jobs those that failed on a worker within rackWindow and in no other rack, and reports whether
// there are any.
func (b *Book) collectRecent(w *worker, at time.Time, jobs map[string]bool) bool {
	found := false
	for id, e := range w.failures {
		if at.Sub(e.at) <= rackWindow && b.failedOnlyIn(id, w.rack) {
			jobs[id] = true
			found = true
		}
	}
	return found
}

// failedOnlyIn reports whether a job failed only in the given rack. It is true also for a job that has succeeded elsewhere
// since, because its record is then gone.
func (b *Book) failedOnlyIn(id, rack string) bool {
	j := b.jobs[id]
	if j == nil {
		return true
	}
	return !slices.ContainsFunc(j.workers, func(n string) bool { return b.workers[n] != nil && b.workers[n].rack != rack })
}

// Lost records workers that did not start an attempt or were lost in it. This is evidence against the workers only, not
// against the job.
func (b *Book) Lost(id string, ps []Place, at time.Time, all int) {
	for _, p := range ps {
		w := b.workerAt(p)
		if len(w.failures) >= maxEvidence {
			b.evictOldest(w)
		}
		w.failures[id] = evidence{weight: 1, at: at}
		b.evaluate(p, at, all)
	}
}

// Succeeded records an attempt that succeeded on the workers. It clears the evidence against them, and charges the
// earlier failures of the job in full to the workers that it failed on.
func (b *Book) Succeeded(id string, workers []string, at time.Time, all int) {
	for _, n := range workers {
		w := b.workers[n]
		if w == nil {
			continue
		}
		clear(w.failures)
		if w.state == Probation {
			w.state, w.duration, w.isRamping = Good, 0, false
		}
	}
	if j := b.jobs[id]; j != nil {
		for _, n := range j.workers {
			w := b.workers[n]
			if w == nil {
				continue
			}
			if e, ok := w.failures[id]; ok {
				e.weight = 1
				w.failures[id] = e
				b.evaluate(Place{Worker: n, Rack: w.rack}, at, all)
			}
		}
	}
	delete(b.jobs, id)
}

// Forget removes a job that left. If the job was at fault, its failures no longer count against the workers.
func (b *Book) Forget(id string, isFault bool) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	delete(b.jobs, id)
	if !isFault {
		return
	}
	for _, n := range j.workers {
		if w := b.workers[n]; w != nil {
			delete(w.failures, id)
		}
	}
}

// Hopeless returns why a job should be refused, or an empty string while it may still succeed. Only healthy workers
// count as evidence against the job, and less the more other jobs failed on them.
func (b *Book) Hopeless(id string) string {
	j := b.jobs[id]
	if j == nil {
		return ""
	}
	score := 0.0
	for _, n := range j.workers {
		w := b.workers[n]
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

// Avoid returns the workers that a job failed on and should not be placed on again.
func (b *Book) Avoid(id string) []string {
	if j := b.jobs[id]; j != nil {
		return j.workers
	}
	return nil
}

// State returns the state of a worker at a time and the reason for it. A quarantine that is over becomes a probation.
func (b *Book) State(name string, at time.Time) (State, string) {
	w := b.workers[name]
	if w == nil {
		return Good, ""
	}
	if w.state == Quarantined && !at.Before(w.until) {
		w.state = Probation
	}
	if w.isRamping && !at.Before(w.until) {
		w.state, w.isRamping = Good, false
	}
	if w.state == Good {
		return Good, ""
	}
	return w.state, w.reason
}

// Ramp puts a worker that joined or returned on probation, unless too many workers are on probation for that reason.
func (b *Book) Ramp(p Place, at time.Time, all int) {
	n := 1
	for _, w := range b.workers {
		if w.state == Probation && w.isRamping && at.Before(w.until) {
			n++
		}
	}
	w := b.workerAt(p)
	if w.state != Good || float64(n) > maxRampShare*float64(all) {
		return
	}
	w.state, w.isRamping, w.until = Probation, true, at.Add(rampTime)
	w.reason = "joined recently and runs one job at a time until one succeeds"
}

// IsRamping reports whether a worker is on probation only because it joined recently.
func (b *Book) IsRamping(name string) bool {
	w := b.workers[name]
	return w != nil && w.state == Probation && w.isRamping
}

// Drop removes a worker that left. A quarantined worker is kept until its quarantine is over, so that it stays
// quarantined if it returns earlier.
func (b *Book) Drop(name string, at time.Time) {
	if w := b.workers[name]; w != nil {
		w.hasLeft = true
	}
	for n, w := range b.workers {
		if w.hasLeft && (w.state == Good || !at.Before(w.until)) {
			delete(b.workers, n)
		}
	}
}
