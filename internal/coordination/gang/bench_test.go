package gang

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// instantWorkers returns workers that reply without delay, so that the benchmark measures this package alone.
func instantWorkers() port.Workers {
	refs := func(context.Context, netip.AddrPort, fleet.Term, []fleet.TaskRef) error {
		return nil
	}
	return port.Workers{
		Prepare: func(context.Context, netip.AddrPort, fleet.Term, []fleet.Task) error { return nil },
		Start:   refs,
		Forget:  refs,
		Stop: func(context.Context, netip.AddrPort, fleet.Term, []fleet.TaskRef, time.Duration) error {
			return nil
		},
	}
}

// BenchmarkStart measures time, memory and worker calls of one start by gang size, with eight tasks per worker.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{1, 8, 32, 128} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			f := newFleet((n + 7) / 8)
			as := f.place(n, 8)
			g := New(WithWorkers(instantWorkers()), WithResolve(f.resolve))
			b.ReportAllocs()
			for b.Loop() {
				a, err := g.Start(b.Context(), term, job(n), as, nil)
				if err != nil {
					b.Fatal(err)
				}
				g.Forget(b.Context(), a)
			}
			b.ReportMetric(float64(2*len(f.workers)), "calls/start")
		})
	}
}
