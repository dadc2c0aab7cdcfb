package notice

import (
	"sort"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// maxWait caps expected waits, and is used if a profile gets no capacity at all.
const maxWait = 7 * 24 * time.Hour

// scenario is the input for projecting the waits in one failure domain.
type scenario struct {
	domain  string
	workers []fleet.Worker
	from    time.Time
	hours   int
	// config returns the configuration in force at a time.
	config func(time.Time) config.Config
	// stops are the planned stops that reduce the capacity.
	stops []config.Stop
	// load returns the accelerator hours that a profile offers in an hour.
	load func(profile string, hour time.Time) float64
	// backlog is the work queued at the start, in accelerator hours per profile.
	backlog map[string]float64
}

// waitsByProfile maps each profile to its expected wait in each hour.
type waitsByProfile map[string][]time.Duration

// allocation is the demand of one profile in one hour and the capacity allocated to it, in accelerator hours.
type allocation struct {
	profile    config.Profile
	guaranteed float64
	demand     float64
	served     float64
}

// hourStart returns the start of the n-th hour.
func (s *scenario) hourStart(n int) time.Time {
	return s.from.Add(time.Duration(n) * time.Hour)
}

// capacity returns the accelerator hours available in the hour that starts at t.
func (s *scenario) capacity(t time.Time) float64 {
	sum := 0.0
	for _, w := range s.workers {
		if w.Domain != s.domain || w.Leaving {
			continue
		}
		lost := time.Duration(0)
		for _, p := range s.stops {
			if stopCovers(w, p) {
				lost = max(lost, overlap(t, t.Add(time.Hour), p.From, p.Until))
			}
		}
		sum += float64(w.Accelerators) * (time.Hour - lost).Hours()
	}
	return sum
}

// stopCovers reports whether a planned stop takes the worker out of service.
func stopCovers(w fleet.Worker, p config.Stop) bool {
	if w.Domain != p.Domain {
		return false
	}
	switch p.Kind {
	case config.StopWorker:
		return w.Name == p.Target
	case config.StopRack:
		return w.Rack == p.Target
	default:
		return p.Kind == config.StopDomain
	}
}

// overlap returns how long the periods from a to b and from c to d overlap.
func overlap(a, b, c, d time.Time) time.Duration {
	if c.After(a) {
		a = c
	}
	if d.Before(b) {
		b = d
	}
	return max(0, b.Sub(a))
}

// project allocates the capacity hour by hour, carries unserved work over to the next hour, and returns the waits.
func (s *scenario) project() waitsByProfile {
	out := waitsByProfile{}
	backlog := map[string]float64{}
	for p, b := range s.backlog {
		backlog[p] = b
	}
	for n := range s.hours {
		t := s.hourStart(n)
		as := s.allocations(t, backlog)
		allocate(as, s.capacity(t))
		clear(backlog)
		for _, a := range as {
			name := a.profile.Name
			backlog[name] = a.demand - a.served
			if out[name] == nil {
				out[name] = make([]time.Duration, s.hours)
			}
			out[name][n] = a.wait()
		}
	}
	return out
}

// allocations returns the demand of each profile in the hour that starts at t, in order of priority: the work left over
// from the hour before plus the expected load.
func (s *scenario) allocations(t time.Time, backlog map[string]float64) []*allocation {
	var as []*allocation
	for _, p := range s.config(t).Profiles {
		a := &allocation{profile: p, demand: backlog[p.Name] + s.load(p.Name, t)}
		for _, g := range p.Guarantees {
			if g.Domain == s.domain {
				a.guaranteed += float64(g.Gangs * g.Shape.TotalAccelerators())
			}
		}
		as = append(as, a)
	}
	sortByPriority(as)
	return as
}

func sortByPriority(as []*allocation) {
	sort.Slice(as, func(i, j int) bool { return hasPriority(as[i].profile, as[j].profile) })
}

func hasPriority(a, b config.Profile) bool {
	if a.Urgency.Rank() != b.Urgency.Rank() {
		return a.Urgency.Rank() < b.Urgency.Rank()
	}
	return a.Name < b.Name
}

// allocate distributes the capacity: first to guarantees, then by urgency, and within an urgency in proportion to the
// unmet demand.
func allocate(as []*allocation, left float64) {
	for _, a := range as {
		a.served = min(a.demand, a.guaranteed, left)
		left -= a.served
	}
	for len(as) > 0 {
		n := 1
		for n < len(as) && as[n].profile.Urgency.Rank() == as[0].profile.Urgency.Rank() {
			n++
		}
		left -= allocateProportionally(as[:n], left)
		as = as[n:]
	}
}

// allocateProportionally serves profiles of one urgency in proportion to their unmet demand, and returns the capacity
// used.
func allocateProportionally(as []*allocation, left float64) float64 {
	unmet := 0.0
	for _, a := range as {
		unmet += a.demand - a.served
	}
	if unmet <= 0 {
		return 0
	}
	fraction := min(1, left/unmet)
	for _, a := range as {
		a.served += (a.demand - a.served) * fraction
	}
	return unmet * fraction
}

// negligibleWork is the amount of work, in accelerator hours, below which rounding errors are not treated as backlog.
const negligibleWork = 1e-6

// wait returns how long work that arrives at the end of the hour waits if it is served at the hour's rate.
func (a *allocation) wait() time.Duration {
	rest := a.demand - a.served
	if rest < negligibleWork {
		return 0
	}
	if a.served < negligibleWork {
		return maxWait
	}
	h := rest / a.served
	if h > maxWait.Hours() {
		return maxWait
	}
	return time.Duration(h * float64(time.Hour))
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}
