package tests

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/stretchr/testify/require"
)

var (
	soakSeeds   = flag.Int("soak-seeds", 2, "seeds of the fault soak under a mixed load")
	soakFirst   = flag.Uint64("soak-first", 1, "first of these seeds")
	soakLength  = flag.Duration("soak-length", 14*time.Second, "how long these seeds bring faults about")
	soakHosts   = flag.Int("soak-hosts", 5, "hosts of these seeds")
	soakWorkers = flag.Int("soak-workers", 12, "workers of these seeds")
	soakOnly    = flag.String("soak-only", "", "only kind of fault of these seeds, or empty for all")
	soakKeep    = flag.String("soak-keep", "", "folder that keeps the logs of seeds that fail")
)

var jobsTopic = port.Topic{Name: "jobs", IsKeyed: true}

// soakCase is a seed with the size and the length of its run.
type soakCase struct {
	seed    uint64
	length  time.Duration
	hosts   int
	workers int
	// isMixed is set for a mixed load and faults in waves, and isReturning for failure domains that return besides.
	isMixed     bool
	isReturning bool
}

func (x soakCase) String() string {
	if x.isReturning {
		return fmt.Sprintf("returning seed %d", x.seed)
	}
	if x.isMixed {
		return fmt.Sprintf("mixed seed %d", x.seed)
	}
	return fmt.Sprintf("seed %d", x.seed)
}

func (x soakCase) plan() *soakPlan {
	if x.isReturning {
		return newReturnPlan(x.seed, x.hosts, x.workers, x.length)
	}
	if !x.isMixed {
		return newSoakPlan(x.seed, x.hosts, x.workers, x.length)
	}
	p := newMixedPlan(x.seed, x.hosts, x.workers, x.length)
	p.addLeavingClients()
	for i := range p.faults {
		if *soakOnly != "" {
			p.faults[i].kind = *soakOnly
		}
	}
	return p
}

// soakFixed lists the cases that always run: those that failed before, each with its cause, and one that did not.
var soakFixed = []soakCase{
	{seed: 1, length: 8 * time.Second, hosts: 5, workers: 8},
	{seed: 1018, length: 16 * time.Second, hosts: 5, workers: 8}, // the stand-in reported tasks of a gang as done though others of the gang had lapsed or were stopped
	{seed: 2021, length: 16 * time.Second, hosts: 5, workers: 8}, // same cause as 1018
	{seed: 5051, length: 16 * time.Second, hosts: 5, workers: 8}, // all workers but one were quarantined
	{seed: 104, length: 14 * time.Second, hosts: 5, workers: 8},  // a retried acknowledgement reached the restarted instance of a worker
}

const (
	// soakParallel bounds the seeds that run at the same time.
	soakParallel = 6
	// soakChecks bounds the jobs whose end is asked for at the same time.
	soakChecks = 8
	// soakEndTimeout is the time after the last fault within which every accepted job must end.
	soakEndTimeout  = 45 * time.Second
	soakCallTimeout = 3 * time.Second
	// soakRetryTime is how long a client repeats a cancellation that is not confirmed.
	soakRetryTime = 25 * time.Second
	// soakCancelTimeout is the time after the end of a job within which its runs are told to stop.
	soakCancelTimeout = 2 * time.Second
	soakMaxTries      = 6
	soakPollInterval  = 300 * time.Millisecond
	// A host may write soakLinesPerHost log lines, and soakLinesPerJob more for each job.
	soakLinesPerJob  = 150
	soakLinesPerHost = 3000
)

// TestSoak runs real hosts under faults that are drawn from a seed and injected from outside, and checks the guarantees to
// callers and workers.
func TestSoak(t *testing.T) {
	cases := slices.Clone(soakFixed)
	for i := range *soakSeeds {
		x := soakCase{seed: *soakFirst + uint64(i), length: *soakLength, hosts: *soakHosts, workers: *soakWorkers, isMixed: true}
		cases = append(cases, x)
		if *soakOnly == "" {
			x.isReturning = true
			cases = append(cases, x)
		}
	}
	slots := make(chan struct{}, soakParallel)
	for _, x := range cases {
		t.Run(x.String(), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			soak(t, x.plan())
		})
	}
}

func soak(t *testing.T, p *soakPlan) {
	s := newSoakSite(t, p)
	defer s.keepLogsOnFailure()
	for _, h := range s.hosts {
		s.eventually(readyTimeout, "readiness of "+h.name, func() bool { return s.isReady(h) })
	}
	go s.stalls.watch()
	go s.watchPending()
	begin := time.Now()
	t.Logf("%s: %d jobs, leases of %s", begin.UTC().Format("15:04:05.000"), len(p.jobs), p.maxHold)
	var faults, clients sync.WaitGroup
	results := make([]*soakResult, len(p.jobs))
	for i, j := range p.jobs {
		results[i] = &soakResult{job: j}
		clients.Go(func() {
			s.sleep(j.submitAt - time.Since(begin))
			s.runClient(results[i])
		})
	}
	for _, f := range p.faults {
		faults.Go(func() {
			s.sleep(f.startAt - time.Since(begin))
			s.inject(f)
		})
	}
	faults.Wait()
	s.awaitRecovery()
	clients.Wait()
	s.checkOutcomes(results)
	s.checkLogs(len(results))
	require.Empty(t, s.findViolations(), "seed %d, longest gap between samples %s", p.seed, s.stalls.getLongestGap())
}

