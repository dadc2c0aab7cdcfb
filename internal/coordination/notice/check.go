package notice

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
)

// maxShiftRounds limits the iterations of the search for the earliest time of a change.
const maxShiftRounds = 4

// CheckNotice returns ErrTooSoon if a change from before to after, in force from a time on, would slow down a profile
// before the notice that it promises has elapsed. Earliest in the error is rounded up to a full minute.
func (n *Notices) CheckNotice(now time.Time, before, after config.Config, from time.Time) error {
	worst, start := n.findTooSoon(now, before, after, from)
	if worst == nil {
		return nil
	}
	delay := now.Add(worst.Promise).Sub(worst.From)
	for range maxShiftRounds {
		moved := shiftStops(before, after, delay)
		next, _ := n.findTooSoon(now, before, moved, from.Add(delay))
		if next == nil {
			break
		}
		delay += now.Add(next.Promise).Sub(next.From)
	}
	worst.Earliest = start.Add(delay + time.Minute - 1).Truncate(time.Minute)
	return *worst
}

// findTooSoon returns the slowdown that violates its promised notice by the longest time, or nil, and the time at which
// the first new stop, or else the change itself, begins.
func (n *Notices) findTooSoon(now time.Time, before, after config.Config, from time.Time) (*ErrTooSoon, time.Time) {
	start, what := from, "the change"
	for _, s := range changedStops(before, after) {
		if what == "the change" || s.From.Before(start) {
			start, what = s.From, "stop "+s.Name
		}
	}
	var worst *ErrTooSoon
	for _, d := range n.domains() {
		for _, e := range n.newSlowdowns(now, before, after, from, d) {
			p, ok := before.Profiles[e.Profile]
			if !ok || !e.From.Before(now.Add(p.Notice)) {
				continue
			}
			if worst == nil || lateness(now, e, p) > now.Add(worst.Promise).Sub(worst.From) {
				worst = &ErrTooSoon{What: what, Profile: p.Name, Domain: d, Promise: p.Notice, From: e.From, Why: e.Why()}
			}
		}
	}
	return worst, start
}

// lateness returns how much earlier a slowdown begins than the promised notice allows.
func lateness(now time.Time, e PredictedSlowdown, p config.Profile) time.Duration {
	return now.Add(p.Notice).Sub(e.From)
}

// newSlowdowns returns the slowdowns of a failure domain that occur with after but not with before.
func (n *Notices) newSlowdowns(now time.Time, before, after config.Config, from time.Time, domain string) []PredictedSlowdown {
	b := n.newScenario(now, after, domain, domainStops(before, domain))
	b.config = plannedPhases(before).at
	a := *b
	a.stops = domainStops(after, domain)
	a.config = func(t time.Time) config.Config {
		if from.Before(t.Add(time.Hour)) {
			return plannedPhases(after).at(t)
		}
		return plannedPhases(before).at(t)
	}
	a.config = memoize(a.config)
	b.config = memoize(b.config)
	es := compare(&a, b.evaluate(n.checkGuarantees), a.evaluate(n.checkGuarantees), a.stopCause)
	for i := range es {
		a.refineStart(&es[i])
		if es[i].From.Before(from) && len(changedStops(before, after)) == 0 {
			es[i].From = from
		}
	}
	for _, name := range sortedKeys(before.Profiles) {
		if why := n.describeWeaker(before, after, name, domain); why != "" {
			es = append(es, PredictedSlowdown{Profile: name, Domain: domain, From: from, Text: why})
		}
	}
	return es
}

// memoize caches the configuration of each hour, since a projection reads it once per profile.
func memoize(f func(time.Time) config.Config) func(time.Time) config.Config {
	known := map[int64]config.Config{}
	return func(t time.Time) config.Config {
		c, ok := known[hourOf(t)]
		if !ok {
			c = f(t)
			known[hourOf(t)] = c
		}
		return c
	}
}

// changedStops returns the stops of after that are new or differ from those in before in more than their version.
func changedStops(before, after config.Config) []config.Stop {
	var out []config.Stop
	for _, n := range sortedKeys(after.Stops) {
		s, o := after.Stops[n], before.Stops[n]
		s.Version, o.Version = 0, 0
		if s != o {
			out = append(out, after.Stops[n])
		}
	}
	return out
}

// shiftStops returns after with its changed stops postponed by d.
func shiftStops(before, after config.Config, d time.Duration) config.Config {
	stops := make(map[string]config.Stop, len(after.Stops))
	for n, s := range after.Stops {
		stops[n] = s
	}
	for _, s := range changedStops(before, after) {
		s.From = s.From.Add(d)
		s.Until = s.Until.Add(d)
		stops[s.Name] = s
	}
	after.Stops = stops
	return after
}
