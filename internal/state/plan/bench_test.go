package plan

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// loaded returns a failure domain in which gangs take 23 of 24 slots, half of them preemptible.
func loaded(b *testing.B, n, queued int) (*Planner, time.Time) {
	lent := config.Profile{Name: "Lent", Urgency: config.Quiet, Stoppable: true, ReclaimBound: 2 * time.Second, WaitBound: time.Hour}
	firm := config.Profile{Name: "Firm", Urgency: config.Normal, WaitBound: time.Hour}
	vip := config.Profile{
		Name: "Vip", Urgency: config.Urgent, WaitBound: 3600 * time.Millisecond,
		Guarantees: guarantee("Fees", max(n/48, 1), fleet.Shape{Tasks: 128, Accelerators: 1, Adjacent: fleet.LevelDomain}),
	}
	p := New("north-quay")
	p.Configure(profiles(lent, firm, vip))
	for i := range n {
		p.PutWorker(fleet.Worker{
			Name: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/8), Domain: "north-quay",
			Slots: 24, Accelerators: 24, Processors: 128, Memory: 512 * fleet.Gigabyte,
		})
	}
	r := rand.New(rand.NewPCG(1, 2))
	at := start
	for tasks := 0; tasks < n*23; {
		k := []int{1, 2, 4, 8, 16, 32}[r.IntN(6)]
		tasks += k
		p.submit(b, fmt.Sprintf("run%06d", tasks), []string{"Lent", "Firm"}[r.IntN(2)], k, at)
	}
	for range 20 {
		at = at.Add(time.Second)
		run(p, p.Pass(at), at)
	}
	for id, e := range p.jobs {
		if e.isQueued() {
			p.Cancel([]string{id})
		}
	}
	for i := range queued {
		p.submit(b, fmt.Sprintf("wait%06d", i), []string{"Lent", "Firm"}[r.IntN(2)], 1<<r.IntN(7), at)
	}
	return p, at.Add(10 * time.Minute)
}

func (p *Planner) submit(b *testing.B, id, profile string, tasks int, at time.Time) {
	j := fleet.Job{
		ID: id, Organisation: fmt.Sprintf("o%d", len(id)+tasks%5), Profile: profile, Submitted: at, RunTime: time.Hour,
		Shape: fleet.Shape{Tasks: tasks, Accelerators: 1, Processors: 1, Memory: fleet.Gigabyte, Adjacent: fleet.LevelRack},
	}
	if err := p.Submit(j); err != nil {
		b.Fatal(err)
	}
}

var sizes = []int{120, 480, 1920, 5300}

// BenchmarkPass measures a full pass with a thousand queued jobs on a full failure domain.
func BenchmarkPass(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			p, at := loaded(b, n, 1000)
			run(p, p.Pass(at), at)
			for b.Loop() {
				at = at.Add(time.Millisecond)
				p.Pass(at)
			}
			b.ReportMetric(float64(p.capacity.Slots), "slots")
		})
	}
}

// BenchmarkPlaceGang measures the search for a gang of 128 on an empty failure domain.
func BenchmarkPlaceGang(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			p, at := loaded(b, n, 0)
			for id := range p.jobs {
				p.Ended(Ended{Job: id, Result: ResultStopped, At: at})
			}
			p.Pass(at)
			p.targets = p.findTargets(nil)
			e := p.newEntry(fleet.Job{ID: "g", Profile: "Firm", RunTime: time.Hour, Shape: fleet.Shape{
				Tasks: 128, Accelerators: 1, Processors: 1, Memory: fleet.Gigabyte, Adjacent: fleet.LevelDomain,
			}})
			for b.Loop() {
				if s, _ := p.findSites(e); s == nil {
					b.Fatal("no room")
				}
			}
		})
	}
}

