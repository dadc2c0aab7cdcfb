package notice

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxMergeGap is the distance, in hours, up to which slow hours are merged into one slowdown.
	maxMergeGap = 2
	// defaultRunTime is assumed for profiles that state no run time.
	defaultRunTime = time.Hour
)

// CauseForecast is the cause of a shortage that the forecast load alone produces.
const CauseForecast = "Forecast"

// PredictedSlowdown is how the load or a planned stop or change is expected to slow down one profile in one failure
// domain.
type PredictedSlowdown struct {
	Profile string
	Domain  string
	From    time.Time
	Until   time.Time
	// Slower is the ratio of the expected completion time to the usual one.
	Slower float64
	// WaitBefore and WaitDuring are the expected waits without and with the cause.
	WaitBefore time.Duration
	WaitDuring time.Duration
	// Capacity is the number of accelerators available in the worst hour, out of Total.
	Capacity int
	Total    int
	// IsGuaranteeLost is set if a guarantee of the profile does not fit the remaining workers.
	IsGuaranteeLost bool
	Cause           string
	// Text explains a slowdown that follows from a weaker promise rather than from a projection.
	Text string
}

// Why explains the slowdown to the clients.
func (e PredictedSlowdown) Why() string {
	if e.Text != "" {
		return e.Text
	}
	guarantees := "guarantees are kept"
	if e.IsGuaranteeLost {
		guarantees = "not all guarantees can be kept"
	}
	return fmt.Sprintf("%s: %d of %d accelerators left, %s, expected wait %s instead of %s",
		e.Cause, e.Capacity, e.Total, guarantees, e.WaitDuring.Round(time.Second), e.WaitBefore.Round(time.Second))
}

// hourResult is the projected state of one profile in one hour.
type hourResult struct {
	wait            time.Duration
	isGuaranteeLost bool
	// isSlow is set if the wait exceeds the profile's bound or a guarantee is lost.
	isSlow bool
}

// evaluate projects the scenario and marks the hours in which a profile's wait bound or guarantees are not met.
func (s *scenario) evaluate(check func([]fleet.Worker, []config.Profile) error) map[string][]hourResult {
	waits := s.project()
	f := newGuaranteeChecker(s, check)
	lost := make([][]string, s.hours)
	for n := range lost {
		lost[n] = f.unfitAt(s.hourStart(n))
	}
	out := map[string][]hourResult{}
	for name, ws := range waits {
		vs := make([]hourResult, len(ws))
		for n, w := range ws {
			p, ok := s.config(s.hourStart(n)).Profiles[name]
			v := hourResult{wait: w, isGuaranteeLost: slices.Contains(lost[n], name)}
			v.isSlow = ok && (w > p.WaitBound || v.isGuaranteeLost)
			vs[n] = v
		}
		out[name] = vs
	}
	return out
}

// compare returns the slowdowns that occur in after but not in before. Nearby slow hours of a profile are merged.
func compare(s *scenario, before, after map[string][]hourResult, cause func(time.Time) string) []PredictedSlowdown {
	var out []PredictedSlowdown
	for _, name := range sortedKeys(after) {
		vs, base := after[name], before[name]
		var e *PredictedSlowdown
		last := 0
		for n, v := range vs {
			if !v.isSlow || (n < len(base) && base[n].isSlow) {
				continue
			}
			if e == nil || n-last > maxMergeGap {
				out = append(out, PredictedSlowdown{Profile: name, Domain: s.domain, From: s.hourStart(n), Cause: cause(s.hourStart(n))})
				e = &out[len(out)-1]
				e.Total = s.totalAccelerators()
				e.Capacity = e.Total
			}
			last = n
			e.extend(s, n, v, base)
		}
	}
	return out
}