// soakResult is the state of a job as its client knows it.
type soakResult struct {
	job        *soakJob
	acceptedAt time.Time
	// isUnknown is set once a submission got no conclusive response, and refused counts the submissions that were refused.
	isUnknown   bool
	refused     int
	isCancelled bool
	// isGone is set if the cancellation was answered as gone.
	isGone bool
}

// runClient submits a job until it is accepted or the tries are used up, resubmits or cancels it as planned, and watches
// its state.
func (s *soakSite) runClient(x *soakResult) {
	j := x.job
	body, err := json.Marshal(map[string]any{"spec": j.spec(), "steps": j.steps})
	if err != nil {
		s.violate("encode job: %v", err)
		return
	}
	if j.isAbandoned {
		s.runLeavingClient(x, body)
		return
	}
	for i := 0; i < soakMaxTries && x.acceptedAt.IsZero(); i++ {
		h := s.hosts[j.hosts[i]]
		a := s.call(h, soakRequest{method: http.MethodPost, queue: j.queue, id: j.id, key: s.key(j.org), body: body})
		switch a.status {
		case http.StatusOK:
			x.acceptedAt = time.Now()
			s.stalls.accept(j)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized, http.StatusNotFound:
			x.refused++
			s.sleep(min(a.retryAfter, time.Second))
		default:
			x.isUnknown = true
			s.sleep(soakPollInterval)
		}
	}
	if x.acceptedAt.IsZero() {
		return
	}
	if j.resubmitAfter > 0 {
		s.sleep(j.resubmitAfter)
		s.call(s.hosts[j.hosts[0]], soakRequest{method: http.MethodPost, queue: j.queue, id: j.id, key: s.key(j.org), body: body})
	}
	if j.cancelAfter > 0 {
		s.sleep(j.cancelAfter)
		s.cancel(x)
	}
	s.watch(x)
}

// cancel sends a cancellation to one host after another until one confirms it or soakRetryTime has passed.
func (s *soakSite) cancel(x *soakResult) {
	s.stalls.end(x.job)
	until := time.Now().Add(soakRetryTime)
	i := 0
	if x.job.isAbandoned {
		// The job was submitted at the first host.
		i = 1
	}
	for ; time.Now().Before(until); i++ {
		x.isCancelled = true
		a := s.call(s.hosts[x.job.hosts[i%len(x.job.hosts)]], soakRequest{method: http.MethodDelete, queue: x.job.queue, id: x.job.id, key: s.key(x.job.org)})
		if a.status == http.StatusOK || a.status == http.StatusGone {
			x.isGone = a.status == http.StatusGone
			return
		}
		s.sleep(soakPollInterval)
	}
}

// watch polls the state of a job for a while and checks each response.
func (s *soakSite) watch(x *soakResult) {
	n := 0
	for range soakMaxTries {
		h := s.hosts[x.job.hosts[n]]
		askedAt := time.Now()
		state, status := s.state(h, x.job)
		if status == 0 {
			// A client stays with its host until the connection breaks.
			n++
		}
		isConnected := h.isFaultFree(askedAt.Add(-soakContactTime)) && s.isStoreFaultFree(askedAt.Add(-soakContactTime))
		if status == http.StatusGone && isConnected && askedAt.Sub(x.acceptedAt) > soakVisibleTimeout {
			s.violate("%s does not know job %s, which was accepted %s before", h.name, x.job.id, askedAt.Sub(x.acceptedAt))
		}
		s.checkState(x, h, state)
		if isFinal(state) {
			s.stalls.end(x.job)
			return
		}
		s.sleep(soakPollInterval)
	}
}

func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// checkState compares the state that a host reports with the runs that the workers recorded.
func (s *soakSite) checkState(x *soakResult, h *soakHost, state string) {
	j := x.job
	switch state {
	case "completed":
		if n := s.runners.CountDone(j.id); n < j.tasks() {
			s.violate("%s shows job %s as completed, %d of %d tasks are done", h.name, j.id, n, j.tasks())
		}
	case "cancelled":
		if !x.isCancelled {
			s.violate("%s shows job %s as cancelled, but its client did not cancel it", h.name, j.id)
		}
	}
}

// state returns the state of a job according to a host, and the HTTP status.
func (s *soakSite) state(h *soakHost, j *soakJob) (string, int) {
	a := s.call(h, soakRequest{method: http.MethodGet, queue: j.queue, id: j.id, key: s.key(j.org)})
	return a.state, a.status
}

func (s *soakSite) isReady(h *soakHost) bool {
	p, err := soakClient.Get(fmt.Sprintf("http://%s:%d/readiness", h.ip, readyPort))
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}

