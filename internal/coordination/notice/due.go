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
	// forecastStartMargin is subtracted from the forecast start of a shortage.
	forecastStartMargin = time.Hour
	// minWaitRatio is the minimum ratio of the expected wait to the wait bound for a forecast shortage to be announced.
	minWaitRatio = 1.1
)

// weakenedNoticeDuration is the duration of a notice that a planned change weakens what a profile promises.
const weakenedNoticeDuration = 24 * time.Hour

// causeOfStop includes the version, so that a stop that is revised counts as a new cause.
func causeOfStop(s config.Stop) string {
	return fmt.Sprintf("Stop %s at %d", s.Name, s.Version)
}

func causeOfChange(id string) string {
	return "Change " + id
}

// due returns the notices to issue now for the failure domains that this host owns.
func (n *Notices) due(now time.Time, c config.Config) []config.Notice {
	var out []config.Notice
	for _, d := range n.domains() {
		if !n.ownsDomain(d) {
			continue
		}
		for _, e := range n.predict(now, c, d) {
			out = append(out, n.dueForSlowdown(now, c, e)...)
		}
	}
	return out
}

// dueForSlowdown returns the notices of a predicted slowdown that are due and that no notice in force covers. Forecast
// shortages are announced shortly before the call is due, all other slowdowns at once.
func (n *Notices) dueForSlowdown(now time.Time, c config.Config, e PredictedSlowdown) []config.Notice {
	p, ok := c.Profiles[e.Profile]
	if !ok || p.Notice == 0 {
		return nil
	}
	if e.Cause == CauseForecast {
		e.From = e.From.Add(-forecastStartMargin)
	}
	callBy := e.From.Add(-p.Notice)
	if e.Cause == CauseForecast && (now.Before(callBy.Add(-forecastLead)) || isMarginal(p, e)) {
		return nil
	}
	var out []config.Notice
	for _, org := range n.affectedOrganisations(c, p, e) {
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
		x.ID = noticeID(x)
		out = append(out, x)
	}
	return out
}

// isMarginal reports whether a forecast shortage is too small to announce.
func isMarginal(p config.Profile, e PredictedSlowdown) bool {
	return !e.IsGuaranteeLost && float64(e.WaitDuring) < minWaitRatio*float64(p.WaitBound)
}

// noticeID derives the id from the content, so that hosts that issue the same notice concurrently use the same id.
func noticeID(x config.Notice) string {
	s := fmt.Sprintf("%q %q %q %q %d", x.Cause, x.Organisation, x.Profile, x.Domain, x.From.Unix())
	return fmt.Sprintf("%016x", xxhash.Sum64String(s))
}

// isCovered reports whether a notice in force announces the same slowdown to the same clients. The end of a forecast
// shortage is not compared.
func isCovered(c config.Config, x config.Notice) bool {
	for _, o := range c.Notices {
		if o.Organisation != x.Organisation || o.Profile != x.Profile || o.Domain != x.Domain {
			continue
		}
		starts := !x.From.Before(o.From.Add(-matchTolerance)) && !x.From.After(o.Until.Add(matchTolerance))
		ends := x.Cause == CauseForecast || !x.Until.After(o.Until.Add(matchTolerance))
		if starts && ends {
			return true
		}
	}
	return false
}

// affectedOrganisations returns the organisations to notify of a slowdown: those that the profile lists, otherwise
// those that have used it or have a guarantee in the failure domain, otherwise all.
func (n *Notices) affectedOrganisations(c config.Config, p config.Profile, e PredictedSlowdown) []string {
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
		return sortedKeys(c.Organisations)
	}
	return orgs
}

// obsolete returns the notices of future slowdowns whose stop or change is no longer planned.
func obsolete(now time.Time, c config.Config) []config.Notice {
	planned := map[string]bool{CauseForecast: true}
	for _, s := range c.Stops {
		planned[causeOfStop(s)] = true
	}
	for id := range c.Planned {
		planned[causeOfChange(id)] = true
	}
	var out []config.Notice
	for _, id := range sortedKeys(c.Notices) {
		if x := c.Notices[id]; !planned[x.Cause] && x.From.After(now) {
			out = append(out, x)
		}
	}
	return out
}

func (n *Notices) domains() []string {
	m := map[string]bool{}
	for _, w := range n.recentWorkers() {
		m[w.Domain] = true
	}
	return sortedKeys(m)
}

// predict returns the expected slowdowns of one failure domain. It projects the load alone, then adds the planned
// changes, then the stops, and attributes to each cause what the projection before did not show.
func (n *Notices) predict(now time.Time, c config.Config, domain string) []PredictedSlowdown {
	s := n.newScenario(now, c, domain, nil)
	baseline := s.evaluate(n.checkGuarantees)
	out := compare(s, nil, baseline, func(time.Time) string { return CauseForecast })
	changes := plannedPhases(c)
	s.config = changes.at
	planned := baseline
	if len(changes) > 1 {
		planned = s.evaluate(n.checkGuarantees)
		out = append(out, compare(s, baseline, planned, changes.cause)...)
	}
	if stops := domainStops(c, domain); len(stops) > 0 {
		s.stops = stops
		out = append(out, compare(s, planned, s.evaluate(n.checkGuarantees), s.stopCause)...)
	}
	for i := range out {
		s.refineStart(&out[i])
	}
	return append(out, n.predictWeakened(c, domain)...)
}

