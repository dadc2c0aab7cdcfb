package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/exec"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// submitOne submits a job of one task with one accelerator.
func (x *mixedSite) submitOne(id string, work time.Duration) {
	x.submitKnown(id, "quiet", work, jobs.Step{Tasks: 1, Accelerators: 1, Processors: 1, Estimate: work})
}

// findTestWorker returns the worker on which the test job runs.
func (x *mixedSite) findTestWorker() fleet.Worker {
	return x.m.findWorker(x.runners.FindWorker(port.RunRef{Job: testJobID}))
}

// TestStartsExtendNoLeaseOfLostWorker guards against starts on a worker that has ended, but is not yet known to have, that
// make its jobs wait longer.
func TestStartsExtendNoLeaseOfLostWorker(t *testing.T) {
	limits := largeLimits
	limits.MaxHold = 6 * time.Second
	runKnownSite(t, limits, func(x *mixedSite) {
		x.submitOne(testJobID, 20*time.Second)
		x.m.advance(time.Second)
		x.m.beginFault()()
		w := x.findTestWorker()
		x.roster.remove(w)
		for i := range 45 {
			x.submitOne(fmt.Sprintf("b%015x", i), 100*time.Millisecond)
			x.m.advance(100 * time.Millisecond)
		}
		x.roster.unlist(w)
		x.m.advance(12 * time.Second)
		for _, y := range x.m.findStalls(time.Second) {
			t.Log(y)
		}
		x.requireNoCalmStall()
	})
}

// TestLeasesOfFormerVersionCountInFull guards against runs that start again while an owner of an earlier version, which grants
// longer leases, may have extended the lease of the first.
func TestLeasesOfFormerVersionCountInFull(t *testing.T) {
	for _, lease := range []time.Duration{0, exec.MaxLease, exec.MaxLease + time.Second} {
		t.Run(lease.String(), func(t *testing.T) {
			runInSite(t, runsTaking(time.Second), nil, func(s *site) {
				b, err := proto.Marshal(&wire.LeadRecord{Host: "z", Lifetime: "z", Addr: "127.0.0.9:1", LeaseMillis: lease.Milliseconds()})
				require.NoError(t, err)
				_, err = s.store.View("z").Append(s.t.Context(), port.Append{Topic: port.Topic{Name: "owner"}, Entries: []port.Entry{{Value: b}}})
				require.NoError(t, err)
				s.start("a")
				s.advance(3 * time.Second)
				require.Equal(t, "a", s.owner())
				require.Equal(t, lease != exec.MaxLease, !s.hosts["a"].elect.LongLeaseAt().IsZero())
				require.Greater(t, time.Since(s.hosts["a"].elect.LongLeaseAt()), time.Second, "records of its own count")
			})
		})
	}
}
