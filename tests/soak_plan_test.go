package tests

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

const soakHostname = "soak.example"

// soakJob is one job that a client hands in.
type soakJob struct {
	at    time.Duration
	id    string
	org   string
	queue string
	steps []soakStep
	// isPoison jobs fail in every run.
	isPoison bool
	// cancel is when the client takes the job back after it was accepted; zero means never.
	cancel time.Duration
	// repeat is how long after the answer the request comes once more; zero means never.
	repeat time.Duration
	hosts  []int
}

type soakStep struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	GPUs       int   `json:"gpus"`
	Estimated  int64 `json:"estimated_ms"`
	Gang       bool  `json:"gang,omitempty"`
	Local      bool  `json:"locality_sensitive,omitempty"`
	StartAfter []int `json:"start_after,omitempty"`
}

func (j *soakJob) tasks() int {
	n := 0
	for _, x := range j.steps {
		n += x.Count
	}
	return n
}

// soakFault is one fault, which lasts for some time.
type soakFault struct {
	at    time.Duration
	lasts time.Duration
	kind  string
	// host is the index of the host that it strikes, or below zero for the owner.
	host   int
	worker int
	// strength is a figure that the fault needs.
	strength int
}

// soakPlan is all that a seed decides.
type soakPlan struct {
	seed    uint64
	hosts   int
	workers int
	length  time.Duration
	jobs    []*soakJob
	faults  []soakFault

	mu   sync.Mutex
	work *rand.Rand
	byID map[string]*soakJob
	// foreign are runs with a specification that no client sent.
	foreign []string
}

const (
	soakJobsPerSecond = 5
	soakFaultGap      = 600 * time.Millisecond
)

// newSoakPlan draws jobs and faults.
func newSoakPlan(seed uint64, hosts, workers int, length time.Duration) *soakPlan {
	r := rand.New(rand.NewPCG(seed, 0))
	p := &soakPlan{
		seed: seed, hosts: hosts, workers: workers, length: length, work: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*soakJob{},
	}
	for at := time.Duration(0); at < length; at += time.Duration(r.IntN(int(2*time.Second))) / soakJobsPerSecond {
		j := drawJob(r, len(p.jobs), at, hosts)
		p.jobs = append(p.jobs, j)
		p.byID[j.id] = j
	}
	for at := time.Second; at < length; at += time.Duration(r.IntN(int(2 * soakFaultGap))) {
		f := soakFault{
			at: at, lasts: 300*time.Millisecond + time.Duration(r.IntN(int(5*time.Second))), kind: soakKinds[r.IntN(len(soakKinds))],
			host: r.IntN(2*hosts) - hosts, worker: r.IntN(workers), strength: r.IntN(1000),
		}
		p.faults = append(p.faults, f)
	}
	return p
}

func drawJob(r *rand.Rand, n int, at time.Duration, hosts int) *soakJob {
	j := &soakJob{
		at: at, id: fmt.Sprintf("%016x", n+1), org: []string{"harbour", "quay"}[r.IntN(2)],
		queue: []string{"urgent", "quiet"}[r.IntN(2)], isPoison: r.IntN(12) == 0,
	}
	for k := range 1 + r.IntN(2) {
		x := soakStep{Count: 1 + r.IntN(5), CPU: 1, GPUs: 1 + r.IntN(2), Estimated: int64(200 + r.IntN(3000))}
		x.Gang = r.IntN(2) == 0
		x.Local = x.Gang && r.IntN(2) == 0
		if k > 0 {
			x.StartAfter = []int{0}
		}
		j.steps = append(j.steps, x)
	}
	if r.IntN(8) == 0 {
		j.cancel = 200*time.Millisecond + time.Duration(r.IntN(int(4*time.Second)))
	}
	if r.IntN(6) == 0 {
		j.repeat = time.Duration(r.IntN(int(5 * time.Second)))
	}
	for range 6 {
		j.hosts = append(j.hosts, r.IntN(hosts))
	}
	return j
}

// spec returns what the workers are handed for the job.
func (j *soakJob) spec() string {
	return "spec of " + j.id
}

// fate draws how a run goes; poisoned jobs fail, and one run in twenty of the others.
func (p *soakPlan) fate(x port.RunRef, spec string) standin.RunFate {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.byID[x.Job]
	if j == nil || spec != j.spec() || x.Step >= len(j.steps) {
		p.foreign = append(p.foreign, fmt.Sprintf("%v with %q", x, spec))
		return standin.RunFate{Work: time.Second, Result: jobs.Done}
	}
	out := standin.RunFate{Work: time.Duration(150+p.work.IntN(2500)) * time.Millisecond, Result: jobs.Done}
	if j.steps[x.Step].Gang {
		out.Gang = j.steps[x.Step].Count
	}
	if j.isPoison || p.work.IntN(20) == 0 {
		out.Work, out.Result = out.Work/4, jobs.FailedRun
	}
	return out
}

func (p *soakPlan) foreignRuns() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.foreign, ", ")
}
