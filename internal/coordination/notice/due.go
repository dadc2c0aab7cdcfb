package notice

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/cespare/xxhash/v2"
)

const (
	// forecastMargin is how much earlier than foreseen a shortage is announced.
	forecastMargin = time.Hour
	// marginalWait is the share of its bound that a wait has to reach for a shortage to be announced.
	marginalWait = 1.1
)

// weakenedFor is how long a notice of a weaker promise is kept in force.
const weakenedFor = 24 * time.Hour

func causeOfStop(s config.Stop) string {
	return fmt.Sprintf("Stop %s at %d", s.Name, s.Version)
}

func causeOfChange(id string) string {
	return "Change " + id
}

// due returns the notices that have to be issued now.
func (n *Notices) due(now time.Time, c config.Config) []config.Notice {
	var out []config.Notice
	for _, d := range n.domains() {
		if !n.mine(d) {
			continue
		}
		for _, e := range n.effects(now, c, d) {
			out = append(out, n.notices(now, c, e)...)
		}
	}
	return out
}

// notices returns those notices of an effect that are due and not issued yet.
func (n *Notices) notices(now time.Time, c config.Config, e Effect) []config.Notice {
	p, ok := c.Profiles[e.Profile]
	if !ok || p.Notice == 0 {
		return nil
	}
	if e.Cause == CauseForecast {
		e.From = e.From.Add(-forecastMargin)
	}
	callBy := e.From.Add(-p.Notice)
	if e.Cause == CauseForecast && (now.Before(callBy.Add(-lead)) || isMarginal(p, e)) {
		return nil
	}
	var out []config.Notice
	for _, org := range n.organisations(c, p, e) {
		x := config.Notice{
			Organisation: org,
			Profile:      e.Profile,
			Domain:       e.Domain,
			From:         e.From.UTC(),
			Until:        e.Until.UTC(),
			Slower:       e.Slower,
			Why:          e.Why(),
			Cause:        e.Cause,
			CallBy:       callBy.UTC(),
		}
		if isCovered(c, x) {
			continue
		}
		x.ID = idOf(x)
		out = append(out, x)
	}
	return out
}

// isMarginal reports whether a foreseen shortage is too small to call clients for.
func isMarginal(p config.Profile, e Effect) bool {
	return !e.IsGuaranteeLost && float64(e.WaitDuring) < marginalWait*float64(p.WaitBound)
}

// idOf gives the same notice the same id on all hosts.
func idOf(x config.Notice) string {
	s := fmt.Sprintf("%q %q %q %q %d", x.Cause, x.Organisation, x.Profile, x.Domain, x.From.Unix())
	return fmt.Sprintf("%016x", xxhash.Sum64String(s))
}

// isCovered reports whether a notice in force tells the same clients of the same slowdown.
func isCovered(c config.Config, x config.Notice) bool {
	for _, o := range c.Notices {
		if o.Organisation != x.Organisation || o.Profile != x.Profile || o.Domain != x.Domain {
			continue
		}
		starts := !x.From.Before(o.From.Add(-tolerance)) && !x.From.After(o.Until.Add(tolerance))
		ends := x.Cause == CauseForecast || !x.Until.After(o.Until.Add(tolerance))
		if starts && ends {
			return true
		}
	}
	return false
}

// organisations returns whose clients an effect concerns.
func (n *Notices) organisations(c config.Config, p config.Profile, e Effect) []string {
	if len(p.Organisations) > 0 {
		return p.Organisations
	}
	orgs := n.load.FindOrganisations(Key{Profile: p.Name, Domain: e.Domain})
	for _, g := range p.Guarantees {
		if g.Domain == e.Domain && !slices.Contains(orgs, g.Organisation) {
			orgs = append(orgs, g.Organisation)
		}
	}
	if len(orgs) == 0 {
		return sortedNames(c.Organisations)
	}
	return orgs
}

// stale returns the notices of a future slowdown whose stop or change is no longer planned.
func stale(now time.Time, c config.Config) []config.Notice {
	live := map[string]bool{CauseForecast: true}
	for _, s := range c.Stops {
		live[causeOfStop(s)] = true
	}
	for id := range c.Planned {
		live[causeOfChange(id)] = true
	}
	var out []config.Notice
	for _, id := range sortedNames(c.Notices) {
		if x := c.Notices[id]; !live[x.Cause] && x.From.After(now) {
			out = append(out, x)
		}
	}
	return out
}

func (n *Notices) domains() []string {
	m := map[string]bool{}
	for _, w := range n.fleet() {
		m[w.Domain] = true
	}
	return sortedNames(m)
}

// effects foresees the slowdowns of one failure domain: of the load alone, then of planned changes, then of stops.
func (n *Notices) effects(now time.Time, c config.Config, domain string) []Effect {
	s := n.scene(now, c, domain, nil)
	bare := s.judge(n.fits)
	out := compare(s, nil, bare, func(time.Time) string { return CauseForecast })
	changes := plan(c)
	s.config = changes.at
	planned := bare
	if len(changes) > 1 {
		planned = s.judge(n.fits)
		out = append(out, compare(s, bare, planned, changes.cause)...)
	}
	if stops := stopsOf(c, domain); len(stops) > 0 {
		s.stops = stops
		out = append(out, compare(s, planned, s.judge(n.fits), s.stopCause)...)
	}
	for i := range out {
		s.sharpen(&out[i])
	}
	return append(out, n.weakened(c, domain)...)
}

