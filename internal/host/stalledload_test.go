package host

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/auburncleat/auburncleat/internal/state/queue"
)

// The last digit of the version of a mixed configuration selects its variant.
const (
	configPlain = 1 + iota
	// configShares takes the guarantee of the first organisation away.
	configShares
	// configNoKey has no key for the last organisation.
	configNoKey
	// configLimits allows more failed runs and more time.
	configLimits
	// configNoQueue lacks the last queue.
	configNoQueue
)

// maxCancels bounds the requests to cancel a job.
const maxCancels = 5

// moreAttempts is the largest number of failed runs of a task that any variant allows.
const moreAttempts = 6

// mixedConfig has three urgencies and four organisations, whose keys are their names.
func mixedConfig(version int64, workers int) *queue.Config {
	c := &queue.Config{Version: version, Keys: map[string]string{}}
	for _, q := range []queue.Queue{
		{Name: "urgent", Urgency: config.Urgent, MaxAttempts: 4, Stretch: 1.5, Objective: 250 * time.Millisecond},
		{Name: "normal", Urgency: config.Normal, MaxAttempts: 4, Stretch: 3, Objective: time.Second},
		{Name: "quiet", Urgency: config.Quiet, MaxAttempts: 4, Stretch: 3, Objective: 3 * time.Second},
	} {
		q.Host, q.Prefix = "h", "/"+q.Name+"/"
		c.Queues = append(c.Queues, q)
	}
	for i := range 4 {
		n := fmt.Sprintf("org%d", i)
		c.Organisations = append(c.Organisations, queue.Organisation{Name: n, Accelerators: workers * 8 * 6 / 10 / 4})
		c.Keys[n] = n
	}
	switch version % 10 {
	case configShares:
		for i := range c.Organisations {
			c.Organisations[i].Accelerators *= min(i, 1)
		}
	case configNoKey:
		delete(c.Keys, "org3")
	case configLimits:
		for i := range c.Queues {
			c.Queues[i].MaxAttempts, c.Queues[i].Stretch = moreAttempts, 2*c.Queues[i].Stretch
		}
	case configNoQueue:
		c.Queues = c.Queues[:2]
	}
	return c
}

// mixedLoad submits random jobs to a site.
type mixedLoad struct {
	m       *stallMonitor
	rand    *rand.Rand
	workers int
	// share is the fraction of the accelerators that the jobs need on average.
	share float64
	next  time.Time
	n     int
	// cancels is the share of jobs that are cancelled, and poisonous that of jobs whose runs all fail.
	cancels   float64
	poisonous float64

	mu    sync.Mutex
	steps map[string][]jobs.Step
	work  map[string]time.Duration
	// poison holds the jobs whose runs all fail.
	poison map[string]bool
	// failures draws the runs that fail.
	failures *rand.Rand
}

func newMixedLoad(seed uint64, workers int, share float64) *mixedLoad {
	return &mixedLoad{
		rand: rand.New(rand.NewPCG(seed, 7)), failures: rand.New(rand.NewPCG(seed, 8)), workers: workers, share: share,
		steps: map[string][]jobs.Step{}, work: map[string]time.Duration{}, poison: map[string]bool{}, cancels: 0.05,
	}
}

// outcome is the plan of the workers.
func (l *mixedLoad) outcome(r port.RunRef, id string) standin.RunOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := standin.RunOutcome{Work: l.work[id], Result: jobs.Done}
	if x := l.steps[id]; x != nil && x[r.Step].Gang {
		out.Gang = x[r.Step].Tasks
	}
	if l.failures.IntN(40) == 0 || l.poison[id] {
		out.Work, out.Result = out.Work/4, jobs.FailedRun
	}
	if x := l.steps[id]; x != nil && x[r.Step].Lasts {
		out.Lasts, out.Result = true, jobs.FailedRun
	}
	return out
}

// advance lets time pass and submits jobs meanwhile.
func (l *mixedLoad) advance(d time.Duration) {
	until := time.Now().Add(d)
	if l.next.IsZero() {
		l.next = time.Now()
	}
	for time.Now().Before(until) {
		for !l.next.After(time.Now()) {
			l.submit()
			// The jobs of one second need about 0.78 of the accelerators of 48 workers.
			rate := 3.9 * float64(l.workers) / 48 * l.share / 0.78
			l.next = l.next.Add(time.Duration(-math.Log(1-l.rand.Float64()) / rate * float64(time.Second)))
		}
		l.m.advance(min(sampleInterval, time.Until(until)))
	}
}

