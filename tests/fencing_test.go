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

// pauseTime is far above the lease of an owner and the time after which its peers remove it.
const pauseTime = 10 * time.Second

func TestPausedOwnerActsOnNothingAfterItResumes(t *testing.T) {
	f := newFleet(t, domain{"east", 3}, domain{"west", 1})
	f.start()
	// The first job fills the failure domain, so that the owner holds the second in its queue when it is paused.
	slots := workersEach * slotsEach
	running := f.accept("west-1", f.pinned("east", slots, 4*time.Second))
	f.awaitStart(running, slots)
	queued := f.accept("west-1", f.pinned("east", slots, 500*time.Millisecond))
	old := f.awaitOwner("east")
	before := f.term(old)
	f.signal(old, syscall.SIGSTOP)
	paused := time.Now()
	job := f.accept("west-1", registration(f.keyOf("east", 3)))
	f.requireDone("west-1", running, slots)
	f.requireDone("west-1", queued, slots)
	f.requireDone("west-1", job, 2)
	next := f.awaitOwner("east")
	require.NotEqual(t, old, next)
	after := f.term(next)
	require.True(t, before.Less(after), "%s is not below %s", before, after)
	pause(t, pauseTime-time.Since(paused))

	f.signal(old, syscall.SIGCONT)
	f.awaitReady(old)
	require.Equal(t, next, f.awaitOwner("east"))
	require.Equal(t, after, f.term(old))
	f.requireFenced(before)
	later := f.accept(old, registration(f.keyOf("east", 4)))
	f.requireDone(old, later, 2)
	for job, tasks := range map[string]int{running: slots, queued: slots, job: 2} {
		f.requireOnce(job, tasks)
	}
}

// term returns the term of the books that a host answers with.
func (f *fleetRun) term(name string) fleet.Term {
	f.t.Helper()
	var w wire.WorkersReply
	f.eventually(readyBound, "books of the owner", func() bool {
		return f.get(f.at(name, statusPort), "/v1/workers", &w) == http.StatusOK
	})
	return fleet.Term{Counter: w.GetTerm().GetCounter(), Host: w.GetTerm().GetHost()}
}

// requireFenced checks that each worker of the first failure domain refuses a command of an old term.
func (f *fleetRun) requireFenced(old fleet.Term) {
	f.t.Helper()
	c := rest.New()
	defer c.Close()
	k := worker.New(c)
	for j := range workersEach {
		err := k.Start(f.t.Context(), f.addr(100, j+1, workerPort), old, []fleet.TaskRef{{Job: "none", Attempt: 1}})
		require.ErrorIs(f.t, err, port.ErrFenced)
	}
}
