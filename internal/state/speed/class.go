package speed

import (
	"cmp"
	"math"
	"slices"
)

const (
	// sureDeviations is how many standard deviations an estimate has to be beyond a bound to count as sure.
	sureDeviations = 2
	// knownDeviation is the uncertainty below which a worker counts as known.
	knownDeviation = 0.12
	// deadBand is the logarithm of the smallest slowness that counts as a difference from a typical worker.
	deadBand = 0.1
	// factorStep is the smallest change of the logarithm of a slowness that is reported.
	factorStep = 0.05
	// minKnown is the number of workers with evidence from which their median counts as typical.
	minKnown = 8
	// medianVariance is the variance of the median of normally distributed values relative to that of their mean.
	medianVariance = math.Pi / 2
)

// class is what is sure about a worker.
type class int

const (
	// unknown workers have too little evidence, or evidence that contradicts itself.
	unknown class = iota
	// typical workers do not surely differ from the median.
	typical
	// slow and fast workers surely differ from the median.
	slow
	fast
)

// String returns the name of the class in logs.
func (c class) String() string {
	return [...]string{"Unknown", "Typical", "Slow", "Fast"}[c]
}

// Change is a new estimate of a worker.
type Change struct {
	Worker string
	// Before and Now name the classes of the worker.
	Before string
	Now    string
	// Slowness is how much longer than a typical worker the worker takes for the same work; zero if that is not known.
	Slowness float64
	// Deviation is the standard deviation of the logarithm of the slowness, and Groups the number of groups it is based on.
	Deviation float64
	Groups    int
}

// medianWorker returns the median of the estimates of all workers with evidence, which is uncertain if these are few.
func (t *Tracker) medianWorker() value {
	means := make([]float64, 0, len(t.workers))
	for _, w := range t.workers {
		if len(w.evidence) > 0 {
			means = append(means, w.estimate(Group{}).mean)
		}
	}
	// Sums of the sorted values do not depend on the order of the map.
	slices.Sort(means)
	sum := 0.0
	for _, m := range means {
		sum += m
	}
	n := float64(len(means))
	if n < minKnown {
		return value{variance: square(priorDeviation)}
	}
	scatter := 0.0
	for _, m := range means {
		scatter += square(m - sum/n)
	}
	return value{mean: means[len(means)/2], variance: medianVariance * scatter / (n * n)}
}

// classify updates the classes of all workers and returns the changes, ordered by name.
func (t *Tracker) classify() []Change {
	var out []Change
	for n, w := range t.workers {
		v := w.estimate(Group{})
		v.mean -= t.typical.mean
		v.variance += t.typical.variance
		c, factor := classOf(v, w.class), 0.0
		switch c {
		case unknown:
		case typical:
			factor = 1
		case slow, fast:
			factor = math.Exp(v.mean)
		}
		if c == w.class && math.Abs(math.Log(max(factor, 1e-9)/max(w.factor, 1e-9))) < factorStep {
			continue
		}
		out = append(out, Change{
			Worker: n, Before: w.class.String(), Now: c.String(), Slowness: factor, Deviation: math.Sqrt(v.variance), Groups: len(w.evidence),
		})
		w.class, w.factor = c, factor
	}
	slices.SortFunc(out, func(x, y Change) int { return cmp.Compare(x.Worker, y.Worker) })
	return out
}

// classOf returns the class of a worker with an estimate. A worker keeps its class until the estimate itself contradicts it.
func classOf(v value, before class) class {
	deviation := math.Sqrt(v.variance)
	margin := sureDeviations * deviation
	switch {
	case v.mean-margin > deadBand, before == slow && v.mean-deviation > deadBand:
		return slow
	case v.mean+margin < -deadBand, before == fast && v.mean+deviation < -deadBand:
		return fast
	case deviation < knownDeviation:
		return typical
	default:
		return unknown
	}
}
