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

// The other failure domain and the platform are paused with SIGSTOP: like processes beyond a network partition, they keep
// their connections open and answer nothing. The isolated hosts must go on serving their own workers.
func TestIsolatedFailureDomainServesItsOwnWork(t *testing.T) {
	f := newFleet(t, domain{"east", 3}, domain{"west", 1})
	f.start()
	unreachable := []string{"west-1", "workers-west", "platform"}
	for _, n := range unreachable {
		f.signal(n, syscall.SIGSTOP)
	}
	f.eventually(readyTimeout, "log reported as down", func() bool { return f.hasEvent("east-1", events.LogDown) })
	// This job outlives its owner and the partition; until the log is back only hosts of the failure domain know it.
	long := f.submitAccepted("east-1", auditJob(1, 7*time.Second))
	var isolatedJobs []string
	for _, n := range []string{"east-1", "east-2", "east-3"} {
		job := f.submitAccepted(n, auditJob(2, 200*time.Millisecond))
		require.True(t, strings.HasPrefix(job, "east."), job)
		o := f.awaitOutcome(n, job)
		require.Equal(t, "Done", o.GetKind(), o.GetReason())
		require.Equal(t, http.StatusOK, f.get(f.hostAddr(n, statusPort), "/readyz", nil))
		isolatedJobs = append(isolatedJobs, job)
	}
	// A new owner is elected without the log, too.
	old := f.owner("east-1", "east")
	f.kill(old)
	next := f.awaitOwner("east")
	require.NotEqual(t, old, next)
	job := f.submitAccepted(next, auditJob(2, 200*time.Millisecond))
	require.Equal(t, "Done", f.awaitOutcome(next, job).GetKind())
	isolatedJobs = append(isolatedJobs, job)

	for _, n := range unreachable {
		f.signal(n, syscall.SIGCONT)
	}
	f.eventually(readyTimeout, "log reported as up", func() bool { return f.isLogUp(next) })
	f.awaitReady("west-1")
	for _, job := range isolatedJobs {
		f.requireOnce(job, 2)
	}
	f.eventually(outcomeTimeout, "append of the backlog to the log", func() bool { return f.isLogged(long) })
	f.requireDone("west-1", long, 1)
	later := f.submitAccepted("west-1", registrationJob(f.keyWithHome("east", 10)))
	f.requireDone("west-1", later, 2)
}

// hasEvent reports whether the time line of a host contains an event of a kind.
func (f *testFleet) hasEvent(name string, k events.Kind) bool {
	return f.lastEvent(name, k) != nil
}

func (f *testFleet) lastEvent(name string, ks ...events.Kind) *wire.Event {
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

// isLogUp reports whether the latest event of a host about the log is LogUp.
func (f *testFleet) isLogUp(name string) bool {
	return f.lastEvent(name, events.LogUp, events.LogDown).GetKind() == string(events.LogUp)
}

// records returns all records of the log.
func (f *testFleet) records() []*wire.Record {
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

// isLogged reports whether the log contains the acceptance of a job.
func (f *testFleet) isLogged(job string) bool {
	for _, r := range f.records() {
		for _, j := range r.GetJobs().GetAccepted() {
			if j.GetId() == job {
				return true
			}
		}
	}
	return false
}
