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
	"github.com/auburncleat/auburncleat/internal/coordination/dedup"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/auburncleat/auburncleat/internal/transport/status"
	"github.com/stretchr/testify/require"
)

func sleep(t *testing.T, d time.Duration) {
	t.Helper()
	require.NoError(t, clock.System().Sleep(t.Context(), d))
}

// hostAddr returns an address of a host.
func (f *testFleet) hostAddr(name string, port int) netip.AddrPort {
	return netip.AddrPortFrom(f.hosts[name].ip, uint16(port))
}

func (f *testFleet) get(a netip.AddrPort, path string, out any) int {
	return f.request(http.MethodGet, a, path, nil, out)
}

func (f *testFleet) post(a netip.AddrPort, path string, in, out any) int {
	b, err := json.Marshal(in)
	require.NoError(f.t, err)
	return f.request(http.MethodPost, a, path, b, out)
}

// request sends an HTTP request and returns the status, or 0 if no complete response arrived.
func (f *testFleet) request(method string, a netip.AddrPort, path string, body []byte, out any) int {
	// Clean-up functions still send requests after the context of the test is done.
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

func (f *testFleet) awaitReady(name string) {
	f.t.Helper()
	f.eventually(readyTimeout, name+" ready", func() bool {
		return f.get(f.hostAddr(name, statusPort), "/readyz", nil) == http.StatusOK
	})
}

// owner returns the owner of a failure domain according to one host, or an empty string.
func (f *testFleet) owner(seenBy, domain string) string {
	var v status.HostsView
	f.get(f.hostAddr(seenBy, statusPort), "/v1/hosts", &v)
	for _, h := range v.Hosts {
		if h.Owner && h.Domain == domain {
			return h.Name
		}
	}
	return ""
}

// awaitOwner waits until all running hosts agree on the owner of a failure domain and the owner lists all its workers.
func (f *testFleet) awaitOwner(domain string) string {
	f.t.Helper()
	var o string
	f.eventually(readyTimeout, "owner of "+domain, func() bool {
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
		return f.get(f.hostAddr(o, statusPort), "/v1/workers", &w) == http.StatusOK && len(w.GetWorkers()) == workersPerDomain
	})
	return o
}

// logState logs the merged time line, the workers by host, and the output of all processes.
func (f *testFleet) logState() {
	for _, e := range f.timeline() {
		at := events.Stamp(e.GetClock()).Time().Format("15:04:05.000")
		f.t.Logf("%s %s %s job=%s worker=%s %s", at, e.GetHost(), e.GetKind(), e.GetJob(), e.GetWorker(), e.GetText())
	}
	for n := range f.hosts {
		var w wire.WorkersReply
		if p := f.procs[n]; p != nil && !p.paused && f.get(f.hostAddr(n, statusPort), "/v1/workers", &w) == http.StatusOK {
			f.t.Logf("workers by %s: %v", n, w.GetWorkers())
		}
	}
	for n, p := range f.procs {
		f.t.Logf("output of %s:\n%s", n, p.output())
	}
}

// timeline returns the events of the hosts that answer, ordered by their clocks.
func (f *testFleet) timeline() []*wire.Event {
	var es []*wire.Event
	for n := range f.hosts {
		if p := f.procs[n]; p == nil || p.paused {
			continue
		}
		var r wire.TimelineReply
		f.get(f.hostAddr(n, statusPort), "/v1/timeline", &r)
		es = append(es, r.GetEvents()...)
	}
	slices.SortFunc(es, func(a, b *wire.Event) int { return cmp.Compare(a.GetClock(), b.GetClock()) })
	return es
}

// keyWithHome returns an idempotency key whose home is the given failure domain; n tells keys apart.
func (f *testFleet) keyWithHome(domain string, n int) string {
	var names []string
	for _, d := range f.domains {
		names = append(names, d.name)
	}
	for i := 0; ; i++ {
		k := fmt.Sprintf("string-%d-%d", n, i)
		if dedup.Home("harbour", k, names) == domain {
			return k
		}
	}
}

// registrationJob returns an urgent job that must run at most once.
func registrationJob(key string) entry.JobRequest {
	return entry.JobRequest{
		Organisation: "harbour",
		Profile:      "registration",
		Key:          key,
		Shape:        &wire.Shape{Tasks: 2, Accelerators: 1, Adjacent: string(fleet.LevelRack)},
		Work:         encodeWork(500*time.Millisecond, 1000),
	}
}

// auditJob returns a quiet job without a key, with the given number of tasks.
func auditJob(tasks int, run time.Duration) entry.JobRequest {
	return entry.JobRequest{
		Organisation:  "quay",
		Profile:       "audit",
		Shape:         &wire.Shape{Tasks: int32(tasks), Accelerators: 1, Adjacent: string(fleet.LevelDomain)},
		RunTimeMillis: run.Milliseconds(),
		Work:          encodeWork(run, 100),
	}
}

func encodeWork(run time.Duration, answer int) []byte {
	b, err := json.Marshal(standin.Work{RunMillis: run.Milliseconds(), AnswerBytes: answer})
	if err != nil {
		panic(err)
	}
	return b
}

// submit posts a job to a host and returns the HTTP status and the view of the job.
func (f *testFleet) submit(name string, q entry.JobRequest) (int, entry.JobView) {
	f.t.Helper()
	var v entry.JobView
	s := f.post(f.hostAddr(name, callerPort), "/v1/jobs", q, &v)
	return s, v
}

// submitAccepted submits a job, requires that it is accepted, and returns its id.
func (f *testFleet) submitAccepted(name string, q entry.JobRequest) string {
	f.t.Helper()
	s, v := f.submit(name, q)
	require.Equal(f.t, http.StatusAccepted, s, "%s: %v", name, v.Outcome)
	return v.Job
}

// awaitOutcome polls a host until the job has ended, and returns its outcome.
func (f *testFleet) awaitOutcome(name, job string) *wire.Outcome {
	f.t.Helper()
	var v entry.JobView
	var last *wire.JobStatus
	defer func() {
		if v.Outcome == nil {
			f.t.Logf("%s: %v", job, last)
		}
	}()
	f.eventually(outcomeTimeout, "end of "+job, func() bool {
		v = entry.JobView{}
		f.get(f.hostAddr(name, callerPort), "/v1/jobs/"+job+"?WaitMillis=1000", &v)
		last = v.Status
		return v.Outcome != nil
	})
	return v.Outcome
}

// requireDone requires that a job is done and that each of its tasks was started exactly once.
func (f *testFleet) requireDone(seenBy, job string, tasks int) {
	f.t.Helper()
	o := f.awaitOutcome(seenBy, job)
	require.Equal(f.t, string(fleet.Done), o.GetKind(), "%s: %s", job, o.GetReason())
	f.requireOnce(job, tasks)
}

// requireOnce requires that each task of a job was started exactly once over all attempts.
func (f *testFleet) requireOnce(job string, tasks int) {
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

// starts returns the starts of a job that the workers recorded.
func (f *testFleet) starts(job string) []standin.Start {
	f.t.Helper()
	return slices.DeleteFunc(f.allStarts(), func(s standin.Start) bool { return s.Job != job })
}

func (f *testFleet) allStarts() []standin.Start {
	f.t.Helper()
	var out []standin.Start
	for i := range f.domains {
		for j := range workersPerDomain {
			var ss []standin.Start
			a := f.addr(100+i, j+1, workerPort)
			require.Equal(f.t, http.StatusOK, f.get(a, "/starts", &ss), a.String())
			out = append(out, ss...)
		}
	}
	return out
}

func (f *testFleet) awaitStart(job string, tasks int) time.Duration {
	f.t.Helper()
	return f.eventually(outcomeTimeout, "start of "+job, func() bool { return len(f.starts(job)) == tasks })
}

// resubmit submits a job whose key was submitted before, and returns the id of the job.
func (f *testFleet) resubmit(name string, q entry.JobRequest) string {
	f.t.Helper()
	s, v := f.submit(name, q)
	require.Contains(f.t, []int{http.StatusOK, http.StatusAccepted}, s, "%v", v.Outcome)
	return v.Job
}

// pinnedJob returns an urgent job whose key has its home in a failure domain, with the given number of tasks.
func (f *testFleet) pinnedJob(domain string, tasks int, run time.Duration) entry.JobRequest {
	f.pinnedKeys++
	q := registrationJob(f.keyWithHome(domain, 100+f.pinnedKeys))
	q.Shape = &wire.Shape{Tasks: int32(tasks), Accelerators: 1, Adjacent: string(fleet.LevelDomain)}
	q.RunTimeMillis = run.Milliseconds()
	q.Work = encodeWork(run, 100)
	return q
}
