package tests

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/auburncleat/auburncleat/internal/transport/worker"
	"github.com/stretchr/testify/require"
)

// pauseDuration far exceeds the lease of an owner and the time after which its peers remove it.
const pauseDuration = 10 * time.Second

func TestResumedOwnerIsFenced(t *testing.T) {
	f := newFleet(t, domain{"east", 3}, domain{"west", 1})
	f.start()
	// The first job fills the failure domain, so the second one is in the queue of the owner when that is paused.
	slots := workersPerDomain * slotsPerWorker
	running := f.submitAccepted("west-1", f.pinnedJob("east", slots, 4*time.Second))
	f.awaitStart(running, slots)
	queued := f.submitAccepted("west-1", f.pinnedJob("east", slots, 500*time.Millisecond))
	old := f.awaitOwner("east")
	before := f.term(old)
	f.signal(old, syscall.SIGSTOP)
	paused := time.Now()
	job := f.submitAccepted("west-1", registrationJob(f.keyWithHome("east", 3)))
	f.requireDone("west-1", running, slots)
	f.requireDone("west-1", queued, slots)
	f.requireDone("west-1", job, 2)
	next := f.awaitOwner("east")
	require.NotEqual(t, old, next)
	after := f.term(next)
	require.True(t, before.Less(after), "%s is not below %s", before, after)
	sleep(t, pauseDuration-time.Since(paused))

	f.signal(old, syscall.SIGCONT)
	f.awaitReady(old)
	require.Equal(t, next, f.awaitOwner("east"))
	require.Equal(t, after, f.term(old))
	f.requireFenced(before)
	later := f.submitAccepted(old, registrationJob(f.keyWithHome("east", 4)))
	f.requireDone(old, later, 2)
	for job, tasks := range map[string]int{running: slots, queued: slots, job: 2} {
		f.requireOnce(job, tasks)
	}
}

// term returns the term of the ledger that a host serves.
func (f *testFleet) term(name string) fleet.Term {
	f.t.Helper()
	var w wire.WorkersReply
	f.eventually(readyTimeout, "ledger of the owner", func() bool {
		return f.get(f.hostAddr(name, statusPort), "/v1/workers", &w) == http.StatusOK
	})
	return fleet.Term{Counter: w.GetTerm().GetCounter(), Host: w.GetTerm().GetHost()}
}

// requireFenced requires that each worker of the first failure domain rejects a command with an old term.
func (f *testFleet) requireFenced(old fleet.Term) {
	f.t.Helper()
	c := rest.New()
	defer c.Close()
	k := worker.New(c)
	for j := range workersPerDomain {
		err := k.Start(f.t.Context(), f.addr(100, j+1, workerPort), old, []fleet.TaskRef{{Job: "none", Attempt: 1}})
		require.ErrorIs(f.t, err, port.ErrFenced)
	}
}