// submit submits one job at a random host.
func (l *mixedLoad) submit() {
	id, s := fmt.Sprintf("%016x", l.n), l.m.s
	l.n++
	q, steps, work := l.draw()
	org := fmt.Sprintf("org%d", l.rand.IntN(4))
	l.mu.Lock()
	l.steps[id], l.work[id] = steps, work
	l.poison[id] = l.poisonous > 0 && l.rand.Float64() < l.poisonous
	l.mu.Unlock()
	h := s.hosts[s.pickHost(l.rand)]
	cancelAfter := time.Duration(l.rand.IntN(6000)) * time.Millisecond
	isCancelled := l.rand.Float64() < l.cancels
	if steps[len(steps)-1].Lasts {
		isCancelled, cancelAfter = true, 5*cancelAfter
	}
	l.m.submit(id, steps)
	go func() {
		if s.submitOnce(org, h, id, q, steps...) != nil {
			return
		}
		l.m.accept(id, q, org, steps)
		if isCancelled {
			if clock.System().Sleep(s.t.Context(), cancelAfter) != nil {
				return
			}
			l.m.cancel(id)
			for range maxCancels {
				if h.intake.Cancel(s.t.Context(), id, 3*time.Second) == nil {
					return
				}
			}
		}
	}()
}

// draw returns the queue, the steps and the run time of a job.
func (l *mixedLoad) draw() (string, []jobs.Step, time.Duration) {
	r := l.rand
	sizes := []int{1, 2, 4, 8, 8}
	width := func(mean float64, limit int) int {
		return max(1, min(int(mean*math.Exp(0.8*r.NormFloat64()-0.32)+0.5), limit))
	}
	estimate := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * math.Exp(0.6*r.NormFloat64()))
	}
	length := func(mean float64, spread float64) time.Duration {
		return time.Duration(mean * math.Exp(spread*r.NormFloat64()) * float64(time.Second))
	}
	most := l.workers / 2
	var x jobs.Step
	switch k := r.Float64() * 3.9; {
	case k < 0.786:
		d := length(6.8, 0.3)
		x = jobs.Step{Tasks: width(5, min(30, most)), Accelerators: sizes[r.IntN(5)], Processors: 52, Memory: 270 * fleet.Gigabyte, Gang: true, Adjacent: r.Float64() < 0.6, Estimate: estimate(d), Checkpoints: r.Float64() < 0.45}
		if r.Float64() < 0.3 {
			x.Label, x.Tasks = "k1", min(x.Tasks, most/2)
		}
		return "normal", l.drawSteps(0.25, x), d
	case k < 0.786+2.38:
		d := length(2.5, 0.5)
		x = jobs.Step{Tasks: width(3.4, min(21, most)), Accelerators: sizes[r.IntN(5)], Processors: 15, Memory: 44 * fleet.Gigabyte, Gang: true, Adjacent: r.Float64() < 0.8, Estimate: estimate(d)}
		return "urgent", l.drawSteps(0.15, x), d
	case k < 0.786+2.38+0.16:
		d := length(8, 0.5)
		x = jobs.Step{Tasks: width(3, most), Accelerators: 1, Processors: 11, Memory: 59 * fleet.Gigabyte, Lasts: true, MayMiss: 1, Estimate: estimate(d)}
		return "quiet", []jobs.Step{x}, d
	default:
		d := length(6.1, 0.3)
		x = jobs.Step{Tasks: width(16, 4*most), Accelerators: 1, Processors: 11, Memory: 59 * fleet.Gigabyte, Estimate: estimate(d), Checkpoints: r.Float64() < 0.45}
		if r.Float64() < 0.12 {
			x.Label = "k1"
		}
		if r.Float64() < 0.12 {
			x.PerWorker = 1 + r.IntN(2)
		}
		return "quiet", l.drawSteps(0.5, x), d
	}
}

// drawSteps returns a step and, with a given probability, one of half as many tasks after it.
func (l *mixedLoad) drawSteps(p float64, x jobs.Step) []jobs.Step {
	if l.rand.Float64() >= p {
		return []jobs.Step{x}
	}
	y := x
	y.After = []int{0}
	y.Tasks = max(1, x.Tasks/2)
	return []jobs.Step{x, y}
}

// largeLimits are the limits of the workers of a large site.
var largeLimits = standin.RunLimits{Attempts: 4, MaxHold: 10 * time.Second, StopTimeout: 200 * time.Millisecond, GangTimeout: 3 * time.Second}

// mixedSite is a large site under a mixed load.
type mixedSite struct {
	*site
	m      *stallMonitor
	roster *roster
	load   *mixedLoad
}

// runMixedSite runs f in a site under a mixed load that has begun.
func runMixedSite(t *testing.T, seed uint64, workers int, share float64, limits standin.RunLimits, f func(x *mixedSite)) {
	t.Helper()
	l := newMixedLoad(seed, workers, share)
	runInLimitedSite(t, limits, largeWorkers(workers), l.outcome, nil, func(s *site) {
		s.decode = func(e port.Entry) (*queue.Config, error) {
			var v int64
			_, err := fmt.Sscan(string(e.Value), &v)
			return mixedConfig(v, workers), err
		}
		if *stallDisable != "" {
			for _, n := range strings.Split(*stallDisable, ",") {
				s.disabled = append(s.disabled, plan.Mechanism(n))
			}
		}
		x := &mixedSite{site: s, roster: s.useRoster(), load: l}
		x.m = &stallMonitor{s: s, roster: x.roster}
		l.m = x.m
		for _, h := range threeHosts {
			s.start(h)
		}
		s.advance(2 * time.Second)
		f(x)
	})
}
