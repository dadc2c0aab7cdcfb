package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// gangSpread and stepSpread are the standard deviations of the logarithm of the work between the tasks of a gang and
	// between the single tasks of a step.
	gangSpread = 0.05
	stepSpread = 0.2
	// minPercent and minTime are the least progress and time from which a rate is computed, and maxTime is the longest.
	minPercent = 5
	minTime    = 300 * time.Millisecond
	maxTime    = 3 * time.Second
	// completePercent is the progress of a task that may have completed its work some time ago.
	completePercent = 100
	// roundingError is the standard deviation of the difference between two percentages rounded down.
	roundingError = 0.41
	// maxGroups is the number of groups above which the oldest is forgotten; its evidence on the workers is kept.
	maxGroups = 256
)

// Group names tasks with about the same work that may be compared with each other.
type Group struct {
	Name string
	// IsGang is set for the tasks of one run of a gang, whose work differs less than that of single tasks.
	IsGang bool
}

// Reading is the progress of one run of a task, as its worker reports it.
type Reading struct {
	Worker  string
	Task    int
	Run     int
	Percent int
	// Clock is when the worker took the reading, by its own clock.
	Clock time.Duration
}

// Tracker holds the evidence on all workers. It is not safe for concurrent use.
type Tracker struct {
	workers map[string]*worker
	groups  map[Group]*group
	// oldest lists the groups in the order in which they were first seen.
	oldest []Group
	// typical is the logarithm of the slowness of the median worker.
	typical value
}

// New returns a Tracker that knows nothing.
func New() *Tracker {
	return &Tracker{workers: map[string]*worker{}, groups: map[Group]*group{}}
}

// taskKey identifies one run of a task on one worker.
type taskKey struct {
	worker string
	task   int
	run    int
}

func (k taskKey) compare(o taskKey) int {
	return cmp.Or(cmp.Compare(k.worker, o.worker), cmp.Compare(k.task, o.task), cmp.Compare(k.run, o.run))
}

// progress is what was last read of a task, and a reading before from which its rate is computed.
type progress struct {
	first, last Reading
	// rate is the logarithm of the progress per second, and variance its uncertainty.
	rate     float64
	variance float64
}

type group struct {
	tasks map[taskKey]*progress
	// isChanged is set once a rate has changed since the last update.
	isChanged bool
}

// Observe records a reading of a task of a group. Readings without progress are no evidence, as a task that stands still
// is a fault and no matter of speed.
func (t *Tracker) Observe(of Group, r Reading) {
	if r.Percent >= completePercent {
		return
	}
	g := t.groupOf(of)
	k := taskKey{worker: r.Worker, task: r.Task, run: r.Run}
	p := g.tasks[k]
	if p == nil || r.Percent < p.last.Percent || r.Clock < p.last.Clock {
		g.tasks[k] = &progress{first: r, last: r}
		return
	}
	if p.last.Clock-p.first.Clock >= maxTime {
		p.first = p.last
	}
	p.last = r
	percent, took := r.Percent-p.first.Percent, r.Clock-p.first.Clock
	if percent < minPercent || took < minTime {
		return
	}
	rounding := roundingError / float64(percent)
	p.rate = math.Log(float64(percent) / took.Seconds())
	p.variance = square(rounding) + square(spread(of))
	g.isChanged = true
}

func spread(g Group) float64 {
	if g.IsGang {
		return gangSpread
	}
	return stepSpread
}

// groupOf returns the group with a name, and creates it in place of the oldest if there are maxGroups already.
func (t *Tracker) groupOf(of Group) *group {
	if g := t.groups[of]; g != nil {
		return g
	}
	if len(t.oldest) >= maxGroups {
		delete(t.groups, t.oldest[0])
		t.oldest = slices.Delete(t.oldest, 0, 1)
	}
	g := &group{tasks: map[taskKey]*progress{}}
	t.groups[of] = g
	t.oldest = append(t.oldest, of)
	return g
}

// Forget drops what is known of a worker, as its next lifetime may differ.
func (t *Tracker) Forget(name string) {
	delete(t.workers, name)
	for _, g := range t.groups {
		for k := range g.tasks {
			if k.worker == name {
				delete(g.tasks, k)
			}
		}
	}
}

// Update derives the estimates from the readings up to now and returns the workers whose class, or whose
// slowness by factorStep, has changed, by name.
func (t *Tracker) Update() []Change {
	for _, of := range t.oldest {
		if g := t.groups[of]; g.isChanged {
			g.isChanged = false
			t.weigh(of, g)
		}
	}
	t.typical = t.medianWorker()
	return t.classify()
}

// weigh replaces the evidence that a group gives on its workers.
func (t *Tracker) weigh(of Group, g *group) {
	rates := g.rates()
	if len(rates) < 2 {
		return
	}
	names := make([]string, 0, len(rates))
	for n := range rates {
		names = append(names, n)
	}
	slices.Sort(names)
	typical := make([]value, len(names))
	for i, n := range names {
		w := t.workerOf(n).estimate(of)
		typical[i] = value{mean: rates[n].mean + w.mean, variance: rates[n].variance + w.variance}
	}
	weights := robustWeights(typical)
	sum, total := 0.0, 0.0
	for i, v := range typical {
		sum += weights[i] * v.mean
		total += weights[i]
	}
	for i, n := range names {
		others := total - weights[i]
		if others <= 0 {
			continue
		}
		rate := (sum - weights[i]*typical[i].mean) / others
		t.workers[n].learn(of, value{mean: rate - rates[n].mean, variance: rates[n].variance + 1/others})
	}
}

// rates returns the rate of the group on each worker, from all its tasks there.
func (g *group) rates() map[string]value {
	out := map[string]value{}
	// Sums in the order of the keys do not depend on the order of the map.
	for _, k := range slices.SortedFunc(maps.Keys(g.tasks), taskKey.compare) {
		p := g.tasks[k]
		if p.variance == 0 {
			continue
		}
		v, ok := out[k.worker]
		if !ok {
			out[k.worker] = value{mean: p.rate, variance: p.variance}
			continue
		}
		sum := 1/v.variance + 1/p.variance
		out[k.worker] = value{mean: (v.mean/v.variance + p.rate/p.variance) / sum, variance: 1 / sum}
	}
	return out
}

// workerOf returns what is known of a worker.
func (t *Tracker) workerOf(name string) *worker {
	w := t.workers[name]
	if w == nil {
		w = &worker{}
		t.workers[name] = w
	}
	return w
}

func square(x float64) float64 { return x * x }
