package tests

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/pkg/client"
	"github.com/stretchr/testify/require"
)

func TestRequestInFlightSurvivesBlackholedConnections(t *testing.T) {
	f := newFleet(t, domain{"east", 2}, domain{"west", 1})
	var workers []*relay
	f.workerAddr = func(a netip.AddrPort) netip.AddrPort {
		at := netip.AddrPortFrom(a.Addr(), a.Port()+1)
		workers = append(workers, newRelay(t, at, a))
		return at
	}
	platform := newRelay(t, f.addr(250, 1, platformPort+1), f.platform)
	f.platforms["east"] = platform.listener.Addr().(*net.TCPAddr).AddrPort()
	f.start()
	caller := newRelay(t, f.addr(251, 1, callerPort), f.hostAddr("east-1", callerPort))
	c := client.New([]netip.AddrPort{f.addr(251, 1, callerPort)})
	defer c.Close()

	ended := make(chan client.Result, 1)
	failed := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), outcomeTimeout)
	defer cancel()
	go func() {
		r, err := c.Run(ctx, client.Job{
			Organisation: "harbour", Profile: "registration", Key: f.keyWithHome("east", 5),
			Shape: client.Shape{Tasks: 2, Accelerators: 1}, Work: encodeWork(3*time.Second, 100_000),
		})
		ended <- r
		failed <- err
	}()
	f.eventually(outcomeTimeout, "start of the caller's job", func() bool { return len(f.allStarts()) == 2 })
	// At this point the caller waits for the outcome, the owner has connections to the workers, and hosts read the log.
	for _, r := range append([]*relay{caller, platform}, workers[:workersPerDomain]...) {
		require.Positive(t, r.blackhole())
	}
	begin := time.Now()
	later := f.submitAccepted("west-1", registrationJob(f.keyWithHome("east", 6)))
	f.awaitStart(later, 2)
	t.Logf("urgent job started %s after the connections were blackholed", time.Since(begin))
	r := <-ended
	require.NoError(t, <-failed)
	require.Equal(t, client.Done, r.Outcome.Kind, r.Outcome.Reason)
	require.Len(t, r.Answer, 2*100_000)
	f.requireDone("west-1", later, 2)
	require.Equal(t, 1, f.countEvents(events.JobPlaced, later), "a start failed over a blackholed connection")
	f.requireOnce(r.Outcome.Job, 2)
	dropped := 0
	for _, x := range workers {
		dropped += x.countDropped()
	}
	require.Positive(t, dropped, "no connection to a worker dropped any byte")
	require.Positive(t, caller.countDropped())
	require.Positive(t, platform.countDropped())
}

// countEvents returns the number of events of a kind about a job, over all hosts.
func (f *testFleet) countEvents(k events.Kind, job string) int {
	n := 0
	for _, e := range f.timeline() {
		if e.GetKind() == string(k) && e.GetJob() == job {
			n++
		}
	}
	return n
}