// BenchmarkReclaim measures the search for the borrowers to stop for a guaranteed gang of 128.
func BenchmarkReclaim(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			p, at := loaded(b, n, 0)
			p.Pass(at)
			e := p.newEntry(fleet.Job{ID: "g", Organisation: "Fees", Profile: "Vip", Shape: fleet.Shape{
				Tasks: 128, Accelerators: 1, Adjacent: fleet.LevelDomain,
			}})
			g := p.reservations.Find("Fees", "Vip", e.shape)[0]
			for b.Loop() {
				if c := p.cheapestForGang(e, g, at); !c.ok {
					b.Fatal("no plan")
				}
			}
		})
	}
}

// BenchmarkPlannerMemory measures the heap use of a planner with a thousand queued jobs on a full failure domain.
func BenchmarkPlannerMemory(b *testing.B) {
	for _, n := range sizes[:3] {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			var used uint64
			for b.Loop() {
				before := heap()
				p, _ := loaded(b, n, 1000)
				used = heap() - before
				runtime.KeepAlive(p)
			}
			b.ReportMetric(float64(used), "heapB")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkPassUnderOverload measures a pass with 2,000 small overdue jobs queued for 360 full workers.
func BenchmarkPassUnderOverload(b *testing.B) {
	p := New("north-quay", WithLossBounds(1.5, 0.3))
	p.Configure(profiles(audit, urgent, config.Profile{Name: "Normal", Urgency: config.Normal, WaitBound: time.Second, Stoppable: true}))
	for _, w := range workers(18, 20) {
		p.PutWorker(w)
	}
	for i := range 360 {
		j := volatile(fmt.Sprintf("on%03d", i), "Audit", shape(8, 1, fleet.LevelWorker))
		if err := p.Submit(j); err != nil {
			b.Fatal(err)
		}
	}
	d := p.Pass(start)
	run(p, d, start)
	for i := range 2000 {
		j := volatile(fmt.Sprintf("q%04d", i), "Normal", shape(1, 1, fleet.LevelDomain))
		if err := p.Submit(j); err != nil {
			b.Fatal(err)
		}
	}
	at := start.Add(10 * time.Minute)
	b.ResetTimer()
	for range b.N {
		p.Pass(at)
		at = at.Add(time.Millisecond)
	}
}

// BenchmarkPassWithManyShapes measures a pass over jobs of as many shapes that have waited for a minute, with and without a bound on
// their idle time; each worker has some room, but too little memory for any of them.
func BenchmarkPassWithManyShapes(b *testing.B) {
	for _, queued := range []int{1000, 10_000} {
		for _, bound := range []time.Duration{0, 2 * time.Second} {
			b.Run(fmt.Sprintf("workers=1100/queued=%d/bound=%s", queued, bound), func(b *testing.B) {
				p, at := manyShapes(b, 1100, queued, WithIdleBound(bound))
				for b.Loop() {
					at = at.Add(time.Millisecond)
					if d := p.Pass(at); len(d.Starts) > 0 {
						b.Fatal("a job has started")
					}
				}
			})
		}
	}
}

// manyShapes returns a failure domain in which each worker runs a job that leaves slots, accelerators and 8 GB of memory, and in which
// jobs of different shapes that need more are queued.
func manyShapes(b *testing.B, n, queued int, opts ...Option) (*Planner, time.Time) {
	p := New("north-quay", append(opts, WithPartialFleet())...)
	p.Configure(profiles(audit))
	for _, w := range workers(n/20, 20) {
		w.Labels = "a,b,c"
		p.PutWorker(w)
		j := volatile("on"+w.Name, "Audit", shape(1, 1, fleet.LevelDomain))
		j.Shape.Memory = w.Memory - 8*fleet.Gigabyte
		if err := p.Submit(j); err != nil {
			b.Fatal(err)
		}
	}
	run(p, p.Pass(start), start)
	for i := range queued {
		j := volatile(fmt.Sprintf("q%05d", i), "Audit", shape(1+i%3, 1, fleet.LevelDomain))
		j.Shape.Memory = 9*fleet.Gigabyte + fleet.Bytes(i)
		j.Label = []string{"", "b"}[i%2]
		if err := p.Submit(j); err != nil {
			b.Fatal(err)
		}
	}
	return p, start.Add(time.Minute)
}
