package tests

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// A paused process keeps its connections open and answers nothing, as one beyond a cut does.
func TestFailureDomainCutFromAllElseServesItsOwnWork(t *testing.T) {
	f := newFleet(t, domain{"east", 3}, domain{"west", 1})
	f.start()
	apart := []string{"west-1", "workers-west", "platform"}
	for _, n := range apart {
		f.signal(n, syscall.SIGSTOP)
	}
	f.eventually(readyBound, "the log counts as down", func() bool { return f.hasEvent("east-1", events.LogDown) })
	// This one outlives its owner and the cut; until the log is back only the hosts of the failure domain know it.
	long := f.accept("east-1", audit(1, 7*time.Second))
	var cut []string
	for _, n := range []string{"east-1", "east-2", "east-3"} {
		job := f.accept(n, audit(2, 200*time.Millisecond))
		require.True(t, strings.HasPrefix(job, "east."), job)
		o := f.await(n, job)
		require.Equal(t, "Done", o.GetKind(), o.GetReason())
		require.Equal(t, http.StatusOK, f.get(f.at(n, statusPort), "/readyz", nil))
		cut = append(cut, job)
	}
	// The owner is replaced without the log, too.
	old := f.owner("east-1", "east")
	f.kill(old)
	next := f.awaitOwner("east")
	require.NotEqual(t, old, next)
	job := f.accept(next, audit(2, 200*time.Millisecond))
	require.Equal(t, "Done", f.await(next, job).GetKind())
	cut = append(cut, job)

	for _, n := range apart {
		f.signal(n, syscall.SIGCONT)
	}
	f.eventually(readyBound, "the log answers", func() bool { return f.isLogUp(next) })
	f.awaitReady("west-1")
	for _, job := range cut {
		f.requireOnce(job, 2)
	}
	f.eventually(outcomeBound, "the backlog in the log", func() bool { return f.isLogged(long) })
	f.requireDone("west-1", long, 1)
	later := f.accept("west-1", registration(f.keyOf("east", 10)))
	f.requireDone("west-1", later, 2)
}

// hasEvent reports whether the time line of a host has an event of a kind.
func (f *fleetRun) hasEvent(name string, k events.Kind) bool {
	return f.lastEvent(name, k) != nil
}

func (f *fleetRun) lastEvent(name string, ks ...events.Kind) *wire.Event {
	var last *wire.Event
	for _, e := range f.timeline() {
		for _, k := range ks {
			if e.GetHost() == name && e.GetKind() == string(k) {
				last = e
			}
		}
	}
	return last
}

// isLogUp reports whether the last that a host noted of the log is that it answers.
func (f *fleetRun) isLogUp(name string) bool {
	return f.lastEvent(name, events.LogUp, events.LogDown).GetKind() == string(events.LogUp)
}

// records returns all records of the log.
func (f *fleetRun) records() []*wire.Record {
	f.t.Helper()
	var q store.ReadReply
	require.Equal(f.t, http.StatusOK, f.get(f.platform, "/log/read?From=1", &q))
	var out []*wire.Record
	for _, r := range q.Records {
		var x wire.Record
		require.NoError(f.t, proto.Unmarshal(r.Data, &x))
		out = append(out, &x)
	}
	return out
}

// isLogged reports whether the log holds an accepted job.
func (f *fleetRun) isLogged(job string) bool {
	for _, r := range f.records() {
		for _, j := range r.GetJobs().GetAccepted() {
			if j.GetId() == job {
				return true
			}
		}
	}
	return false
}
