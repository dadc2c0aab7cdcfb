package tests

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/once"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/auburncleat/auburncleat/internal/transport/status"
	"github.com/stretchr/testify/require"
)

func pause(t *testing.T, d time.Duration) {
	t.Helper()
	require.NoError(t, clock.System().Sleep(t.Context(), d))
}

func (f *fleetRun) at(name string, port int) netip.AddrPort {
	return netip.AddrPortFrom(f.hosts[name].ip, uint16(port))
}

func (f *fleetRun) get(a netip.AddrPort, path string, out any) int {
	return f.do(http.MethodGet, a, path, nil, out)
}

func (f *fleetRun) post(a netip.AddrPort, path string, in, out any) int {
	b, err := json.Marshal(in)
	require.NoError(f.t, err)
	return f.do(http.MethodPost, a, path, b, out)
}

// do returns the status, or 0 when no answer arrived.
func (f *fleetRun) do(method string, a netip.AddrPort, path string, body []byte, out any) int {
	// The clean-up still asks, after the test's context has ended.
	q, err := http.NewRequestWithContext(context.Background(), method, "http://"+a.String()+path, bytes.NewReader(body))
	require.NoError(f.t, err)
	p, err := f.client.Do(q)
	if err != nil {
		return 0
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return 0
	}
	if out != nil && json.Unmarshal(b, out) != nil {
		return 0
	}
	return p.StatusCode
}

func (f *fleetRun) awaitReady(name string) {
	f.t.Helper()
	f.eventually(readyBound, name+" ready", func() bool {
		return f.get(f.at(name, statusPort), "/readyz", nil) == http.StatusOK
	})
}

// owner returns the owner of a failure domain as one of its hosts sees it.
func (f *fleetRun) owner(seenBy, domain string) string {
	var v status.HostsView
	f.get(f.at(seenBy, statusPort), "/v1/hosts", &v)
	for _, h := range v.Hosts {
		if h.Owner && h.Domain == domain {
			return h.Name
		}
	}
	return ""
}

// awaitOwner waits until every running host agrees on the owner of a failure domain and it has its workers.
func (f *fleetRun) awaitOwner(domain string) string {
	f.t.Helper()
	var o string
	f.eventually(readyBound, "owner of "+domain, func() bool {
		o = ""
		for n := range f.hosts {
			if p := f.procs[n]; p == nil || p.paused {
				continue
			}
			x := f.owner(n, domain)
			if x == "" || (o != "" && o != x) {
				return false
			}
			o = x
		}
		var w wire.WorkersReply
		return f.get(f.at(o, statusPort), "/v1/workers", &w) == http.StatusOK && len(w.GetWorkers()) == workersEach
	})
	return o
}

// dump prints the merged time line of the hosts that answer.
func (f *fleetRun) dump() {
	for _, e := range f.timeline() {
		at := events.Stamp(e.GetClock()).Time().Format("15:04:05.000")
		f.t.Logf("%s %s %s job=%s worker=%s %s", at, e.GetHost(), e.GetKind(), e.GetJob(), e.GetWorker(), e.GetText())
	}
	for n := range f.hosts {
		var w wire.WorkersReply
		if p := f.procs[n]; p != nil && !p.paused && f.get(f.at(n, statusPort), "/v1/workers", &w) == http.StatusOK {
			f.t.Logf("workers by %s: %v", n, w.GetWorkers())
		}
	}
	for n, p := range f.procs {
		f.t.Logf("output of %s:\n%s", n, p.output())
	}
}

// timeline merges the events of the hosts that answer, in the order of their clocks.
func (f *fleetRun) timeline() []*wire.Event {
	var es []*wire.Event
	for n := range f.hosts {
		if p := f.procs[n]; p == nil || p.paused {
			continue
		}
		var r wire.TimelineReply
		f.get(f.at(n, statusPort), "/v1/timeline", &r)
		es = append(es, r.GetEvents()...)
	}
	slices.SortFunc(es, func(a, b *wire.Event) int { return cmp.Compare(a.GetClock(), b.GetClock()) })
	return es
}

// keyOf returns a key whose home is the given failure domain.
func (f *fleetRun) keyOf(domain string, n int) string {
	var names []string
	for _, d := range f.domains {
		names = append(names, d.name)
	}
	for i := 0; ; i++ {
		k := fmt.Sprintf("string-%d-%d", n, i)
		if once.Home("harbour", k, names) == domain {
			return k
		}
	}
}

