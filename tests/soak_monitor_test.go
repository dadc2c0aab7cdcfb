package tests

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// newIdleMonitor returns a monitor of a site with two empty workers and without hosts.
func newIdleMonitor(t *testing.T, begin time.Time) *stallMonitor {
	p := &soakPlan{byID: map[string]*soakJob{}}
	s := &soakSite{programs: newPrograms(t), plan: p, runners: standin.NewRunners(clock.System(), standin.RunLimits{}, p.drawOutcome)}
	for i := range 2 {
		w := &soakWorker{worker: fleet.Worker{Name: fmt.Sprint("w", i), Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))}}
		w.isListed.Store(true)
		w.hasEntry.Store(true)
		s.runners.Add(w.worker)
		s.workers = append(s.workers, w)
	}
	return &stallMonitor{s: s, lastFault: begin}
}

// findOverdue returns the jobs of a monitor with a stall that is to be reported.
func (m *stallMonitor) findOverdue(at time.Time) []string {
	ids := []string{}
	for _, x := range m.sample(at) {
		ids = append(ids, x.job.id)
	}
	return ids
}

// TestStallMonitorFindsIdleJobs guards against a soak that does not see jobs which stand still beside room for them.
func TestStallMonitorFindsIdleJobs(t *testing.T) {
	begin := time.Now()
	m := newIdleMonitor(t, begin)
	m.accept(&soakJob{id: "fits twice", steps: []soakStep{{Count: 2, GPUs: 4, Gang: true}}})
	m.accept(&soakJob{id: "fits once", steps: []soakStep{{Count: 3, GPUs: 4, Gang: true}}})
	m.accept(&soakJob{id: "waits for its first step", steps: []soakStep{{Count: 2, GPUs: 8, Gang: true}, {Count: 1, StartAfter: []int{0}}}})
	m.accept(&soakJob{id: "has no worker", steps: []soakStep{{Count: 1, Label: "b"}}})
	over := &soakJob{id: "is over", steps: []soakStep{{Count: 1}}}
	m.accept(over)
	m.end(over)
	require.Empty(t, m.findOverdue(begin))
	require.Empty(t, m.findOverdue(begin.Add(soakMaxStall+soakCalmBefore-1)), "a fault counts for that long after its end")
	require.Equal(t, []string{"fits twice"}, m.findOverdue(begin.Add(soakMaxStall+soakCalmBefore)))

	end := m.beginFault()
	require.Empty(t, m.findOverdue(begin.Add(time.Minute)), "during a fault")
	end()
	later := begin.Add(2 * time.Minute)
	require.Equal(t, []string{"fits twice"}, m.findOverdue(later))
	m.s.workers[1].isListed.Store(false)
	require.Empty(t, m.findOverdue(later), "a worker that is not listed has no room")
}

// TestStallMonitorFindsLastingTask guards against a soak that does not see a task that lasts and has not run for long.
func TestStallMonitorFindsLastingTask(t *testing.T) {
	begin := time.Now()
	m := newIdleMonitor(t, begin.Add(-time.Minute))
	m.accept(&soakJob{id: "lasts", steps: []soakStep{{Count: 1, GPUs: 1, Lasts: true}}})
	x := m.jobs[0]
	x.acceptedAt = begin
	for at := time.Duration(0); at <= soakLastingStop+soakMaxStall; at += time.Second {
		m.sample(begin.Add(at))
	}
	require.Len(t, x.stalls, 2)
	for _, y := range x.stalls {
		require.LessOrEqual(t, y.since.Sub(begin), soakLastingStop)
	}
	require.Equal(t, []string{"lasts"}, m.findOverdue(begin.Add(soakLastingStop+soakMaxStall)))
}