// newScenario returns a scenario from the current hour until recoveryTime after the last stop and planned change, and
// past the longest promised notice, limited by maxHorizon.
func (n *Notices) newScenario(now time.Time, c config.Config, domain string, stops []config.Stop) *scenario {
	until := now.Add(recoveryTime)
	for _, p := range c.Profiles {
		until = latest(until, now.Add(p.Notice+forecastLead+maxMergeGap*time.Hour))
	}
	for _, s := range c.Stops {
		until = latest(until, s.Until.Add(recoveryTime))
	}
	for _, ch := range c.Planned {
		until = latest(until, ch.From.Add(recoveryTime))
	}
	from := now.Truncate(time.Hour)
	return &scenario{
		domain:  domain,
		workers: n.recentWorkers(),
		from:    from,
		hours:   int(min(until.Sub(from), maxHorizon)/time.Hour) + 1,
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

func domainStops(c config.Config, domain string) []config.Stop {
	var out []config.Stop
	for _, n := range sortedKeys(c.Stops) {
		if s := c.Stops[n]; s.Domain == domain && s.Kind != config.StopHost {
			out = append(out, s)
		}
	}
	return out
}

// stopCause attributes a slowdown to the latest stop that starts before the end of the hour.
func (s *scenario) stopCause(t time.Time) string {
	var last config.Stop
	for _, p := range s.stops {
		if p.From.Before(t.Add(time.Hour)) && (last.Name == "" || p.From.After(last.From)) {
			last = p
		}
	}
	return causeOfStop(last)
}

// refineStart moves the start of a slowdown from the full hour to the start of the stop that causes it within that
// hour.
func (s *scenario) refineStart(e *PredictedSlowdown) {
	for _, p := range s.stops {
		if causeOfStop(p) == e.Cause && p.From.After(e.From) && p.From.Before(e.From.Add(time.Hour)) {
			e.From = p.From
		}
	}
}

// configPhase is the configuration that a planned change puts in force from a time on.
type configPhase struct {
	from   time.Time
	config config.Config
	id     string
}

// phases is sorted by time; the first phase is the configuration in force now.
type phases []configPhase

// plannedPhases returns the configuration now and after each planned change; changes that would be refused are skipped.
func plannedPhases(c config.Config) phases {
	out := phases{{config: c}}
	var chs []config.Change
	for _, id := range sortedKeys(c.Planned) {
		chs = append(chs, c.Planned[id])
	}
	sort.SliceStable(chs, func(i, j int) bool { return chs[i].From.Before(chs[j].From) })
	for _, ch := range chs {
		if next, err := out[len(out)-1].config.WithChange(ch); err == nil {
			out = append(out, configPhase{from: ch.From, config: next, id: ch.ID})
		}
	}
	return out
}

// phaseAt returns the last phase that starts before the end of the hour of t.
func (s phases) phaseAt(t time.Time) configPhase {
	last := s[0]
	for _, x := range s[1:] {
		if x.from.Before(t.Add(time.Hour)) {
			last = x
		}
	}
	return last
}

func (s phases) at(t time.Time) config.Config {
	return s.phaseAt(t).config
}

func (s phases) cause(t time.Time) string {
	return causeOfChange(s.phaseAt(t).id)
}

// predictWeakened returns a slowdown for each planned change that weakens what a profile in use promises.
func (n *Notices) predictWeakened(c config.Config, domain string) []PredictedSlowdown {
	var out []PredictedSlowdown
	ps := plannedPhases(c)
	for i, x := range ps[1:] {
		for _, name := range sortedKeys(ps[i].config.Profiles) {
			why := n.describeWeaker(ps[i].config, x.config, name, domain)
			if why == "" {
				continue
			}
			out = append(out, PredictedSlowdown{
				Profile: name,
				Domain:  domain,
				From:    x.from,
				Until:   x.from.Add(weakenedNoticeDuration),
				Slower:  1,
				Cause:   causeOfChange(x.id),
				Text:    why,
			})
		}
	}
	return out
}

// describeWeaker says how a later configuration weakens what a profile promises in a failure domain. It returns an
// empty string if the profile is not in use there or its promises are not weakened.
func (n *Notices) describeWeaker(before, after config.Config, name, domain string) string {
	b := before.Profiles[name]
	a, ok := after.Profiles[name]
	isInUse := guaranteedAccelerators(b, domain) > 0 || len(n.load.FindOrganisations(Key{Profile: name, Domain: domain})) > 0
	switch {
	case !isInUse:
		return ""
	case !ok:
		return "the profile is retired"
	case guaranteedAccelerators(a, domain) < guaranteedAccelerators(b, domain):
		return fmt.Sprintf("its guarantee shrinks from %d to %d accelerators", guaranteedAccelerators(b, domain), guaranteedAccelerators(a, domain))
	case a.Urgency.Rank() > b.Urgency.Rank():
		return fmt.Sprintf("its urgency falls from %s to %s", b.Urgency, a.Urgency)
	case a.WaitBound > b.WaitBound:
		return fmt.Sprintf("it may wait %s instead of %s", a.WaitBound, b.WaitBound)
	}
	return ""
}

// guaranteedAccelerators returns the number of accelerators that a profile guarantees in a failure domain.
func guaranteedAccelerators(p config.Profile, domain string) int {
	sum := 0
	for _, g := range p.Guarantees {
		if g.Domain == domain {
			sum += g.Gangs * g.Shape.TotalAccelerators()
		}
	}
	return sum
}
