package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

var (
	bulk   = config.Profile{Name: "Bulk", Urgency: config.Quiet, WaitBound: 10 * time.Second, Stoppable: true, ReclaimBound: 400 * time.Millisecond}
	normal = config.Profile{Name: "Normal", Urgency: config.Normal, WaitBound: 10 * time.Second, Stoppable: true, ReclaimBound: 400 * time.Millisecond}
)

// overload is an overcommitted fleet of racks of 12 workers with 8 accelerators each, with bulk jobs of many
// independent tasks queued behind gangs.
type overload struct {
	*Planner
	r    *rand.Rand
	at   time.Time
	jobs int
	// ends holds the end of each started unit.
	ends map[string]time.Time
	runs map[string]time.Duration
}

func newOverload(workers int) *overload {
	p := New("", WithRestartCost(500*time.Millisecond), WithClaimBound(2900*time.Millisecond), WithLossBounds(1.5, 0.3),
		WithHeadroom(10*time.Second, 1), WithIdleBound(2*time.Second))
	p.Configure(profiles(bulk, normal, urgent))
	g := map[string]int{}
	for o := range 24 {
		g[fmt.Sprintf("org%02d", o)] = workers * 8 * 6 / 10 / 24
	}
	p.SetGuaranteed(g)
	for i := range workers {
		p.PutWorker(fleet.Worker{
			Name: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/12),
			Slots: 8, Accelerators: 8, Processors: 128_000, Memory: 512 * fleet.Gigabyte,
		})
	}
	return &overload{
		Planner: p, r: rand.New(rand.NewPCG(1, 2)), at: start, ends: map[string]time.Time{}, runs: map[string]time.Duration{},
	}
}

// submit submits a job as the given number of units.
func (o *overload) submit(profile string, s fleet.Shape, units int, run time.Duration, stretch float64) {
	o.jobs++
	org := fmt.Sprintf("org%02d", o.r.IntN(24))
	if !o.FitsEmptyRack(s, "") {
		s.Adjacent = fleet.LevelDomain
	}
	for i := range units {
		id := fmt.Sprintf("%016x/0/%d", o.jobs, i)
		o.runs[id] = run
		j := fleet.Job{
			ID: id, Submission: fmt.Sprintf("%016x", o.jobs), Organisation: org, Profile: profile, Shape: s, RunTime: run, Submitted: o.at, LosesProgress: true,
			Objective: 3 * time.Second, Stretch: stretch,
		}
		if err := o.Submit(j); err != nil {
			panic(err)
		}
	}
}

func (o *overload) accelerators() int {
	return []int{1, 2, 4, 8, 8}[o.r.IntN(5)]
}

// fill queues the given number of bulk units, and gangs of normal urgency ahead of them.
func (o *overload) fill(units int) {
	for range units / 80 {
		o.submit("Bulk", fleet.Shape{Tasks: 1, Accelerators: 1, Processors: 11_000, Memory: 59 * fleet.Gigabyte, Adjacent: fleet.LevelDomain}, 80, 6*time.Second, 3)
	}
	for range units / 60 {
		k := o.accelerators()
		o.submit("Normal", fleet.Shape{Tasks: 4 + o.r.IntN(60), Accelerators: k, Processors: 52_000, Memory: 150 * fleet.Gigabyte, Adjacent: fleet.LevelRack}, 1, 8*time.Second, 3)
	}
}

// urgentBurst submits n urgent gangs.
func (o *overload) urgentBurst(n int) {
	for range n {
		k := o.accelerators()
		o.submit("Urgent", fleet.Shape{Tasks: 2 + o.r.IntN(12), Accelerators: k, Processors: 15_000, Memory: 79 * fleet.Gigabyte, Adjacent: fleet.LevelRack}, 1, 2500*time.Millisecond, 1.5)
	}
}

// step advances the time, ends the units that are due, and carries out the decisions of one pass at once.
func (o *overload) step(d time.Duration) Decisions {
	o.at = o.at.Add(d)
	for id, at := range o.ends {
		if !o.at.Before(at) {
			delete(o.ends, id)
			o.Ended(Ended{Job: id, Result: ResultDone, At: o.at})
		}
	}
	x := o.Pass(o.at)
	for _, s := range x.Starts {
		o.Started(s.Job.ID, o.at)
		o.ends[s.Job.ID] = o.at.Add(o.runs[s.Job.ID])
	}
	for _, s := range x.Stops {
		delete(o.ends, s.Job)
		o.Ended(Ended{Job: s.Job, Result: ResultStopped, At: o.at, Requeue: true})
	}
	return x
}

// BenchmarkPassWithLongQueue measures a pass with thousands of queued bulk units while urgent gangs arrive.
func BenchmarkPassWithLongQueue(b *testing.B) {
	for _, n := range []int{120, 1100} {
		for _, queued := range []int{1000, 10_000} {
			b.Run(fmt.Sprintf("workers=%d/queued=%d", n, queued), func(b *testing.B) {
				o := newOverload(n)
				o.fill(queued)
				for range 40 {
					o.step(100 * time.Millisecond)
				}
				for b.Loop() {
					o.urgentBurst(1)
					o.step(50 * time.Millisecond)
				}
			})
		}
	}
}

// BenchmarkPassThatStartsALongQueue measures passes that start bulk units on a fleet with room for many.
func BenchmarkPassThatStartsALongQueue(b *testing.B) {
	o := newOverload(1100)
	o.fill(4000)
	b.ResetTimer()
	for range b.N {
		o.step(50 * time.Millisecond)
		b.StopTimer()
		for id := range o.ends {
			delete(o.ends, id)
			o.Ended(Ended{Job: id, Result: ResultStopped, At: o.at, Requeue: true})
		}
		b.StartTimer()
	}
}

// BenchmarkUrgentPass measures a pass over urgent jobs with thousands of queued bulk units.
func BenchmarkUrgentPass(b *testing.B) {
	o := newOverload(1100)
	o.fill(10_000)
	for range 40 {
		o.step(100 * time.Millisecond)
	}
	b.ResetTimer()
	for range b.N {
		o.at = o.at.Add(15 * time.Millisecond)
		o.PassUrgent(o.at)
	}
}
