package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

var (
	soakSeeds   = flag.Int("soak-seeds", 1, "seeds of the fault soak beside those that failed once")
	soakFirst   = flag.Uint64("soak-first", 1, "first seed of the fault soak")
	soakLength  = flag.Duration("soak-length", 8*time.Second, "how long the fault soak brings faults about")
	soakHosts   = flag.Int("soak-hosts", 5, "hosts of the fault soak")
	soakWorkers = flag.Int("soak-workers", 8, "workers of the fault soak")
	soakKeep    = flag.String("soak-keep", "", "folder that keeps the logs of seeds that fail")
)

var jobsTopic = port.Topic{Name: "jobs", IsKeyed: true}

// soakCase is a seed with the length that it was played at.
type soakCase struct {
	seed   uint64
	length time.Duration
}

// soakFailed are cases that failed once, each with its cause.
var soakFailed = []soakCase{
	{1018, 16 * time.Second}, // the stand-in let tasks of a gang end well whose siblings had lapsed or were stopped
	{2021, 16 * time.Second}, // the same
	{5051, 16 * time.Second}, // all workers but one were quarantined
	{104, 14 * time.Second},  // a second attempt at an acknowledgement reached the next lifetime of a worker
}

const (
	// soakParallel bounds the seeds that are played at a time.
	soakParallel = 4
	// soakSettle is how long after the last fault every accepted job must have ended.
	soakSettle   = 45 * time.Second
	soakPatience = 3 * time.Second
	soakTries    = 6
	soakPoll     = 300 * time.Millisecond
	// soakLinesEach bounds the lines of the log for each job, and soakLinesHost those of a host besides.
	soakLinesEach = 150
	soakLinesHost = 3000
)

// TestSoak plays real hosts under faults that are brought about from outside, drawn from seeds, and checks the promises
// to callers and workers meanwhile.
func TestSoak(t *testing.T) {
	cases := slices.Clone(soakFailed)
	for i := range *soakSeeds {
		cases = append(cases, soakCase{*soakFirst + uint64(i), *soakLength})
	}
	slots := make(chan struct{}, soakParallel)
	for _, x := range cases {
		t.Run(fmt.Sprintf("seed %d", x.seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			soak(t, newSoakPlan(x.seed, *soakHosts, *soakWorkers, x.length))
		})
	}
}

func soak(t *testing.T, p *soakPlan) {
	s := newSoakSite(t, p)
	defer s.report()
	for _, h := range s.hosts {
		s.eventually(readyBound, "readiness of "+h.name, func() bool { return s.isReady(h) })
	}
	begin := time.Now()
	var busy sync.Map
	var faults, clients sync.WaitGroup
	results := make([]*soakResult, len(p.jobs))
	for i, j := range p.jobs {
		results[i] = &soakResult{job: j}
		clients.Go(func() {
			s.sleep(j.at - time.Since(begin))
			s.play(results[i])
		})
	}
	for _, f := range p.faults {
		faults.Go(func() {
			s.sleep(f.at - time.Since(begin))
			s.strike(f, &busy)
		})
	}
	faults.Wait()
	s.recover()
	clients.Wait()
	s.settle(results)
	s.checkLogs(len(results))
	require.Empty(t, s.violations, "seed %d", p.seed)
}

// soakResult is what a client heard of its job.
type soakResult struct {
	job      *soakJob
	accepted time.Time
	// unknown is set once a request was not answered for sure, and refused counts those that were turned away.
	unknown   bool
	refused   int
	cancelled bool
}

// play hands a job in until it is accepted or refused for good, and takes it back or repeats it as planned.
func (s *soakSite) play(x *soakResult) {
	j := x.job
	body, err := json.Marshal(map[string]any{"spec": j.spec(), "steps": j.steps})
	if err != nil {
		s.violate("encode job: %v", err)
		return
	}
	for i := 0; i < soakTries && x.accepted.IsZero(); i++ {
		h := s.hosts[j.hosts[i]]
		a := s.call(h, soakCall{http.MethodPost, j.queue, j.id, s.key(j.org), body})
		switch a.status {
		case http.StatusOK:
			x.accepted = time.Now()
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized, http.StatusNotFound:
			x.refused++
			s.sleep(min(a.after, time.Second))
		default:
			x.unknown = true
			s.sleep(soakPoll)
		}
	}
	if x.accepted.IsZero() {
		return
	}
	if j.repeat > 0 {
		s.sleep(j.repeat)
		s.call(s.hosts[j.hosts[0]], soakCall{http.MethodPost, j.queue, j.id, s.key(j.org), body})
	}
	if j.cancel > 0 {
		s.sleep(j.cancel)
		s.cancel(x)
	}
	s.watch(x)
}

