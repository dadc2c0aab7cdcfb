package notice

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
)

// shiftRounds bounds the search for the earliest time of a change.
const shiftRounds = 4

// Foresee returns ErrTooSoon when a change from before to after, in force from a time on, slows a client down sooner
// than its profile promises.
func (n *Notices) Foresee(now time.Time, before, after config.Config, from time.Time) error {
	first, start := n.tooSoon(now, before, after, from)
	if first == nil {
		return nil
	}
	shift := now.Add(first.Promise).Sub(first.From)
	for range shiftRounds {
		moved := moveStops(before, after, shift)
		next, _ := n.tooSoon(now, before, moved, from.Add(shift))
		if next == nil {
			break
		}
		shift += now.Add(next.Promise).Sub(next.From)
	}
	first.Earliest = start.Add(shift + time.Minute - 1).Truncate(time.Minute)
	return *first
}

// tooSoon returns the slowdown that is the furthest from its promise, and when what causes it begins.
func (n *Notices) tooSoon(now time.Time, before, after config.Config, from time.Time) (*ErrTooSoon, time.Time) {
	start, what := from, "the change"
	for _, s := range newStops(before, after) {
		if what == "the change" || s.From.Before(start) {
			start, what = s.From, "stop "+s.Name
		}
	}
	var worst *ErrTooSoon
	for _, d := range n.domains() {
		for _, e := range n.newEffects(now, before, after, from, d) {
			p, ok := before.Profiles[e.Profile]
			if !ok || !e.From.Before(now.Add(p.Notice)) {
				continue
			}
			if worst == nil || late(now, e, p) > now.Add(worst.Promise).Sub(worst.From) {
				worst = &ErrTooSoon{What: what, Profile: p.Name, Domain: d, Promise: p.Notice, From: e.From, Why: e.Why()}
			}
		}
	}
	return worst, start
}

// late returns by how much an effect comes before the clients could be told.
func late(now time.Time, e Effect, p config.Profile) time.Duration {
	return now.Add(p.Notice).Sub(e.From)
}

// newEffects returns the slowdowns of a failure domain that after has and before has not.
func (n *Notices) newEffects(now time.Time, before, after config.Config, from time.Time, domain string) []Effect {
	b := n.scene(now, after, domain, stopsOf(before, domain))
	b.config = plan(before).at
	a := *b
	a.stops = stopsOf(after, domain)
	a.config = func(t time.Time) config.Config {
		if from.Before(t.Add(time.Hour)) {
			return plan(after).at(t)
		}
		return plan(before).at(t)
	}
	a.config = memo(a.config)
	b.config = memo(b.config)
	es := compare(&a, b.judge(n.fits), a.judge(n.fits), a.stopCause)
	for i := range es {
		a.sharpen(&es[i])
		if es[i].From.Before(from) && len(newStops(before, after)) == 0 {
			es[i].From = from
		}
	}
	for _, name := range sortedNames(before.Profiles) {
		if why := n.weaker(before, after, name, domain); why != "" {
			es = append(es, Effect{Profile: name, Domain: domain, From: from, Text: why})
		}
	}
	return es
}

// memo keeps the configuration of each hour, since a projection asks for it once per profile.
func memo(f func(time.Time) config.Config) func(time.Time) config.Config {
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

// newStops returns the stops that after adds or moves.
func newStops(before, after config.Config) []config.Stop {
	var out []config.Stop
	for _, n := range sortedNames(after.Stops) {
		s, o := after.Stops[n], before.Stops[n]
		s.Version, o.Version = 0, 0
		if s != o {
			out = append(out, after.Stops[n])
		}
	}
	return out
}

// moveStops returns after with its new stops later by d.
func moveStops(before, after config.Config, d time.Duration) config.Config {
	stops := make(map[string]config.Stop, len(after.Stops))
	for n, s := range after.Stops {
		stops[n] = s
	}
	for _, s := range newStops(before, after) {
		s.From = s.From.Add(d)
		s.Until = s.Until.Add(d)
		stops[s.Name] = s
	}
	after.Stops = stops
	return after
}
