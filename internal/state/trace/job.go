package trace

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Refusal is a request to submit a job that a host did not serve.
type Refusal struct {
	At     time.Time
	Host   string
	Status int
	Cause  string
}

// Run is one run of a unit of a job.
type Run struct {
	Unit    string
	Number  int
	Started time.Time
	// Ended is zero while the run goes on.
	Ended   time.Time
	Workers int
	// First is the worker of the first task.
	First string
	// Result is Done, Failed, Stopped or Lost, or empty while the run goes on.
	Result string
	// StopReason is the reason why the run was stopped, if it was.
	StopReason string
}

// Job is the history of a job.
type Job struct {
	ID           string
	Queue        string
	Organisation string
	// Domain is the failure domain of the host that accepted the job.
	Domain    string
	Objective time.Duration
	Stretch   float64
	Refusals  []Refusal
	// Accepted is zero for a job that was never accepted, and Ended for one that has not ended.
	Accepted time.Time
	Ended    time.Time
	// State is Open, Completed, Failed or Cancelled.
	State string
	// Reason is the reason why the job ended, if it was not completed.
	Reason string
	Runs   []Run
}

// stateNames are the names of the numbers that a log gives as the state of a job that ends.
var stateNames = [...]string{"Open", "Completed", "Failed", "Cancelled"}

// gap is a period in which no host owned the jobs.
type gap struct {
	from time.Time
	to   time.Time
}

// history collects the jobs and the gaps without an owner.
type history struct {
	jobs map[string]*Job
	runs map[runKey]*Run
	gaps []gap
	// domains maps each host to its failure domain.
	domains map[string]string
}

type runKey struct {
	unit   string
	number int
}

// FindJobs returns the histories of all jobs, ordered by their first request.
func (l *Log) FindJobs() []*Job {
	h := l.history()
	out := slices.SortedFunc(maps.Values(h.jobs), func(a, b *Job) int {
		return cmp.Or(a.firstSeen().Compare(b.firstSeen()), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (l *Log) history() *history {
	h := &history{jobs: map[string]*Job{}, runs: map[runKey]*Run{}, domains: map[string]string{}}
	for _, x := range l.lines {
		h.apply(x)
	}
	for k, r := range h.runs {
		id, _, _ := strings.Cut(k.unit, "/")
		if j := h.jobs[id]; j != nil {
			j.Runs = append(j.Runs, *r)
		}
	}
	for _, j := range h.jobs {
		slices.SortFunc(j.Runs, func(a, b Run) int {
			return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.Unit, b.Unit), cmp.Compare(a.Number, b.Number))
		})
	}
	return h
}

func (h *history) job(id string) *Job {
	j := h.jobs[id]
	if j == nil {
		j = &Job{ID: id, State: stateNames[0]}
		h.jobs[id] = j
	}
	return j
}

func (h *history) run(x line) *Run {
	k := runKey{x.Unit, x.Run}
	r := h.runs[k]
	if r == nil {
		r = &Run{Unit: x.Unit, Number: x.Run}
		h.runs[k] = r
	}
	return r
}

func (h *history) apply(x line) {
	switch x.Message {
	case "request failed":
		if x.Method == "POST" {
			id := x.Path[strings.LastIndexByte(x.Path, '/')+1:]
			j := h.job(id)
			j.Refusals = append(j.Refusals, Refusal{At: x.At, Host: x.Host, Status: x.Status, Cause: x.Cause})
		}
	case "job accepted":
		h.accept(x)
	case "unit starts":
		r := h.run(x)
		r.Started, r.Workers, r.First = x.At, x.Workers, x.First
	case "unit stops":
		if r := h.run(x); r.StopReason == "" {
			r.StopReason = x.Reason
		}
	case "run ends":
		r := h.run(x)
		r.Ended, r.Result = x.At, x.Result
	case "job ends":
		j := h.job(x.Job)
		if j.Ended.IsZero() && x.State >= 0 && x.State < len(stateNames) {
			j.Ended, j.State, j.Reason = x.At, stateNames[x.State], x.Reason
		}
	case "starting":
		h.domains[x.Host] = x.Domain
	case "claiming ownership":
		silent, _ := time.ParseDuration(x.Silent) // The gap begins at the claim if the line does not tell.
		h.openGap(x.At.Add(-silent))
	case "take-over complete":
		h.closeGap(x.At)
	}
}

func (h *history) accept(x line) {
	j := h.job(x.Job)
	if !j.Accepted.IsZero() {
		return
	}
	j.Accepted, j.Queue, j.Organisation, j.Stretch, j.Domain = x.At, x.Queue, x.Organisation, x.Stretch, h.domains[x.Host]
	j.Objective, _ = time.ParseDuration(x.Objective) // Logs of older versions lack it; the job then has no target.
}

// openGap begins a gap unless one is open.
func (h *history) openGap(at time.Time) {
	if n := len(h.gaps); n > 0 && h.gaps[n-1].to.IsZero() {
		return
	}
	h.gaps = append(h.gaps, gap{from: at})
}

func (h *history) closeGap(at time.Time) {
	if n := len(h.gaps); n > 0 && h.gaps[n-1].to.IsZero() {
		h.gaps[n-1].to = at
	}
}

// firstSeen returns the time of the first request that is known.
func (j *Job) firstSeen() time.Time {
	if len(j.Refusals) > 0 && (j.Accepted.IsZero() || j.Refusals[0].At.Before(j.Accepted)) {
		return j.Refusals[0].At
	}
	if j.Accepted.IsZero() && len(j.Runs) > 0 {
		return j.Runs[0].Started
	}
	return j.Accepted
}

// Took returns the time from the first request to the end; zero while the job has not ended.
func (j *Job) Took() time.Duration {
	if j.Ended.IsZero() {
		return 0
	}
	return j.Ended.Sub(j.firstSeen())
}

// Work returns the time that the job's longest chain of successful runs took: the sum over its steps of the longest one.
func (j *Job) Work() time.Duration {
	longest := map[string]time.Duration{}
	for _, r := range j.Runs {
		if r.Result != "Done" || r.Started.IsZero() {
			continue
		}
		step := r.Unit[:strings.LastIndexByte(r.Unit, '/')]
		longest[step] = max(longest[step], r.Ended.Sub(r.Started))
	}
	sum := time.Duration(0)
	for _, d := range longest {
		sum += d
	}
	return sum
}

// Target returns the time within which the job should have ended, given its work; zero when it is not known.
func (j *Job) Target() time.Duration {
	if j.Stretch == 0 {
		return 0
	}
	return j.Objective + time.Duration(j.Stretch*float64(j.Work()))
}

// IsLate reports whether the job was completed after its target.
func (j *Job) IsLate() bool {
	return j.State == "Completed" && j.Target() > 0 && j.Took() > j.Target()
}
