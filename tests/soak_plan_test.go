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

// soakJob is a job that a client submits.
type soakJob struct {
	submitAt time.Duration
	id       string
	org      string
	queue    string
	steps    []soakStep
	// isPoison makes every run of the job fail.
	isPoison bool
	// cancelAfter is the time from acceptance to the cancellation by the client; zero means never.
	cancelAfter time.Duration
	// isAbandoned is set if the client leaves soon after the submission and cancels at another host, whatever the outcome.
	isAbandoned bool
	// resubmitAfter is the time from acceptance to a repeated submission; zero means never.
	resubmitAfter time.Duration
	hosts         []int
	// work is the mean time of a run; zero means that runs take any time.
	work time.Duration
}

type soakStep struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	GPUs       int   `json:"gpus"`
	Estimated  int64 `json:"estimated_ms"`
	Gang       bool  `json:"gang,omitempty"`
	Local      bool  `json:"locality_sensitive,omitempty"`
	StartAfter []int `json:"start_after,omitempty"`
	Memory     int   `json:"mem_mb,omitempty"`
	// Label is a label that the worker must have, and PerWorker the most tasks of the step on one worker.
	Label     string `json:"requirements,omitempty"`
	PerWorker int    `json:"anti_affinity,omitempty"`
	// Rack is the rack that holds the data.
	Rack string `json:"affinity,omitempty"`
	// Lasts is set if the tasks run until the job is cancelled.
	Lasts bool `json:"long_running,omitempty"`
}

func (j *soakJob) tasks() int {
	n := 0
	for _, x := range j.steps {
		n += x.Count
	}
	return n
}

// soakFault is one fault of limited duration.
type soakFault struct {
	startAt  time.Duration
	duration time.Duration
	kind     string
	// host is the index of the affected host; a negative value stands for the owner.
	host   int
	worker int
	// magnitude is a random number below 1000, whose use depends on the kind.
	magnitude int
}

// soakPlan holds everything that is derived from the seed.
type soakPlan struct {
	seed    uint64
	hosts   int
	workers int
	length  time.Duration
	jobs    []*soakJob
	faults  []soakFault
	orgs    []string
	// guarantee is the number of accelerators that each organisation is guaranteed.
	guarantee int
	// maxAttempts is the highest number of failed runs of a task that any configuration allows.
	maxAttempts int
	// maxHold is the longest lease that workers grant.
	maxHold time.Duration
	// memory is the memory that the settings give each host; empty means soakMemory. A positive openFiles limits the open
	// files of each host.
	memory    string
	openFiles int
	// hasLifetimes is set if the entries of the workers name their lifetimes.
	hasLifetimes bool

	mu          sync.Mutex
	outcomeRand *rand.Rand
	byID        map[string]*soakJob
	// unrequested lists runs whose task and specification no client submitted.
	unrequested []string
}

const (
	// soakHold and soakLongHold are the longest leases that workers grant.
	soakHold          = 6 * time.Second
	soakLongHold      = 10 * time.Second
	soakJobsPerSecond = 5
	soakFaultGap      = 600 * time.Millisecond
)

// newSoakPlan draws a light load of two organisations, and faults that do not pause.
func newSoakPlan(seed uint64, hosts, workers int, length time.Duration) *soakPlan {
	r := rand.New(rand.NewPCG(seed, 0))
	p := &soakPlan{
		seed: seed, hosts: hosts, workers: workers, length: length, outcomeRand: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*soakJob{},
		orgs: []string{"harbour", "quay"}, guarantee: 16, maxAttempts: soakAttempts, maxHold: soakHold,
	}
	for at := time.Duration(0); at < length; at += time.Duration(r.IntN(int(2*time.Second))) / soakJobsPerSecond {
		j := drawJob(r, len(p.jobs), at, hosts)
		p.jobs = append(p.jobs, j)
		p.byID[j.id] = j
	}
	for at := time.Second; at < length; at += time.Duration(r.IntN(int(2 * soakFaultGap))) {
		f := soakFault{
			startAt: at, duration: 300*time.Millisecond + time.Duration(r.IntN(int(5*time.Second))), kind: soakFaultKinds[r.IntN(len(soakFaultKinds))],
			host: r.IntN(2*hosts) - hosts, worker: r.IntN(workers), magnitude: r.IntN(1000),
		}
		p.faults = append(p.faults, f)
	}
	return p
}

func drawJob(r *rand.Rand, n int, at time.Duration, hosts int) *soakJob {
	j := &soakJob{
		submitAt: at, id: fmt.Sprintf("%016x", n+1), org: []string{"harbour", "quay"}[r.IntN(2)],
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
		j.cancelAfter = 200*time.Millisecond + time.Duration(r.IntN(int(4*time.Second)))
	}
	if r.IntN(6) == 0 {
		j.resubmitAfter = time.Duration(r.IntN(int(5 * time.Second)))
	}
	for range 6 {
		j.hosts = append(j.hosts, r.IntN(hosts))
	}
	return j
}

// spec returns the specification that the workers receive for the job.
func (j *soakJob) spec() string {
	return "spec of " + j.id
}

// drawOutcome draws the outcome of a run; poison jobs always fail, other runs with a probability of 1 in 20.
func (p *soakPlan) drawOutcome(x port.RunRef, spec string) standin.RunOutcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.byID[x.Job]
	if j == nil || spec != j.spec() || x.Step >= len(j.steps) {
		p.unrequested = append(p.unrequested, fmt.Sprintf("%v with %q", x, spec))
		return standin.RunOutcome{Work: time.Second, Result: jobs.Done}
	}
	out := standin.RunOutcome{Work: p.drawWork(j), Result: jobs.Done, Lasts: j.steps[x.Step].Lasts}
	if j.steps[x.Step].Gang {
		out.Gang = j.steps[x.Step].Count
	}
	hasFailed := p.outcomeRand.IntN(20) == 0
	switch {
	case out.Lasts && !hasFailed:
		out.Work = time.Hour
	case j.isPoison || hasFailed:
		out.Work, out.Result = out.Work/4, jobs.FailedRun
	}
	return out
}

// drawWork draws how long a run works.
func (p *soakPlan) drawWork(j *soakJob) time.Duration {
	if j.work == 0 {
		return time.Duration(150+p.outcomeRand.IntN(2500)) * time.Millisecond
	}
	return time.Duration(float64(j.work) * (0.7 + 0.6*p.outcomeRand.Float64()))
}

func (p *soakPlan) unrequestedRuns() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.unrequested, ", ")
}
