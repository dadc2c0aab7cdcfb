package blame

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// guilty is the evidence from which a worker is quarantined or a job refused.
	guilty = 2.9
	// maxTries bounds the failures of one job, whatever the evidence.
	maxTries = 8
	// firstQuarantine doubles each time up to maxQuarantine.
	firstQuarantine = 5 * time.Minute
	maxQuarantine   = time.Hour
	// maxEvidence bounds what is kept of one worker.
	maxEvidence = 16
	// window is how long failures of a rack's workers count together.
	window = 10 * time.Minute
	// minRackJobs is the number of different jobs that must fail before a rack is blamed.
	minRackJobs = 5
	// rackFactor is how much more jobs must point to a rack than to all others.
	rackFactor = 4
	// rampTime is how long a worker that joins or returns stays on probation unless a job succeeds sooner.
	rampTime = 2 * time.Minute
	// maxRamp is the part of all workers that may be on probation because they are new.
	maxRamp = 0.25
	// maxShare is the part of all workers that may be quarantined at a time.
	maxShare = 0.5
)

// State says how far a worker is trusted.
type State string

// States of a worker.
const (
	Good        State = "Good"
	Quarantined State = "Quarantined"
	// Probation admits one job at a time until one succeeds.
	Probation State = "Probation"
)

// Place names a worker and its rack.
type Place struct {
	Worker string
	Rack   string
}

type evidence struct {
	weight float64
	at     time.Time
}

type worker struct {
	rack  string
	fails map[string]evidence
	state State
	until time.Time
	term  time.Duration
	why   string
	gone  bool
	// ramp ends a probation by time, for a worker with no failures.
	ramp bool
}

type job struct {
	on    []string
	tries int
}

// Book keeps the evidence; it is used by one goroutine.
type Book struct {
	workers map[string]*worker
	jobs    map[string]*job
	// plain blames every failure on its worker in full, so that tests show the difference.
	plain bool
}

// New returns an empty book.
func New() *Book {
	return &Book{workers: map[string]*worker{}, jobs: map[string]*job{}}
}

func (b *Book) get(p Place) *worker {
	w := b.workers[p.Worker]
	if w == nil {
		w = &worker{fails: map[string]evidence{}, state: Good}
		b.workers[p.Worker] = w
	}
	w.rack = p.Rack
	w.gone = false
	return w
}

// Failed notes that an attempt failed on the places, of a fleet with the given numbers of workers in all and by rack.
func (b *Book) Failed(id string, ps []Place, at time.Time, all int, racks map[string]int) {
	j := b.jobs[id]
	if j == nil {
		j = &job{}
		b.jobs[id] = j
	}
	j.tries++
	for _, p := range ps {
		if !slices.Contains(j.on, p.Worker) && len(j.on) < maxEvidence {
			j.on = append(j.on, p.Worker)
		}
	}
	b.weigh(id, j, ps, at)
	for _, p := range ps {
		b.judge(p, at, all)
	}
	for _, p := range ps {
		b.judgeRack(p.Rack, at, racks[p.Rack], all)
	}
}

// weigh spreads the blame for a job over all workers that it failed on.
func (b *Book) weigh(id string, j *job, ps []Place, at time.Time) {
	for _, p := range ps {
		w := b.get(p)
		if len(w.fails) >= maxEvidence {
			b.dropOldest(w)
		}
		w.fails[id] = evidence{at: at}
	}
	for _, n := range j.on {
		w := b.workers[n]
		if w == nil {
			continue
		}
		if e, ok := w.fails[id]; ok {
			e.weight = 1 / float64(len(j.on))
			if b.plain {
				e.weight = 1
			}
			w.fails[id] = e
		}
	}
}

func (b *Book) dropOldest(w *worker) {
	var oldest string
	for id, e := range w.fails {
		if oldest == "" || e.at.Before(w.fails[oldest].at) || e.at.Equal(w.fails[oldest].at) && id < oldest {
			oldest = id
		}
	}
	delete(w.fails, oldest)
}

func (w *worker) score() float64 {
	x := 0.0
	for _, e := range w.fails {
		x += e.weight
	}
	return x
}

// judge quarantines a worker on enough evidence, or at once while it is on probation.
func (b *Book) judge(p Place, at time.Time, all int) {
	w := b.get(p)
	if w.state == Quarantined {
		return
	}
	if w.state == Probation {
		if w.score() == 0 || b.isTooMany(1, all) {
			return
		}
		b.quarantine(w, at, "failed again on probation")
		return
	}
	if w.score() < guilty || b.isTooMany(1, all) {
		return
	}
	b.quarantine(w, at, fmt.Sprintf("failed %d different jobs in a row", len(w.fails)))
}

// isTooMany reports whether more quarantines would leave less than the share of the workers that must stay.
func (b *Book) isTooMany(more, all int) bool {
	return float64(b.quarantined()+more) > maxShare*float64(all)
}

func (b *Book) quarantined() int {
	n := 0
	for _, w := range b.workers {
		if w.state == Quarantined {
			n++
		}
	}
	return n
}

func (b *Book) quarantine(w *worker, at time.Time, why string) {
	w.term = min(max(2*w.term, firstQuarantine), maxQuarantine)
	w.state = Quarantined
	w.ramp = false
	w.until = at.Add(w.term)
	w.why = why
}

