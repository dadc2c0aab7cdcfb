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
	// mergeGap joins slow hours of one cause into one effect.
	mergeGap = 2
	// defaultRunTime stands for the run time of a profile that states none.
	defaultRunTime = time.Hour
)

// CauseForecast is the cause of a shortage that the load alone brings about.
const CauseForecast = "Forecast"

// Effect is a foreseen slowdown of one profile in one failure domain.
type Effect struct {
	Profile string
	Domain  string
	From    time.Time
	Until   time.Time
	// Slower is the expected completion time over the usual one.
	Slower float64
	// WaitBefore and WaitDuring are the expected waits without and with the cause.
	WaitBefore time.Duration
	WaitDuring time.Duration
	// Capacity is what is left of the accelerators at the worst hour, and Total what there is.
	Capacity int
	Total    int
	// IsGuaranteeLost is set when a guarantee of the profile does not fit what is left.
	IsGuaranteeLost bool
	Cause           string
	// Text explains an effect that no projection has shown.
	Text string
}

// Why explains the effect to the clients.
func (e Effect) Why() string {
	if e.Text != "" {
		return e.Text
	}
	kept := "guarantees are kept"
	if e.IsGuaranteeLost {
		kept = "not all guarantees can be kept"
	}
	return fmt.Sprintf("%s: %d of %d accelerators left, %s, expected wait %s instead of %s",
		e.Cause, e.Capacity, e.Total, kept, e.WaitDuring.Round(time.Second), e.WaitBefore.Round(time.Second))
}

// verdict is what one projection says of one profile in one hour.
type verdict struct {
	wait   time.Duration
	isLost bool
	isSlow bool
}

// judge projects a scene and marks the hours in which a profile's promise is not kept.
func (s *scene) judge(fits func([]fleet.Worker, []config.Profile) error) map[string][]verdict {
	waits := s.project()
	f := newFitter(s, fits)
	lost := make([][]string, s.hours)
	for n := range lost {
		lost[n] = f.lost(s.hour(n))
	}
	out := map[string][]verdict{}
	for name, ws := range waits {
		vs := make([]verdict, len(ws))
		for n, w := range ws {
			p, ok := s.config(s.hour(n)).Profiles[name]
			v := verdict{wait: w, isLost: slices.Contains(lost[n], name)}
			v.isSlow = ok && (w > p.WaitBound || v.isLost)
			vs[n] = v
		}
		out[name] = vs
	}
	return out
}

// compare returns the effects of what after has and before has not.
func compare(s *scene, before, after map[string][]verdict, cause func(time.Time) string) []Effect {
	var out []Effect
	for _, name := range sortedNames(after) {
		vs, base := after[name], before[name]
		var e *Effect
		last := 0
		for n, v := range vs {
			if !v.isSlow || (n < len(base) && base[n].isSlow) {
				continue
			}
			if e == nil || n-last > mergeGap {
				out = append(out, Effect{Profile: name, Domain: s.domain, From: s.hour(n), Cause: cause(s.hour(n))})
				e = &out[len(out)-1]
				e.Total = s.total()
				e.Capacity = e.Total
			}
			last = n
			e.extend(s, n, v, base)
		}
	}
	return out
}

func (e *Effect) extend(s *scene, n int, v verdict, base []verdict) {
	t := s.hour(n)
	e.Until = t.Add(time.Hour)
	e.IsGuaranteeLost = e.IsGuaranteeLost || v.isLost
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

func (s *scene) total() int {
	n := 0
	for _, w := range s.workers {
		if w.Domain == s.domain && !w.Leaving {
			n += w.Accelerators
		}
	}
	return n
}

// fitter finds the profiles whose guarantees do not fit the workers that are left, once per set of stops.
type fitter struct {
	scene *scene
	fits  func([]fleet.Worker, []config.Profile) error
	known map[string][]string
}

func newFitter(s *scene, fits func([]fleet.Worker, []config.Profile) error) *fitter {
	return &fitter{scene: s, fits: fits, known: map[string][]string{}}
}

// lost returns the profiles whose guarantees do not fit in the hour of t.
func (f *fitter) lost(t time.Time) []string {
	c := f.scene.config(t)
	id := strconv.FormatUint(versions(c), 10)
	var stops []config.Stop
	for _, p := range f.scene.stops {
		if overlap(t, t.Add(time.Hour), p.From, p.Until) > 0 {
			stops = append(stops, p)
			id += "/" + p.Name
		}
	}
	lost, ok := f.known[id]
	if !ok {
		lost = f.find(c, stops)
		f.known[id] = lost
	}
	return lost
}

// versions tells configurations with different profiles apart.
func versions(c config.Config) uint64 {
	sum := uint64(len(c.Profiles))
	for _, p := range c.Profiles {
		sum += xxhash.Sum64String(p.Name) * (p.Version + 1)
	}
	return sum
}

// find adds the guarantees of one profile after another, most urgent first, and returns those that no longer fit.
func (f *fitter) find(c config.Config, stops []config.Stop) []string {
	var left []fleet.Worker
	for _, w := range f.scene.workers {
		isOut := w.Domain != f.scene.domain || w.Leaving
		for _, p := range stops {
			isOut = isOut || isStopped(w, p)
		}
		if !isOut {
			left = append(left, w)
		}
	}
	all := f.guaranteed(c)
	if f.fits(left, all) == nil {
		return nil
	}
	var kept []config.Profile
	var lost []string
	for _, p := range all {
		if f.fits(left, append(kept[:len(kept):len(kept)], p)) == nil {
			kept = append(kept, p)
			continue
		}
		lost = append(lost, p.Name)
	}
	return lost
}

// guaranteed returns the profiles with guarantees in the failure domain, and just these guarantees.
func (f *fitter) guaranteed(c config.Config) []config.Profile {
	var out []config.Profile
	for _, p := range c.Profiles {
		var gs []config.Guarantee
		for _, g := range p.Guarantees {
			if g.Domain == f.scene.domain {
				gs = append(gs, g)
			}
		}
		if len(gs) > 0 {
			p.Guarantees = gs
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b config.Profile) int {
		if isBefore(a, b) {
			return -1
		}
		return 1
	})
	return out
}