// registration is urgent work that must run at most once.
func registration(key string) entry.JobRequest {
	return entry.JobRequest{
		Organisation: "harbour",
		Profile:      "registration",
		Key:          key,
		Shape:        &wire.Shape{Tasks: 2, Accelerators: 1, Adjacent: string(fleet.LevelRack)},
		Work:         work(500*time.Millisecond, 1000),
	}
}

// audit is quiet work without a key that fills the given number of slots.
func audit(tasks int, run time.Duration) entry.JobRequest {
	return entry.JobRequest{
		Organisation:  "quay",
		Profile:       "audit",
		Shape:         &wire.Shape{Tasks: int32(tasks), Accelerators: 1, Adjacent: string(fleet.LevelDomain)},
		RunTimeMillis: run.Milliseconds(),
		Work:          work(run, 100),
	}
}

func work(run time.Duration, answer int) []byte {
	b, err := json.Marshal(standin.Work{RunMillis: run.Milliseconds(), AnswerBytes: answer})
	if err != nil {
		panic(err)
	}
	return b
}

// submit posts a job to a host and returns the status and the view.
func (f *fleetRun) submit(name string, q entry.JobRequest) (int, entry.JobView) {
	f.t.Helper()
	var v entry.JobView
	s := f.post(f.at(name, callerPort), "/v1/jobs", q, &v)
	return s, v
}

// accept submits a job that must be accepted.
func (f *fleetRun) accept(name string, q entry.JobRequest) string {
	f.t.Helper()
	s, v := f.submit(name, q)
	require.Equal(f.t, http.StatusAccepted, s, "%s: %v", name, v.Outcome)
	return v.Job
}

// await asks a host for a job until it has ended.
func (f *fleetRun) await(name, job string) *wire.Outcome {
	f.t.Helper()
	var v entry.JobView
	var last *wire.JobStatus
	defer func() {
		if v.Outcome == nil {
			f.t.Logf("%s: %v", job, last)
		}
	}()
	f.eventually(outcomeBound, "end of "+job, func() bool {
		v = entry.JobView{}
		f.get(f.at(name, callerPort), "/v1/jobs/"+job+"?WaitMillis=1000", &v)
		last = v.Status
		return v.Outcome != nil
	})
	return v.Outcome
}

// requireDone checks that a job ended well and that each of its tasks was started exactly once.
func (f *fleetRun) requireDone(seenBy, job string, tasks int) {
	f.t.Helper()
	o := f.await(seenBy, job)
	require.Equal(f.t, string(fleet.Done), o.GetKind(), "%s: %s", job, o.GetReason())
	f.requireOnce(job, tasks)
}

// requireOnce checks that each task of a job was started exactly once, over all attempts.
func (f *fleetRun) requireOnce(job string, tasks int) {
	f.t.Helper()
	n := map[int]int{}
	for _, s := range f.starts(job) {
		n[s.Task]++
	}
	require.Len(f.t, n, tasks, job)
	for task, times := range n {
		require.Equal(f.t, 1, times, "starts of task %d of %s", task, job)
	}
}

// starts asks the workers themselves which tasks of a job they were told to start.
func (f *fleetRun) starts(job string) []standin.Start {
	f.t.Helper()
	return slices.DeleteFunc(f.allStarts(), func(s standin.Start) bool { return s.Job != job })
}

func (f *fleetRun) allStarts() []standin.Start {
	f.t.Helper()
	var out []standin.Start
	for i := range f.domains {
		for j := range workersEach {
			var ss []standin.Start
			a := f.addr(100+i, j+1, workerPort)
			require.Equal(f.t, http.StatusOK, f.get(a, "/starts", &ss), a.String())
			out = append(out, ss...)
		}
	}
	return out
}

func (f *fleetRun) awaitStart(job string, tasks int) time.Duration {
	f.t.Helper()
	return f.eventually(outcomeBound, "start of "+job, func() bool { return len(f.starts(job)) == tasks })
}

// repeat submits a key that was submitted before and returns its job.
func (f *fleetRun) repeat(name string, q entry.JobRequest) string {
	f.t.Helper()
	s, v := f.submit(name, q)
	require.Contains(f.t, []int{http.StatusOK, http.StatusAccepted}, s, "%v", v.Outcome)
	return v.Job
}

// pinned is urgent work with a key of a failure domain, which fills the given number of slots there.
func (f *fleetRun) pinned(domain string, tasks int, run time.Duration) entry.JobRequest {
	f.pins++
	q := registration(f.keyOf(domain, 100+f.pins))
	q.Shape = &wire.Shape{Tasks: int32(tasks), Accelerators: 1, Adjacent: string(fleet.LevelDomain)}
	q.RunTimeMillis = run.Milliseconds()
	q.Work = work(run, 100)
	return q
}
