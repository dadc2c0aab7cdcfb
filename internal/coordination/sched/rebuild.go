package sched

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/gang"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

const (
	inspectBound    = 600 * time.Millisecond
	inspectParallel = 128
	// silentRetry separates the questions to workers that did not answer a new owner.
	silentRetry = 2 * time.Second
)

// rebuild makes the books from the workers and from the jobs that peers hold, and then serves.
func (r *ownership) rebuild() {
	start := r.now()
	r.planner.Configure(r.s.config())
	ws := r.s.fleet()
	reports, silent := r.inspectAll(ws)
	for _, p := range reports {
		r.putWorker(p.Worker)
	}
	jobs := r.keptJobs()
	r.adopt(reports, len(silent) > 0, jobs)
	r.resolveClaims(jobs)
	r.queueRest(jobs)
	if r.ctx.Err() != nil {
		return
	}
	r.s.scope.Timer("sched_rebuild").Record(r.s.clock.Since(start))
	r.note(events.OwnerChanged, fleet.Job{}, "books rebuilt in "+r.s.clock.Since(start).String())
	close(r.ready)
	for _, w := range silent {
		r.asking[w.Name] = true
	}
	if len(silent) > 0 {
		r.tasks.Go(func() { r.askSilent(silent) })
	}
}

// inspectAll raises all workers to this term, which fences older owners off, and returns those that did not answer.
func (r *ownership) inspectAll(ws []fleet.Worker) ([]fleet.Report, []fleet.Worker) {
	var mu sync.Mutex
	var reports []fleet.Report
	var silent []fleet.Worker
	slots := make(chan struct{}, inspectParallel)
	var g sync.WaitGroup
	for _, w := range ws {
		r.s.setAddr(w.Name, w.Addr)
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			p, err := r.inspect(w)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, w)
				return
			}
			reports = append(reports, p)
		})
	}
	g.Wait()
	return reports, silent
}

func (r *ownership) inspect(w fleet.Worker) (fleet.Report, error) {
	ctx, cancel := context.WithTimeout(r.ctx, inspectBound)
	defer cancel()
	// The lease comes first, since a worker without one prepares nothing.
	l := fleet.Lease{Term: r.term, Duration: r.s.lease}
	if _, err := r.s.workers.Renew(ctx, w.Addr, l); err != nil {
		return fleet.Report{}, err
	}
	p, err := r.s.workers.Inspect(ctx, w.Addr, r.term)
	if err != nil {
		return p, err
	}
	p.Worker.Leaving = p.Worker.Leaving || w.Leaving
	return p, nil
}

// askSilent goes on asking the workers that did not answer, and adopts what they then report.
func (r *ownership) askSilent(ws []fleet.Worker) {
	for len(ws) > 0 && r.s.clock.Sleep(r.ctx, silentRetry) == nil {
		ws = r.listed(ws)
		reports, silent := r.inspectAll(ws)
		ws = silent
		if len(reports) == 0 {
			continue
		}
		_ = r.do(r.ctx, func() {
			for _, p := range reports {
				r.putWorker(p.Worker)
			}
		})
		r.adoptLate(reports, len(ws) > 0)
	}
}

// listed drops workers that the platform no longer lists.
func (r *ownership) listed(ws []fleet.Worker) []fleet.Worker {
	known := map[string]bool{}
	for _, w := range r.s.fleet() {
		known[w.Name] = true
	}
	var out []fleet.Worker
	for _, w := range ws {
		if known[w.Name] {
			out = append(out, w)
		}
	}
	return out
}

// adoptLate completes gangs that were left open because a worker was silent.
func (r *ownership) adoptLate(reports []fleet.Report, silent bool) {
	r.mu.Lock()
	reports = append(reports, r.open...)
	r.mu.Unlock()
	jobs := map[string]fleet.Job{}
	for _, j := range r.keptJobs() {
		jobs[j.ID] = j
	}
	_ = r.do(r.ctx, func() { r.adopt(r.unknown(reports), silent, jobs) })
}

// unknown drops the tasks of attempts that the books hold already.
func (r *ownership) unknown(reports []fleet.Report) []fleet.Report {
	out := make([]fleet.Report, 0, len(reports))
	for _, p := range reports {
		var ts []fleet.TaskReport
		for _, t := range p.Tasks {
			a, ok := r.attempts[t.Task.Ref.Job]
			if !ok || a.job.Attempt != t.Task.Ref.Attempt {
				ts = append(ts, t)
			}
		}
		p.Tasks = ts
		out = append(out, p)
	}
	return out
}

// adopt takes over the gangs that run as a whole, and queues those again that had to be stopped.
func (r *ownership) adopt(reports []fleet.Report, silent bool, jobs map[string]fleet.Job) {
	found, err := r.s.gangs.Adopt(r.ctx, r.term, reports, silent, jobs)
	if err != nil {
		r.s.scope.Counter("sched_adopt_failed").Inc(1)
		return
	}
	for _, g := range found.Complete {
		r.adoptGang(g)
		delete(jobs, g.Job.ID)
	}
	for _, f := range found.Stopped {
		r.settleStopped(f, jobs)
	}
	r.keepOpen(found.Open, reports, jobs)
}

// keepOpen remembers the reports of gangs that a silent worker may complete; their jobs wait.
func (r *ownership) keepOpen(fs []gang.ReportedAttempt, reports []fleet.Report, jobs map[string]fleet.Job) {
	open := map[string]bool{}
	for _, f := range fs {
		open[f.Attempt.Job.ID] = true
		delete(jobs, f.Attempt.Job.ID)
	}
	var kept []fleet.Report
	for _, p := range reports {
		var ts []fleet.TaskReport
		for _, t := range p.Tasks {
			if open[t.Task.Ref.Job] {
				ts = append(ts, t)
			}
		}
		if len(ts) > 0 {
			p.Tasks = ts
			kept = append(kept, p)
		}
	}
	r.mu.Lock()
	r.open = kept
	r.mu.Unlock()
}

// settleStopped ends or requeues a job whose gang was not whole; jobs holds those that are not settled yet.
func (r *ownership) settleStopped(f gang.ReportedAttempt, jobs map[string]fleet.Job) {
	j, kept := jobs[f.Attempt.Job.ID]
	if !kept {
		return
	}
	if !j.IsOnce() {
		j.Progress = f.Attempt.Job.Progress
		jobs[j.ID] = j
		return
	}
	j.Attempt = f.Attempt.Job.Attempt
	if f.Attempt.State == gang.NotStarted {
		r.release(j)
		return
	}
	delete(jobs, j.ID)
	r.end(j, Outcome{Kind: fleet.Unknown, Reason: "a part of the gang ran and was stopped after a change of owner"})
}

func (r *ownership) adoptGang(g gang.Attempt) {
	a := &attempt{job: g.Job, placement: g.Placement, running: true, gang: g}
	r.attempts[g.Job.ID] = a
	r.planner.Adopt(g.Job, g.Placement, r.now())
	r.isChanged = true
	r.note(events.JobStarted, g.Job, "adopted from the former owner")
	r.tasks.Go(func() { r.watch(a) })
}

// setAddr remembers where a worker is reached.
func (s *Sched) setAddr(worker string, a netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addrs[worker] = a
}
