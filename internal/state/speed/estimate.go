package speed

import (
	"cmp"
	"math"
	"slices"
)

const (
	// priorDeviation is the standard deviation of the logarithm of the slowness of a worker about which nothing is known.
	priorDeviation = 0.35
	// maxEvidence is the number of newest groups kept as evidence on a worker. The estimate follows a change once most of
	// them are newer than it.
	maxEvidence = 5
	// outlierDeviations is the distance, in standard deviations, from which a value counts less the farther it is off.
	outlierDeviations = 2
	// minVariance bounds what many groups together may claim to know.
	minVariance = 0.03 * 0.03
)

// value is an uncertain logarithm.
type value struct {
	mean     float64
	variance float64
}

// evidence is what one group tells of a worker.
type evidence struct {
	of Group
	value
}

// worker holds the newest evidence on one lifetime of a worker, oldest first.
type worker struct {
	evidence []evidence
	class    class
	// factor is the slowness last given out.
	factor float64
}

// learn replaces the evidence of a group, or adds it in place of the oldest.
func (w *worker) learn(of Group, v value) {
	for i := range w.evidence {
		if w.evidence[i].of == of {
			w.evidence[i].value = v
			return
		}
	}
	if len(w.evidence) >= maxEvidence {
		w.evidence = slices.Delete(w.evidence, 0, 1)
	}
	w.evidence = append(w.evidence, evidence{of: of, value: v})
}

// estimate returns the logarithm of the slowness of a worker without the evidence of one group. Groups that contradict
// each other widen the uncertainty.
func (w *worker) estimate(without Group) value {
	vs := make([]value, 1, maxEvidence+1)
	vs[0] = value{variance: square(priorDeviation)}
	for _, x := range w.evidence {
		if x.of != without {
			vs = append(vs, x.value)
		}
	}
	if len(vs) == 1 {
		return vs[0]
	}
	weights := robustWeights(vs)
	sum, total := 0.0, 0.0
	for i, v := range vs {
		sum += weights[i] * v.mean
		total += weights[i]
	}
	out := value{mean: sum / total}
	contradiction := 0.0
	for i, v := range vs {
		contradiction += weights[i] * square(v.mean-out.mean)
	}
	scatter := max(1, contradiction/float64(len(vs)-1))
	out.variance = max(scatter/total, minVariance)
	return out
}

// robustWeights returns the weight of each value in their mean: the inverse of its variance, and less if it is far from
// the weighted median.
func robustWeights(vs []value) []float64 {
	m := median(vs)
	out := make([]float64, len(vs))
	for i, v := range vs {
		out[i] = 1 / v.variance
		bound := outlierDeviations * math.Sqrt(v.variance)
		if off := math.Abs(v.mean - m); off > bound {
			out[i] *= bound / off
		}
	}
	return out
}

// median returns the median of the values, each weighted by the inverse of its variance.
func median(vs []value) float64 {
	sorted := slices.Clone(vs)
	slices.SortFunc(sorted, func(x, y value) int { return cmp.Compare(x.mean, y.mean) })
	total := 0.0
	for _, v := range sorted {
		total += 1 / v.variance
	}
	sum := 0.0
	for _, v := range sorted {
		sum += 1 / v.variance
		if sum >= total/2 {
			return v.mean
		}
	}
	return 0
}