// scene looks from the current hour to the end of the last stop and of the longest notice.
func (n *Notices) scene(now time.Time, c config.Config, domain string, stops []config.Stop) *scene {
	until := now.Add(recovery)
	for _, p := range c.Profiles {
		until = latest(until, now.Add(p.Notice+lead+mergeGap*time.Hour))
	}
	for _, s := range c.Stops {
		until = latest(until, s.Until.Add(recovery))
	}
	for _, ch := range c.Planned {
		until = latest(until, ch.From.Add(recovery))
	}
	from := now.Truncate(time.Hour)
	return &scene{
		domain:  domain,
		workers: n.fleet(),
		from:    from,
		hours:   int(min(until.Sub(from), horizonLimit)/time.Hour) + 1,
		config:  func(time.Time) config.Config { return c },
		stops:   stops,
		load: func(p string, t time.Time) float64 {
			return n.expect(Key{Profile: p, Domain: domain}, t)
		},
		backlog: n.backlog(domain),
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func stopsOf(c config.Config, domain string) []config.Stop {
	var out []config.Stop
	for _, n := range sortedNames(c.Stops) {
		if s := c.Stops[n]; s.Domain == domain && s.Kind != config.StopHost {
			out = append(out, s)
		}
	}
	return out
}

// stopCause names the stop that began last before the end of the hour.
func (s *scene) stopCause(t time.Time) string {
	var last config.Stop
	for _, p := range s.stops {
		if p.From.Before(t.Add(time.Hour)) && (last.Name == "" || p.From.After(last.From)) {
			last = p
		}
	}
	return causeOfStop(last)
}

// sharpen moves the start of an effect from the hour to the stop that begins within it.
func (s *scene) sharpen(e *Effect) {
	for _, p := range s.stops {
		if causeOfStop(p) == e.Cause && p.From.After(e.From) && p.From.Before(e.From.Add(time.Hour)) {
			e.From = p.From
		}
	}
}

// phase is the configuration from a time on, as a planned change leaves it.
type phase struct {
	from   time.Time
	config config.Config
	id     string
}

// phases are in the order of time.
type phases []phase

// plan returns the configuration now, and after each planned change that will fit.
func plan(c config.Config) phases {
	out := phases{{config: c}}
	var chs []config.Change
	for _, id := range sortedNames(c.Planned) {
		chs = append(chs, c.Planned[id])
	}
	sort.SliceStable(chs, func(i, j int) bool { return chs[i].From.Before(chs[j].From) })
	for _, ch := range chs {
		if next, err := out[len(out)-1].config.WithChange(ch); err == nil {
			out = append(out, phase{from: ch.From, config: next, id: ch.ID})
		}
	}
	return out
}

func (s phases) find(t time.Time) phase {
	last := s[0]
	for _, x := range s[1:] {
		if x.from.Before(t.Add(time.Hour)) {
			last = x
		}
	}
	return last
}

func (s phases) at(t time.Time) config.Config {
	return s.find(t).config
}

func (s phases) cause(t time.Time) string {
	return causeOfChange(s.find(t).id)
}

// weakened returns the effects of planned changes that promise the clients of a used profile less.
func (n *Notices) weakened(c config.Config, domain string) []Effect {
	var out []Effect
	ps := plan(c)
	for i, x := range ps[1:] {
		for _, name := range sortedNames(ps[i].config.Profiles) {
			why := n.weaker(ps[i].config, x.config, name, domain)
			if why == "" {
				continue
			}
			out = append(out, Effect{
				Profile: name,
				Domain:  domain,
				From:    x.from,
				Until:   x.from.Add(weakenedFor),
				Slower:  1,
				Cause:   causeOfChange(x.id),
				Text:    why,
			})
		}
	}
	return out
}

// weaker says what a later configuration promises the clients of a profile less in a failure domain.
func (n *Notices) weaker(before, after config.Config, name, domain string) string {
	b := before.Profiles[name]
	a, ok := after.Profiles[name]
	isUsed := guaranteed(b, domain) > 0 || len(n.load.FindOrganisations(Key{Profile: name, Domain: domain})) > 0
	switch {
	case !isUsed:
		return ""
	case !ok:
		return "the profile is retired"
	case guaranteed(a, domain) < guaranteed(b, domain):
		return fmt.Sprintf("its guarantee shrinks from %d to %d accelerators", guaranteed(b, domain), guaranteed(a, domain))
	case a.Urgency.Rank() > b.Urgency.Rank():
		return fmt.Sprintf("its urgency falls from %s to %s", b.Urgency, a.Urgency)
	case a.WaitBound > b.WaitBound:
		return fmt.Sprintf("it may wait %s instead of %s", a.WaitBound, b.WaitBound)
	}
	return ""
}

// guaranteed returns the accelerators that a profile guarantees in a failure domain.
func guaranteed(p config.Profile, domain string) int {
	sum := 0
	for _, g := range p.Guarantees {
		if g.Domain == domain {
			sum += g.Gangs * g.Shape.TotalAccelerators()
		}
	}
	return sum
}
