package host

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

var (
	huntSeeds = flag.Int("stall.hunts", 2, "number of seeds of TestNoJobStallsAfterFaults")
	huntFirst = flag.Int("stall.hunt", 1, "first seed of TestNoJobStallsAfterFaults")
	huntWaves = flag.Int("stall.waves", 2, "number of times that faults come and go in a seed of TestNoJobStallsAfterFaults")
	huntOnly  = flag.String("stall.only", "", "name of the only fault of TestNoJobStallsAfterFaults, or empty for all")
	huntSkip  = flag.String("stall.skip", "", "name of a fault that TestNoJobStallsAfterFaults leaves out")
)

const (
	// maxFaults bounds the faults of a wave, each of which begins within faultSpread and lasts for maxFaultTime at most.
	maxFaults    = 4
	faultSpread  = 4 * time.Second
	maxFaultTime = 12 * time.Second
	// minCalm is the shortest time without faults between two waves.
	minCalm = 9 * time.Second
)

// hunt makes faults come and go in a site under a mixed load.
type hunt struct {
	*mixedSite
	rand *rand.Rand
	// hostCount numbers the hosts that replace others, and configCount the configurations.
	hostCount   int
	configCount int
	adjust      runAdjuster
}

// action is one thing that a hunt does at a time.
type action struct {
	at time.Time
	do func()
}

// TestNoJobStallsAfterFaults guards against accepted jobs that have nothing running beside room for them while no fault is in
// force, after faults that came and went under load, also several at a time.
func TestNoJobStallsAfterFaults(t *testing.T) {
	for i := range *huntSeeds {
		seed := uint64(*huntFirst + i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 9))
			limits := largeLimits
			limits.MaxHold = []time.Duration{6 * time.Second, 10 * time.Second}[seed%2]
			share := 0.3 + 0.6*r.Float64()
			runMixedSite(t, seed, *stallWorkers, share, limits, func(x *mixedSite) {
				h := &hunt{mixedSite: x, rand: r}
				x.runners.SetAdjust(h.adjust.apply)
				x.runners.SetAttempts(moreAttempts)
				x.load.poisonous = 0.02
				x.load.advance(4 * time.Second)
				for range *huntWaves {
					h.runWave()
				}
				for _, y := range x.m.findStalls(maxStall) {
					if y.isCalm {
						t.Errorf("leases of %s, load %.2f: %s, of these %v have ended", limits.MaxHold, share, y, h.findRemoved(y.lastOn))
					}
				}
				require.Empty(t, x.runners.Faults())
			})
		})
	}
}

// runWave lets some faults come and go, and then some time pass in which there are changes of the load and of the configuration
// alone.
func (h *hunt) runWave() {
	var as []action
	now := time.Now()
	for range 1 + h.rand.IntN(maxFaults) {
		f := h.drawFault()
		at := now.Add(h.drawTime(faultSpread))
		end := func() {}
		as = append(as, action{at, func() { end = h.begin(f) }}, action{at.Add(h.drawTime(maxFaultTime)), func() { end() }})
	}
	for range h.rand.IntN(3) {
		c := changes[h.rand.IntN(len(changes))]
		as = append(as, action{now.Add(h.drawTime(faultSpread + maxFaultTime + minCalm)), func() {
			h.log.Info("change", "Kind", c.name)
			c.do(h)
		}})
	}
	slices.SortStableFunc(as, func(x, y action) int { return x.at.Compare(y.at) })
	for _, a := range as {
		h.load.advance(time.Until(a.at))
		a.do()
	}
	h.load.advance(minCalm + h.drawTime(4*time.Second))
}

func (h *hunt) drawTime(most time.Duration) time.Duration {
	return time.Duration(h.rand.Int64N(int64(most)))
}

func (h *hunt) drawFault() fault {
	if i := slices.IndexFunc(faults, func(f fault) bool { return f.name == *huntOnly }); i >= 0 {
		return faults[i]
	}
	f := faults[h.rand.IntN(len(faults))]
	for f.name == *huntSkip {
		f = faults[h.rand.IntN(len(faults))]
	}
	return f
}

// begin injects a fault, and returns the function that ends it.
func (h *hunt) begin(f fault) func() {
	h.log.Info("fault begins", "Kind", f.name)
	isOver := h.m.beginFault()
	end := f.begin(h)
	return func() {
		h.log.Info("fault ends", "Kind", f.name)
		end()
		isOver()
	}
}

// pickVictim returns a live host, the owner more often than not.
func (h *hunt) pickVictim() string {
	if o := h.owner(); o != "" && h.rand.IntN(3) > 0 {
		return o
	}
	return h.pickHost(h.rand)
}

// end ends the process of a host without a warning.
func (h *hunt) end(host string) {
	h.kill(host)
	h.stopHost(host)
}

// replace starts a new host in place of one that is gone.
func (h *hunt) replace() {
	h.hostCount++
	h.start(fmt.Sprintf("n%d", h.hostCount))
}

// pickWorkers returns a few of the workers that can be used.
func (h *hunt) pickWorkers() []fleet.Worker {
	var ws []fleet.Worker
	for _, i := range h.rand.Perm(len(h.workers))[:1+h.rand.IntN(4)] {
		if w := h.workers[i]; h.roster.isUsable(w.Name) {
			ws = append(ws, w)
		}
	}
	return ws
}

// pickThird returns the names of a third of the workers.
func (h *hunt) pickThird() []string {
	n := len(h.workers) / 3
	var names []string
	for _, w := range h.workers[h.rand.IntN(3)*n:][:n] {
		names = append(names, w.Name)
	}
	return names
}

// configure writes the next configuration with a variant of its content.
func (h *hunt) configure(variant int) {
	h.configCount++
	v := fmt.Sprint(10*h.configCount + variant)
	a := port.Append{Topic: testOperators, Entries: []port.Entry{{Key: "config", Value: []byte(v)}}}
	_, err := h.store.View("operator").Append(h.t.Context(), a)
	require.NoError(h.t, err)
}

// findRemoved returns those of some workers that have ended for good.
func (h *hunt) findRemoved(names []string) []string {
	h.roster.mu.Lock()
	defer h.roster.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !h.roster.removed[n] })
}

// cancelSome cancels a share of the open jobs.
func (h *hunt) cancelSome(share float64) {
	for _, j := range h.m.findOpen() {
		if h.rand.Float64() < share {
			x := h.hosts[h.pickHost(h.rand)]
			h.m.cancel(j)
			go func() { _ = x.intake.Cancel(h.t.Context(), j, 3*time.Second) }()
		}
	}
}

// runAdjuster changes the outcome of runs on some workers.
type runAdjuster struct {
	mu sync.Mutex
	// failing workers fail all runs, and slow ones take ten times as long.
	failing map[string]bool
	slow    map[string]bool
}

func (a *runAdjuster) apply(worker string, o standin.RunOutcome) standin.RunOutcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failing[worker] {
		o.Work, o.Result = 100*time.Millisecond, jobs.FailedRun
	}
	if a.slow[worker] {
		o.Work *= 10
	}
	return o
}

// set replaces the failing and the slow workers.
func (a *runAdjuster) set(failing, slow []fleet.Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failing, a.slow = map[string]bool{}, map[string]bool{}
	for _, w := range failing {
		a.failing[w.Name] = true
	}
	for _, w := range slow {
		a.slow[w.Name] = true
	}
}