// extend adds the n-th hour to the slowdown, and keeps the waits of the hour with the largest slowdown.
func (e *PredictedSlowdown) extend(s *scenario, n int, v hourResult, base []hourResult) {
	t := s.hourStart(n)
	e.Until = t.Add(time.Hour)
	e.IsGuaranteeLost = e.IsGuaranteeLost || v.isGuaranteeLost
	e.Capacity = min(e.Capacity, int(s.capacity(t)))
	usual := time.Duration(0)
	if n < len(base) {
		usual = base[n].wait
	}
	run := s.config(t).Profiles[e.Profile].RunTime
	if run == 0 {
		run = defaultRunTime
	}
	slower := float64(v.wait+run) / float64(usual+run)
	if slower >= e.Slower {
		e.Slower = slower
		e.WaitBefore = usual
		e.WaitDuring = v.wait
	}
}

// totalAccelerators counts the accelerators of all workers that are not leaving, without regard to stops.
func (s *scenario) totalAccelerators() int {
	n := 0
	for _, w := range s.workers {
		if w.Domain == s.domain && !w.Leaving {
			n += w.Accelerators
		}
	}
	return n
}

// guaranteeChecker finds the profiles whose guarantees do not fit the remaining workers. It caches the result per
// configuration and set of concurrent stops, since many hours share them.
type guaranteeChecker struct {
	scenario *scenario
	check    func([]fleet.Worker, []config.Profile) error
	cache    map[string][]string
}

func newGuaranteeChecker(s *scenario, check func([]fleet.Worker, []config.Profile) error) *guaranteeChecker {
	return &guaranteeChecker{scenario: s, check: check, cache: map[string][]string{}}
}

// unfitAt returns the profiles whose guarantees do not fit in the hour that starts at t.
func (f *guaranteeChecker) unfitAt(t time.Time) []string {
	c := f.scenario.config(t)
	id := strconv.FormatUint(profilesHash(c), 10)
	var stops []config.Stop
	for _, p := range f.scenario.stops {
		if overlap(t, t.Add(time.Hour), p.From, p.Until) > 0 {
			stops = append(stops, p)
			id += "/" + p.Name
		}
	}
	lost, ok := f.cache[id]
	if !ok {
		lost = f.findUnfit(c, stops)
		f.cache[id] = lost
	}
	return lost
}

// profilesHash distinguishes configurations whose profiles differ in name or version, independent of map order.
func profilesHash(c config.Config) uint64 {
	sum := uint64(len(c.Profiles))
	for _, p := range c.Profiles {
		sum += xxhash.Sum64String(p.Name) * (p.Version + 1)
	}
	return sum
}

// findUnfit adds the guarantees profile by profile, most urgent first, and returns the profiles whose guarantees do not
// fit beside those added before.
func (f *guaranteeChecker) findUnfit(c config.Config, stops []config.Stop) []string {
	var left []fleet.Worker
	for _, w := range f.scenario.workers {
		isExcluded := w.Domain != f.scenario.domain || w.Leaving
		for _, p := range stops {
			isExcluded = isExcluded || stopCovers(w, p)
		}
		if !isExcluded {
			left = append(left, w)
		}
	}
	all := f.guaranteedProfiles(c)
	if f.check(left, all) == nil {
		return nil
	}
	var kept []config.Profile
	var lost []string
	for _, p := range all {
		if f.check(left, append(kept[:len(kept):len(kept)], p)) == nil {
			kept = append(kept, p)
			continue
		}
		lost = append(lost, p.Name)
	}
	return lost
}

// guaranteedProfiles returns the profiles with guarantees in the failure domain, most urgent first, reduced to these
// guarantees.
func (f *guaranteeChecker) guaranteedProfiles(c config.Config) []config.Profile {
	var out []config.Profile
	for _, p := range c.Profiles {
		var gs []config.Guarantee
		for _, g := range p.Guarantees {
			if g.Domain == f.scenario.domain {
				gs = append(gs, g)
			}
		}
		if len(gs) > 0 {
			p.Guarantees = gs
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b config.Profile) int {
		if hasPriority(a, b) {
			return -1
		}
		return 1
	})
	return out
}
