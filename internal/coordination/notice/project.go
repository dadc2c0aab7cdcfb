package notice

import (
	"sort"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// maxWait stands for a wait whose end cannot be foreseen.
const maxWait = 7 * 24 * time.Hour

// scene is what the capacity of one failure domain is projected from.
type scene struct {
	domain  string
	workers []fleet.Worker
	from    time.Time
	hours   int
	// config returns the configuration in force at a time.
	config func(time.Time) config.Config
	// stops are those that are taken into account.
	stops []config.Stop
	// load returns the accelerator hours that a profile offers in an hour.
	load func(profile string, hour time.Time) float64
	// backlog is the work that waits at the start, in accelerator hours per profile.
	backlog map[string]float64
}

// outlook is the expected wait of one profile, hour by hour.
type outlook map[string][]time.Duration

// lane is one profile while an hour is shared out.
type lane struct {
	profile    config.Profile
	guaranteed float64
	asked      float64
	served     float64
}

// hour returns the start of the n-th hour.
func (s *scene) hour(n int) time.Time {
	return s.from.Add(time.Duration(n) * time.Hour)
}

// capacity returns the accelerator hours of the hour that starts at t.
func (s *scene) capacity(t time.Time) float64 {
	sum := 0.0
	for _, w := range s.workers {
		if w.Domain != s.domain || w.Leaving {
			continue
		}
		lost := time.Duration(0)
		for _, p := range s.stops {
			if isStopped(w, p) {
				lost = max(lost, overlap(t, t.Add(time.Hour), p.From, p.Until))
			}
		}
		sum += float64(w.Accelerators) * (time.Hour - lost).Hours()
	}
	return sum
}

func isStopped(w fleet.Worker, p config.Stop) bool {
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

func overlap(a, b, c, d time.Time) time.Duration {
	if c.After(a) {
		a = c
	}
	if d.Before(b) {
		b = d
	}
	return max(0, b.Sub(a))
}

// project shares the capacity out, hour by hour: guarantees first, then by urgency, equal urgencies in proportion.
func (s *scene) project() outlook {
	out := outlook{}
	backlog := map[string]float64{}
	for p, b := range s.backlog {
		backlog[p] = b
	}
	for n := range s.hours {
		t := s.hour(n)
		ls := s.lanes(t, backlog)
		share(ls, s.capacity(t))
		clear(backlog)
		for _, l := range ls {
			name := l.profile.Name
			backlog[name] = l.asked - l.served
			if out[name] == nil {
				out[name] = make([]time.Duration, s.hours)
			}
			out[name][n] = l.wait()
		}
	}
	return out
}

func (s *scene) lanes(t time.Time, backlog map[string]float64) []*lane {
	var ls []*lane
	for _, p := range s.config(t).Profiles {
		l := &lane{profile: p, asked: backlog[p.Name] + s.load(p.Name, t)}
		for _, g := range p.Guarantees {
			if g.Domain == s.domain {
				l.guaranteed += float64(g.Gangs * g.Shape.TotalAccelerators())
			}
		}
		ls = append(ls, l)
	}
	sortLanes(ls)
	return ls
}

func sortLanes(ls []*lane) {
	sort.Slice(ls, func(i, j int) bool { return isBefore(ls[i].profile, ls[j].profile) })
}

func isBefore(a, b config.Profile) bool {
	if a.Urgency.Rank() != b.Urgency.Rank() {
		return a.Urgency.Rank() < b.Urgency.Rank()
	}
	return a.Name < b.Name
}

func share(ls []*lane, left float64) {
	for _, l := range ls {
		l.served = min(l.asked, l.guaranteed, left)
		left -= l.served
	}
	for len(ls) > 0 {
		n := 1
		for n < len(ls) && ls[n].profile.Urgency.Rank() == ls[0].profile.Urgency.Rank() {
			n++
		}
		left -= shareEqual(ls[:n], left)
		ls = ls[n:]
	}
}

// shareEqual serves lanes of one urgency in proportion to what they still ask for, and returns what that took.
func shareEqual(ls []*lane, left float64) float64 {
	asked := 0.0
	for _, l := range ls {
		asked += l.asked - l.served
	}
	if asked <= 0 {
		return 0
	}
	part := min(1, left/asked)
	for _, l := range ls {
		l.served += (l.asked - l.served) * part
	}
	return asked * part
}

// negligible is an amount of work that is no backlog, in accelerator hours.
const negligible = 1e-6

// wait returns how long work that comes at the end of the hour waits at the hour's rate.
func (l *lane) wait() time.Duration {
	rest := l.asked - l.served
	if rest < negligible {
		return 0
	}
	if l.served < negligible {
		return maxWait
	}
	h := rest / l.served
	if h > maxWait.Hours() {
		return maxWait
	}
	return time.Duration(h * float64(time.Hour))
}

func sortedNames[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}
