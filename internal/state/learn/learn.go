package learn

import (
	"math"
	"slices"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

const (
	// maxSamples is the number of newest samples kept for each kind.
	maxSamples = 64
	// minSamples is the number of samples below which the declared value is used.
	minSamples = 5
	// maxKinds is the maximum number of kinds with a history.
	maxKinds = 4096
	// highQuantile is the fraction of jobs that should stay within their estimate.
	highQuantile = 0.9
	// lowQuantile is the lower bound of the spread of samples.
	lowQuantile = 0.1
)

// Kind is the work of one organisation under one profile.
type Kind struct {
	Organisation string
	Profile      string
}

// ring is a ring buffer of the newest samples with a cached sorted copy.
type ring struct {
	values []float64
	next   int
	sorted []float64
}

func (r *ring) add(v float64) {
	r.sorted = nil
	if len(r.values) < maxSamples {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % maxSamples
}

func (r *ring) quantile(q float64) float64 {
	if r.sorted == nil {
		r.sorted = slices.Clone(r.values)
		slices.Sort(r.sorted)
	}
	return r.sorted[int(math.Ceil(q*float64(len(r.sorted)-1)))]
}

// spread returns the ratio of the high quantile to the low one.
func (r *ring) spread() float64 {
	return r.quantile(highQuantile) / max(r.quantile(lowQuantile), math.SmallestNonzeroFloat32)
}

type history struct {
	// runTimes holds run times in seconds, ratios the run times divided by the declared ones, and memory the memory used
	// divided by the declared memory.
	runTimes ring
	ratios   ring
	memory   ring
}

// Estimator keeps the usage history of all kinds. It is not safe for concurrent use.
type Estimator struct {
	kinds map[Kind]*history
}

// New returns an Estimator without history.
func New() *Estimator {
	return &Estimator{kinds: map[Kind]*history{}}
}

// historyOf returns the history of a kind and creates it if necessary. When there are
// maxKinds already, an arbitrary one is evicted.
func (e *Estimator) historyOf(k Kind) *history {
	h := e.kinds[k]
	if h != nil {
		return h
	}
	if len(e.kinds) >= maxKinds {
		for o := range e.kinds {
			delete(e.kinds, o)
			break
		}
	}
	h = &history{}
	e.kinds[k] = h
	return h
}

// Ran records the run time of a job that succeeded; declared is 0 if the job declared none.
func (e *Estimator) Ran(k Kind, declared, took time.Duration) {
	h := e.historyOf(k)
	h.runTimes.add(took.Seconds())
	if declared > 0 {
		h.ratios.add(float64(took) / float64(declared))
	}
}

// RunTime estimates the time within which nine of ten jobs of the kind end. It uses either the run times or their ratios
// to the declared ones, whichever varies less. Without enough samples it returns the declared time.
func (e *Estimator) RunTime(k Kind, declared time.Duration) time.Duration {
	h := e.kinds[k]
	if h == nil || len(h.runTimes.values) < minSamples {
		return declared
	}
	if declared > 0 && len(h.ratios.values) >= minSamples && h.ratios.spread() <= h.runTimes.spread() {
		return time.Duration(float64(declared) * h.ratios.quantile(highQuantile))
	}
	return time.Duration(h.runTimes.quantile(highQuantile) * float64(time.Second))
}

// Used records the peak memory of a task of a job; jobs that declared no memory are ignored.
func (e *Estimator) Used(k Kind, declared, used fleet.Bytes) {
	if declared > 0 {
		e.historyOf(k).memory.add(float64(used) / float64(declared))
	}
}

// Memory estimates the memory within which nine of ten tasks of the kind stay, but never less than the declared memory.
func (e *Estimator) Memory(k Kind, declared fleet.Bytes) fleet.Bytes {
	h := e.kinds[k]
	if h == nil || len(h.memory.values) < minSamples {
		return declared
	}
	return max(declared, fleet.Bytes(float64(declared)*h.memory.quantile(highQuantile)))
}