// awaitRecovery checks that every host is ready within soakRecoveryTimeout after the last fault.
func (s *soakSite) awaitRecovery() {
	until := time.Now().Add(soakRecoveryTimeout)
	for _, h := range s.hosts {
		for !s.isReady(h) {
			if time.Now().After(until) {
				s.violate("%s is not ready %s after the last fault", h.name, soakRecoveryTimeout)
				break
			}
			s.sleep(soakPollInterval)
		}
	}
}

// checkOutcomes checks that every accepted job ends in the same state at every host, that no refused job ran, and that the
// workers recorded no violation.
func (s *soakSite) checkOutcomes(rs []*soakResult) {
	until := time.Now().Add(soakEndTimeout)
	var checks sync.WaitGroup
	slots := make(chan struct{}, soakChecks)
	for _, x := range rs {
		s.checkGone(x)
		if x.acceptedAt.IsZero() {
			if !x.isUnknown && s.runners.HasStarted(x.job.id) {
				s.violate("job %s ran, though all %d requests were refused", x.job.id, x.refused)
			}
			continue
		}
		slots <- struct{}{}
		checks.Go(func() {
			s.checkJobEnd(x, until)
			<-slots
		})
	}
	checks.Wait()
	if f := s.plan.unrequestedRuns(); f != "" {
		s.violate("runs that no client requested: %s", f)
	}
	for _, f := range s.runners.Faults() {
		s.violate("worker: %s", f)
	}
	s.checkStopped(rs)
}

// checkStopped checks that what still runs of jobs that have ended is gone soakCancelTimeout and a stop later.
func (s *soakSite) checkStopped(rs []*soakResult) {
	until := time.Now().Add(soakCancelTimeout + soakStopTimeout)
	ts := s.findRunningAfterEnd(rs)
	for len(ts) > 0 && time.Now().Before(until) {
		s.sleep(soakSampleInterval)
		ts = s.findRunningAfterEnd(rs)
	}
	if len(ts) > 0 {
		s.violate("%v still run %s after their jobs have ended", ts, soakCancelTimeout+soakStopTimeout)
	}
}

// findRunningAfterEnd returns the runs of all accepted jobs, which have ended.
func (s *soakSite) findRunningAfterEnd(rs []*soakResult) []port.RunRef {
	return slices.DeleteFunc(s.runners.FindRunning(), func(t port.RunRef) bool {
		x := s.resultOf(rs, t.Job)
		return x == nil || x.acceptedAt.IsZero()
	})
}

func (s *soakSite) resultOf(rs []*soakResult, id string) *soakResult {
	for _, x := range rs {
		if x.job.id == id {
			return x
		}
	}
	return nil
}

// checkJobEnd waits until all hosts report the same final state of a job, and checks that state.
func (s *soakSite) checkJobEnd(x *soakResult, until time.Time) {
	first := ""
	for _, h := range s.hosts {
		state, status := s.state(h, x.job)
		for !isFinal(state) || first != "" && state != first {
			if time.Now().After(until) {
				s.violate("job %s is %q at %s, status %d, %q elsewhere, %s after the last fault", x.job.id, state, h.name, status, first, soakEndTimeout)
				return
			}
			s.sleep(soakPollInterval)
			state, status = s.state(h, x.job)
		}
		first = state
		s.checkState(x, h, state)
	}
	if first == "failed" && !x.job.isPoison && s.runners.CountFailed(x.job.id) < soakAttempts {
		s.violate("job %s failed with fewer failed runs than its limit", x.job.id)
	}
}

// checkLogs checks that all hosts still run, that their log lines are JSON objects, and that the number of lines is bounded.
func (s *soakSite) checkLogs(jobs int) {
	for _, h := range s.hosts {
		p := s.process(h.name)
		if !p.isRunning() {
			s.violate("%s has exited on its own", h.name)
		}
		lines := strings.Split(strings.TrimSpace(p.output()), "\n")
		if n := len(lines); n > soakLinesPerHost+soakLinesPerJob*jobs {
			s.violate("%s wrote %d log lines for %d jobs", h.name, n, jobs)
		}
		for _, l := range lines {
			var m map[string]any
			if json.Unmarshal([]byte(l), &m) != nil {
				s.violate("%s wrote a log line that is not a JSON object: %s", h.name, l)
				break
			}
		}
	}
}

// keepLogsOnFailure keeps the logs if the seed failed and -soak-keep is set.
func (s *soakSite) keepLogsOnFailure() {
	if (s.t.Failed() || len(s.findViolations()) > 0) && *soakKeep != "" {
		s.keepLogs()
	}
}

// keepLogs copies the logs of the hosts to the folder of -soak-keep.
func (s *soakSite) keepLogs() {
	dir := filepath.Join(*soakKeep, strings.ReplaceAll(filepath.Base(s.t.Name()), "_", "-"))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		s.violate("keep logs: %v", err)
		return
	}
	for _, h := range s.hosts {
		if err := os.WriteFile(filepath.Join(dir, h.name+".log"), []byte(s.process(h.name).output()), 0o600); err != nil {
			s.violate("keep logs: %v", err)
		}
	}
}

func (s *soakSite) sleep(d time.Duration) {
	_ = clock.System().Sleep(s.t.Context(), d)
}