// cancel takes a job back at one host after the other until one has confirmed it.
func (s *soakSite) cancel(x *soakResult) {
	for i := range soakTries {
		x.cancelled = true
		a := s.call(s.hosts[x.job.hosts[i]], soakCall{method: http.MethodDelete, queue: x.job.queue, id: x.job.id, key: s.key(x.job.org)})
		if a.status == http.StatusOK || a.status == http.StatusGone {
			return
		}
		s.sleep(soakPoll)
	}
}

// watch asks for the state of a job for a while and checks what it is told.
func (s *soakSite) watch(x *soakResult) {
	for i := range soakTries {
		h := s.hosts[x.job.hosts[i]]
		asked := time.Now()
		state, status := s.state(h, x.job)
		isInTouch := h.isCalm(asked.Add(-soakContact)) && s.isStoreCalm(asked.Add(-soakContact))
		if status == http.StatusGone && isInTouch && asked.Sub(x.accepted) > soakVisible {
			s.violate("%s does not know job %s, accepted %s before", h.name, x.job.id, asked.Sub(x.accepted))
		}
		s.checkState(x, h, state)
		if isFinal(state) {
			return
		}
		s.sleep(soakPoll)
	}
}

func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// checkState compares a state with what the workers did.
func (s *soakSite) checkState(x *soakResult, h *soakHost, state string) {
	j := x.job
	switch state {
	case "completed":
		if n := s.runners.CountDone(j.id); n < j.tasks() {
			s.violate("%s shows job %s as completed, %d of %d tasks are done", h.name, j.id, n, j.tasks())
		}
	case "cancelled":
		if !x.cancelled {
			s.violate("%s shows job %s as cancelled, which nobody asked for", h.name, j.id)
		}
	}
}

// soakCall is one request of a client.
type soakCall struct {
	method string
	queue  string
	id     string
	key    string
	body   []byte
}

// soakAnswer is what a client heard; the status is zero when there was no whole answer.
type soakAnswer struct {
	status int
	after  time.Duration
	state  string
}

var soakClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// call makes one request of a client; a request that a leaving host has surely taken must be answered as a whole.
func (s *soakSite) call(h *soakHost, c soakCall) soakAnswer {
	ctx, cancel := context.WithTimeout(s.t.Context(), soakPatience)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/%s/%s", h.ip, callerPort, c.queue, c.id)
	r, err := http.NewRequestWithContext(ctx, c.method, url, bytes.NewReader(c.body))
	if err != nil {
		s.violate("build request: %v", err)
		return soakAnswer{}
	}
	r.Host = soakHostname
	r.Header.Set("X-Api-Key", c.key)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(soakPatience.Milliseconds()))
	sent := time.Now()
	p, err := soakClient.Do(r)
	if err != nil {
		s.checkBroken(h, sent, err)
		return soakAnswer{}
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		s.checkBroken(h, sent, err)
		return soakAnswer{}
	}
	return s.decodeAnswer(h, p, b)
}

func (s *soakSite) decodeAnswer(h *soakHost, p *http.Response, body []byte) soakAnswer {
	out := soakAnswer{status: p.StatusCode}
	var m struct {
		State string `json:"state"`
	}
	if len(body) > 0 && json.Unmarshal(body, &m) != nil {
		s.violate("%s answered %d with a body that cannot be read", h.name, p.StatusCode)
	}
	out.state = m.State
	if p.StatusCode != http.StatusServiceUnavailable {
		return out
	}
	after, err := strconv.Atoi(p.Header.Get("Retry-After"))
	if err != nil || after <= 0 {
		s.violate("%s refused without saying when to come back", h.name)
	}
	out.after = time.Duration(after) * time.Second
	return out
}