// judgeRack quarantines a whole rack when half of its workers failed different jobs at about the same time, and jobs
// that failed in no other rack point to it far more than to all others.
func (b *Book) judgeRack(rack string, at time.Time, size, all int) {
	if size < 2 || size == all || rack == "" {
		return
	}
	failing, trusted := 0, 0
	here, elsewhere := map[string]bool{}, map[string]bool{}
	for _, w := range b.workers {
		if w.rack == rack && b.note(w, at, here) {
			failing++
		}
		if w.rack != rack {
			b.note(w, at, elsewhere)
		}
		if w.rack == rack && w.state != Quarantined {
			trusted++
		}
	}
	if failing < max(2, (size+1)/2) || len(here) < max(minRackJobs, rackFactor*len(elsewhere)) {
		return
	}
	if b.isTooMany(trusted, all) {
		return
	}
	why := fmt.Sprintf("rack %s is at fault: %d of its %d workers failed %d different jobs within %s", rack, failing, size, len(here), window)
	for _, w := range b.workers {
		if w.rack == rack && w.state != Quarantined {
			b.quarantine(w, at, why)
		}
	}
}

// note collects the jobs that lately failed on a worker and in no other rack, and reports whether there are any.
func (b *Book) note(w *worker, at time.Time, jobs map[string]bool) bool {
	any := false
	for id, e := range w.fails {
		if at.Sub(e.at) <= window && b.isOnlyIn(id, w.rack) {
			jobs[id] = true
			any = true
		}
	}
	return any
}

// isOnlyIn reports whether a job failed in one rack only; one that ended well elsewhere since counts too.
func (b *Book) isOnlyIn(id, rack string) bool {
	j := b.jobs[id]
	if j == nil {
		return true
	}
	return !slices.ContainsFunc(j.on, func(n string) bool { return b.workers[n] != nil && b.workers[n].rack != rack })
}

// Lost notes a worker that took no part in an attempt or was lost; it says nothing about the job.
func (b *Book) Lost(id string, ps []Place, at time.Time, all int) {
	for _, p := range ps {
		w := b.get(p)
		if len(w.fails) >= maxEvidence {
			b.dropOldest(w)
		}
		w.fails[id] = evidence{weight: 1, at: at}
		b.judge(p, at, all)
	}
}

// Succeeded clears the workers of an attempt, and blames the workers that the job failed on before.
func (b *Book) Succeeded(id string, workers []string, at time.Time, all int) {
	for _, n := range workers {
		w := b.workers[n]
		if w == nil {
			continue
		}
		clear(w.fails)
		if w.state == Probation {
			w.state, w.term, w.ramp = Good, 0, false
		}
	}
	if j := b.jobs[id]; j != nil {
		for _, n := range j.on {
			w := b.workers[n]
			if w == nil {
				continue
			}
			if e, ok := w.fails[id]; ok {
				e.weight = 1
				w.fails[id] = e
				b.judge(Place{Worker: n, Rack: w.rack}, at, all)
			}
		}
	}
	delete(b.jobs, id)
}

// Forget drops the evidence about a job that left, and with it the blame of workers for it if the job was at fault.
func (b *Book) Forget(id string, isFault bool) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	delete(b.jobs, id)
	if !isFault {
		return
	}
	for _, n := range j.on {
		if w := b.workers[n]; w != nil {
			delete(w.fails, id)
		}
	}
}

// Hopeless returns why a job can never run, or nothing while that is open.
func (b *Book) Hopeless(id string) string {
	j := b.jobs[id]
	if j == nil {
		return ""
	}
	score := 0.0
	for _, n := range j.on {
		w := b.workers[n]
		if w == nil || w.state != Good {
			continue
		}
		others := 0
		for o := range w.fails {
			if o != id {
				others++
			}
		}
		score += 1 / float64(1+others)
	}
	if score < guilty && j.tries < maxTries {
		return ""
	}
	return fmt.Sprintf("failed %d times, on %d different workers (%s)", j.tries, len(j.on), strings.Join(j.on, ", "))
}

// Avoid returns the workers that a job failed on.
func (b *Book) Avoid(id string) []string {
	if j := b.jobs[id]; j != nil {
		return j.on
	}
	return nil
}

// State returns how far a worker is trusted at a time, and why.
func (b *Book) State(name string, at time.Time) (State, string) {
	w := b.workers[name]
	if w == nil {
		return Good, ""
	}
	if w.state == Quarantined && !at.Before(w.until) {
		w.state = Probation
	}
	if w.ramp && !at.Before(w.until) {
		w.state, w.ramp = Good, false
	}
	if w.state == Good {
		return Good, ""
	}
	return w.state, w.why
}

// Ramp puts a worker that joins or returns on probation, unless much of the fleet is new.
func (b *Book) Ramp(p Place, at time.Time, all int) {
	n := 1
	for _, w := range b.workers {
		if w.state == Probation && w.ramp && at.Before(w.until) {
			n++
		}
	}
	w := b.get(p)
	if w.state != Good || float64(n) > maxRamp*float64(all) {
		return
	}
	w.state, w.ramp, w.until = Probation, true, at.Add(rampTime)
	w.why = "joined lately and takes one job at a time until one succeeds"
}

// IsRamping reports whether a worker is on probation only because it joined lately.
func (b *Book) IsRamping(name string) bool {
	w := b.workers[name]
	return w != nil && w.state == Probation && w.ramp
}

// Drop forgets a worker that left; one that is quarantined is remembered until its time is over.
func (b *Book) Drop(name string, at time.Time) {
	if w := b.workers[name]; w != nil {
		w.gone = true
	}
	for n, w := range b.workers {
		if w.gone && (w.state == Good || !at.Before(w.until)) {
			delete(b.workers, n)
		}
	}
}
