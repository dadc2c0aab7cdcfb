package host

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

var (
	seeds        = flag.Int("site.seeds", 40, "number of seeds that TestSiteUnderRandomFaults runs")
	stallSeeds   = flag.Int("stall.seeds", 3, "number of seeds of the tests for stalled jobs")
	stallDisable = flag.String("stall.disable", "", "mechanisms of the planner that are switched off in the tests for stalled jobs")
	stallWorkers = flag.Int("stall.workers", 24, "number of workers in the tests for stalled jobs")
	firstSeed    = flag.Int("site.seed", 1, "first seed of TestSiteUnderRandomFaults")
)

// failedSeeds are seeds that failed once, each with its cause. A seed does not determine the order of goroutines, so it may
// pass even if its cause is back.
var failedSeeds = []uint64{
	12118, // starts reached the next instance of a worker and were then counted as lost
	7302,  // results stored late advanced the acknowledgement to the next instance of the worker
	24589, // a term was renewed forever after its engine had ended
	5178,  // a successful result arrived after its run was counted as lost
	32379, // a poll carried the acknowledgement for the previous instance of the worker
	5072,  // the first poll after a crash acknowledged results that no owner had read
	14189, // a result in the first report of an instance was counted as lost
	24265, // an unanswered start reached the next instance after its run was counted as lost
}

// TestSiteUnderRandomFaults submits jobs while hosts, store and workers fail at random, also several at a time. Every
// accepted job must end, and the workers must detect no fault.
func TestSiteUnderRandomFaults(t *testing.T) {
	all := slices.Clone(failedSeeds)
	for i := range *seeds {
		all = append(all, uint64(*firstSeed+i))
	}
	for _, seed := range all {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			runs := newRandomRuns(seed)
			runInSite(t, runs.outcome, threeHosts, func(s *site) {
				s.advance(2 * time.Second)
				for n := range 24 {
					s.submitRandom(r, n, runs)
					s.advance(time.Duration(r.IntN(600)) * time.Millisecond)
					for range r.IntN(2) {
						s.injectRandomFault(r, n)
					}
				}
				s.clearFaults()
				s.requireAllEnded(2 * time.Minute)
			})
		})
	}
}

// randomRuns draws the duration and the result of runs.
type randomRuns struct {
	mu        sync.Mutex
	rand      *rand.Rand
	failing   map[string]bool
	gangSizes map[string]int
}

func newRandomRuns(seed uint64) *randomRuns {
	return &randomRuns{rand: rand.New(rand.NewPCG(seed, 1)), failing: map[string]bool{}, gangSizes: map[string]int{}}
}

func (f *randomRuns) setFailing(id string, is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing[id] = is
}

func (f *randomRuns) setGangSize(id string, step, tasks int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gangSizes[fmt.Sprint(id, step)] = tasks
}

// outcome draws the outcome of a run. All runs of failing jobs fail, and one in twelve of the others.
func (f *randomRuns) outcome(x port.RunRef, spec string) standin.RunOutcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := time.Duration(100+f.rand.IntN(3000)) * time.Millisecond
	out := standin.RunOutcome{Work: d, Result: jobs.Done, Gang: f.gangSizes[fmt.Sprint(x.Job, x.Step)]}
	if f.failing[spec] || f.rand.IntN(12) == 0 {
		out.Work, out.Result = d/4, jobs.FailedRun
	}
	return out
}

// submitRandom submits one job at a random host, and sometimes submits it again at another host or cancels it.
func (s *site) submitRandom(r *rand.Rand, n int, runs *randomRuns) {
	id := fmt.Sprintf("%016x", n)
	isFailing := r.IntN(8) == 0
	var steps []jobs.Step
	for k := range 1 + r.IntN(2) {
		x := taskStep(1 + r.IntN(4))
		if r.IntN(2) == 0 {
			x = gangStep(1+r.IntN(4), 1+r.IntN(2))
			runs.setGangSize(id, k, x.Tasks)
		}
		if k > 0 {
			x.After = []int{0}
		}
		steps = append(steps, x)
	}
	runs.setFailing(id, isFailing)
	q := []string{"urgent", "quiet"}[r.IntN(2)]
	host := s.pickHost(r)
	err := s.submit(host, id, q, steps...)
	s.log.Info("submitted", "Job", id, "Host", host, "Cause", err)
	if err != nil || r.IntN(4) == 0 {
		_ = s.submit(s.pickHost(r), id, q, steps...)
	}
	if r.IntN(8) == 0 {
		_ = s.hosts[s.pickHost(r)].intake.Cancel(s.t.Context(), id, 3*time.Second)
	}
}

func (s *site) pickHost(r *rand.Rand) string {
	for {
		for _, h := range s.names[r.IntN(len(s.names)):] {
			if s.hosts[h] != nil {
				return h
			}
		}
	}
}

// injectRandomFault injects one fault, which lasts until clearFaults if it does not end by itself, or clears all faults.
func (s *site) injectRandomFault(r *rand.Rand, n int) {
	o := s.owner()
	if o == "" || r.IntN(3) == 0 {
		o = s.pickHost(r)
	}
	w := testWorker(r.IntN(6))
	kind := r.IntN(10)
	s.log.Info("trouble", "Kind", kind, "Host", o, "Worker", w.Name)
	switch kind {
	case 0:
		s.kill(o)
		s.start(fmt.Sprintf("n%d-%d", n, r.IntN(1000)))
	case 1:
		s.store.SetUnresponsive(o, true)
	case 2:
		s.store.SetRejected(o, true)
	case 3:
		s.store.SetLossy(o, true, time.Duration(r.IntN(3))*time.Second)
	case 4:
		s.runners.SetCommandDelay(w.Addr, time.Duration(1+r.IntN(6))*time.Second)
	case 5:
		s.runners.Add(w)
	case 6:
		s.mu.Lock()
		s.cut[[2]string{o, w.Name}] = true
		s.mu.Unlock()
	case 7:
		s.store.Expire(jobsTopic)
	case 8:
		for h := range s.hosts {
			s.store.SetUnresponsive(h, true)
		}
	default:
		s.clearFaults()
	}
}

// clearFaults ends all faults that can end.
func (s *site) clearFaults() {
	s.mu.Lock()
	clear(s.cut)
	s.mu.Unlock()
	for h := range s.hosts {
		s.store.SetUnresponsive(h, false)
		s.store.SetRejected(h, false)
		s.store.SetLossy(h, false, 0)
	}
	for i := range 6 {
		s.runners.SetCommandDelay(testWorker(i).Addr, 0)
	}
}

// requireAllEnded waits until every accepted job has ended with the same state at every host, and checks that the workers
// detected no fault.
func (s *site) requireAllEnded(within time.Duration) {
	s.t.Helper()
	until := time.Now().Add(within)
	for {
		unfinished := s.findUnfinished()
		if unfinished == "" {
			break
		}
		if time.Now().After(until) {
			require.Fail(s.t, "jobs have not ended", unfinished)
		}
		s.advance(200 * time.Millisecond)
	}
	require.Empty(s.t, s.runners.Faults())
}

func (s *site) findUnfinished() string {
	for _, id := range s.ids {
		var first intake.Progress
		for i, n := range s.liveHosts() {
			p, err := s.hosts[n].intake.GetProgress(s.t.Context(), id)
			if err != nil || p < intake.Completed || i > 0 && p != first {
				return fmt.Sprintf("%s at %s: state %d, error %v", id, n, p, err)
			}
			first = p
		}
	}
	return ""
}
