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
	seeds     = flag.Int("site.seeds", 40, "how many seeds TestSiteUnderRandomTrouble plays")
	firstSeed = flag.Int("site.seed", 1, "the first seed of TestSiteUnderRandomTrouble")
)

// failedSeeds are seeds that failed once, each with its cause. The order of goroutines is not part of a seed, so that a
// seed need not fail again where its cause is back.
var failedSeeds = []uint64{
	12118, // starts went to the next lifetime of a worker and were then counted as lost
	7302,  // ends stored late moved what the next lifetime of the worker may forget
	24589, // a term whose engine had ended was renewed for ever
	5178,  // a good end came back after its run was counted as lost
	32379, // a look with the acknowledged end of the former lifetime
	5072,  // the first look after a crash acknowledged ends that nobody had read
	14189, // an end that the first report of a lifetime lists was counted as lost
	24265, // a start that was never answered reached the next lifetime after its run counted as lost
}

// TestSiteUnderRandomTrouble hands jobs in while hosts, store and workers fail at random, two and more at a time, and
// then wants every accepted job to end, and no promise of the workers to have been broken on the way.
func TestSiteUnderRandomTrouble(t *testing.T) {
	all := slices.Clone(failedSeeds)
	for i := range *seeds {
		all = append(all, uint64(*firstSeed+i))
	}
	for _, seed := range all {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			x := newFates(seed)
			inSite(t, x.plan, three, func(s *site) {
				s.wait(2 * time.Second)
				for n := range 24 {
					s.submitRandom(r, n, x)
					s.wait(time.Duration(r.IntN(600)) * time.Millisecond)
					for range r.IntN(2) {
						s.trouble(r, n)
					}
				}
				s.heal()
				s.requireAllEnded(2 * time.Minute)
			})
		})
	}
}

// fates draws how runs go.
type fates struct {
	mu     sync.Mutex
	work   *rand.Rand
	poison map[string]bool
	gangs  map[string]int
}

func newFates(seed uint64) *fates {
	return &fates{work: rand.New(rand.NewPCG(seed, 1)), poison: map[string]bool{}, gangs: map[string]int{}}
}

func (f *fates) setPoison(id string, is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poison[id] = is
}

func (f *fates) setGang(id string, step, tasks int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gangs[fmt.Sprint(id, step)] = tasks
}

// plan draws the fate of a run; those of poisoned jobs fail, and one in twelve of the others.
func (f *fates) plan(x port.RunRef, spec string) standin.RunFate {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := time.Duration(100+f.work.IntN(3000)) * time.Millisecond
	out := standin.RunFate{Work: d, Result: jobs.Done, Gang: f.gangs[fmt.Sprint(x.Job, x.Step)]}
	if f.poison[spec] || f.work.IntN(12) == 0 {
		out.Work, out.Result = d/4, jobs.FailedRun
	}
	return out
}

// submitRandom hands one job in at a random host, and sometimes again at another one, or cancels it.
func (s *site) submitRandom(r *rand.Rand, n int, f *fates) {
	id := fmt.Sprintf("%016x", n)
	isPoison := r.IntN(8) == 0
	var steps []jobs.Step
	for k := range 1 + r.IntN(2) {
		x := tasks(1 + r.IntN(4))
		if r.IntN(2) == 0 {
			x = gang(1+r.IntN(4), 1+r.IntN(2))
			f.setGang(id, k, x.Tasks)
		}
		if k > 0 {
			x.After = []int{0}
		}
		steps = append(steps, x)
	}
	f.setPoison(id, isPoison)
	q := []string{"urgent", "quiet"}[r.IntN(2)]
	host := s.pick(r)
	err := s.submit(host, id, q, steps...)
	s.log.Info("submitted", "Job", id, "Host", host, "Cause", err)
	if err != nil || r.IntN(4) == 0 {
		_ = s.submit(s.pick(r), id, q, steps...)
	}
	if r.IntN(8) == 0 {
		_ = s.hosts[s.pick(r)].intake.Cancel(s.t.Context(), id, 3*time.Second)
	}
}

func (s *site) pick(r *rand.Rand) string {
	for {
		for _, h := range s.names[r.IntN(len(s.names)):] {
			if s.hosts[h] != nil {
				return h
			}
		}
	}
}

// trouble brings one fault about; some heal by themselves later, the others with heal.
func (s *site) trouble(r *rand.Rand, n int) {
	o := s.owner()
	if o == "" || r.IntN(3) == 0 {
		o = s.pick(r)
	}
	w := testWorker(r.IntN(6))
	kind := r.IntN(10)
	s.log.Info("trouble", "Kind", kind, "Host", o, "Worker", w.Name)
	switch kind {
	case 0:
		s.kill(o)
		s.start(fmt.Sprintf("n%d-%d", n, r.IntN(1000)))
	case 1:
		s.store.SetSilent(o, true)
	case 2:
		s.store.SetRefused(o, true)
	case 3:
		s.store.SetLossy(o, true, time.Duration(r.IntN(3))*time.Second)
	case 4:
		s.runners.SetDrop(w.Addr, time.Duration(1+r.IntN(6))*time.Second)
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
			s.store.SetSilent(h, true)
		}
	default:
		s.heal()
	}
}

// heal ends all faults.
func (s *site) heal() {
	s.mu.Lock()
	clear(s.cut)
	s.mu.Unlock()
	for h := range s.hosts {
		s.store.SetSilent(h, false)
		s.store.SetRefused(h, false)
		s.store.SetLossy(h, false, 0)
	}
	for i := range 6 {
		s.runners.SetDrop(testWorker(i).Addr, 0)
	}
}

// requireAllEnded waits until every accepted job has ended in some way, the same at every host.
func (s *site) requireAllEnded(within time.Duration) {
	s.t.Helper()
	until := time.Now().Add(within)
	for {
		open := s.findOpen()
		if open == "" {
			break
		}
		if time.Now().After(until) {
			require.Fail(s.t, "jobs have not ended", open)
		}
		s.wait(200 * time.Millisecond)
	}
	require.Empty(s.t, s.runners.Faults())
}

func (s *site) findOpen() string {
	for _, id := range s.ids {
		var first intake.Progress
		for i, n := range s.live() {
			p, err := s.hosts[n].intake.GetProgress(s.t.Context(), id)
			if err != nil || p < intake.Completed || i > 0 && p != first {
				return fmt.Sprintf("%s at %s: state %d, error %v", id, n, p, err)
			}
			first = p
		}
	}
	return ""
}