// checkBroken wants a request that was sent before a planned stop to be answered.
func (s *soakSite) checkBroken(h *soakHost, sent time.Time, err error) {
	since := h.leavingSince()
	isPlanned := !since.IsZero() && sent.Before(since) && time.Since(since) < soakGrace
	if isPlanned && s.isStoreCalm(sent.Add(-soakContact)) && !errors.Is(err, context.DeadlineExceeded) {
		s.violate("%s broke a request off that was sent %s before it was asked to stop: %v", h.name, since.Sub(sent), err)
	}
}

// state asks for the state of a job.
func (s *soakSite) state(h *soakHost, j *soakJob) (string, int) {
	a := s.call(h, soakCall{method: http.MethodGet, queue: j.queue, id: j.id, key: s.key(j.org)})
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

// recover wants every host to be ready soon after the last fault has ended.
func (s *soakSite) recover() {
	until := time.Now().Add(soakRecovery)
	for _, h := range s.hosts {
		for !s.isReady(h) {
			if time.Now().After(until) {
				s.violate("%s is not ready %s after the last fault", h.name, soakRecovery)
				break
			}
			s.sleep(soakPoll)
		}
	}
}

// settle wants every accepted job to end, the same at every host, and nothing to have run that was refused.
func (s *soakSite) settle(rs []*soakResult) {
	until := time.Now().Add(soakSettle)
	for _, x := range rs {
		if x.accepted.IsZero() {
			if !x.unknown && s.runners.HasBegun(x.job.id) {
				s.violate("job %s ran, though all %d requests were refused", x.job.id, x.refused)
			}
			continue
		}
		s.settleJob(x, until)
	}
	if f := s.plan.foreignRuns(); f != "" {
		s.violate("runs that no client asked for: %s", f)
	}
	for _, f := range s.runners.Faults() {
		s.violate("worker: %s", f)
	}
	for _, t := range s.runners.FindRunning() {
		if x := s.resultOf(rs, t.Job); x != nil && !x.accepted.IsZero() {
			s.violate("%v runs on after its job has ended", t)
		}
	}
}

func (s *soakSite) resultOf(rs []*soakResult, id string) *soakResult {
	for _, x := range rs {
		if x.job.id == id {
			return x
		}
	}
	return nil
}

// settleJob waits for the end of a job at all hosts and compares them.
func (s *soakSite) settleJob(x *soakResult, until time.Time) {
	first := ""
	for _, h := range s.hosts {
		state, status := s.state(h, x.job)
		for !isFinal(state) || first != "" && state != first {
			if time.Now().After(until) {
				s.violate("job %s is %q at %s, status %d, %q elsewhere, %s after the last fault", x.job.id, state, h.name, status, first, soakSettle)
				return
			}
			s.sleep(soakPoll)
			state, status = s.state(h, x.job)
		}
		first = state
		s.checkState(x, h, state)
	}
	if first == "failed" && !x.job.isPoison && s.runners.CountFailed(x.job.id) < soakAttempts {
		s.violate("job %s failed without cause", x.job.id)
	}
}

// checkLogs wants each line of the logs to be structured, and their number to be bounded.
func (s *soakSite) checkLogs(jobs int) {
	for _, h := range s.hosts {
		p := s.process(h.name)
		if !p.isRunning() {
			s.violate("%s has ended by itself", h.name)
		}
		lines := strings.Split(strings.TrimSpace(p.output()), "\n")
		if n := len(lines); n > soakLinesHost+soakLinesEach*jobs {
			s.violate("%s wrote %d lines for %d jobs", h.name, n, jobs)
		}
		for _, l := range lines {
			var m map[string]any
			if json.Unmarshal([]byte(l), &m) != nil {
				s.violate("%s wrote a line without structure: %s", h.name, l)
				break
			}
		}
	}
}

// report keeps the logs of a seed that failed, if asked to.
func (s *soakSite) report() {
	if (s.t.Failed() || len(s.violations) > 0) && *soakKeep != "" {
		s.keepLogs()
	}
}

// keepLogs copies the logs of the hosts to a folder that outlives the test.
func (s *soakSite) keepLogs() {
	dir := filepath.Join(*soakKeep, fmt.Sprintf("seed-%d", s.plan.seed))
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
