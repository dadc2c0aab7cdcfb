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
	inspectTimeout         = 600 * time.Millisecond
	maxParallelInspections = 128
	// inspectRetryInterval is the pause between inspections of workers that did not answer a new owner.
	inspectRetryInterval = 2 * time.Second
)

// rebuild restores the state of the scheduler from the reports of the workers and the jobs held by peers, and then
// marks the ownership as ready.
func (r *ownership) rebuild() {
	start := r.now()
	r.planner.Configure(r.s.currentConfig())
	ws := r.s.listWorkers()
	reports, unresponsive := r.inspectAll(ws)
	for _, p := range reports {
		r.putWorker(p.Worker)
	}
	jobs := r.keptJobs()
	r.adoptGangs(reports, len(unresponsive) > 0, jobs)
	r.resolveClaims(jobs)
	r.queueAll(jobs)
	if r.ctx.Err() != nil {
		return
	}
	r.s.scope.Timer("sched_rebuild").Record(r.s.clock.Since(start))
	r.addEvent(events.OwnerChanged, fleet.Job{}, "books rebuilt in "+r.s.clock.Since(start).String())
	close(r.ready)
	for _, w := range unresponsive {
		r.pendingInspection[w.Name] = true
	}
	if len(unresponsive) > 0 {
		r.tasks.Go(func() { r.inspectUntilAnswered(unresponsive) })
	}
}

// inspectAll raises all workers to this term, which fences off former owners. It returns the reports, and the workers
// that did not answer.
func (r *ownership) inspectAll(ws []fleet.Worker) ([]fleet.Report, []fleet.Worker) {
	var mu sync.Mutex
	var reports []fleet.Report
	var unresponsive []fleet.Worker
	slots := make(chan struct{}, maxParallelInspections)
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
				unresponsive = append(unresponsive, w)
				return
			}
			reports = append(reports, p)
		})
	}
	g.Wait()
	return reports, unresponsive
}

func (r *ownership) inspect(w fleet.Worker) (fleet.Report, error) {
	ctx, cancel := context.WithTimeout(r.ctx, inspectTimeout)
	defer cancel()
	// The lease is renewed first, since a worker without a lease refuses to prepare tasks.
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

// inspectUntilAnswered inspects workers again until they answer or are no longer listed, and adopts the gangs that they
// report.
func (r *ownership) inspectUntilAnswered(ws []fleet.Worker) {
	for len(ws) > 0 && r.s.clock.Sleep(r.ctx, inspectRetryInterval) == nil {
		ws = r.filterListed(ws)
		reports, unresponsive := r.inspectAll(ws)
		ws = unresponsive
		if len(reports) == 0 {
			continue
		}
		_ = r.runInLoop(r.ctx, func() {
			for _, p := range reports {
				r.putWorker(p.Worker)
			}
		})
		r.adoptLate(reports, len(ws) > 0)
	}
}

// filterListed returns those workers that the platform still lists.
func (r *ownership) filterListed(ws []fleet.Worker) []fleet.Worker {
	known := map[string]bool{}
	for _, w := range r.s.listWorkers() {
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

// adoptLate adopts gangs that were incomplete before because a worker had not answered.
func (r *ownership) adoptLate(reports []fleet.Report, hasUnresponsive bool) {
	r.mu.Lock()
	reports = append(reports, r.openReports...)
	r.mu.Unlock()
	jobs := map[string]fleet.Job{}
	for _, j := range r.keptJobs() {
		jobs[j.ID] = j
	}
	_ = r.runInLoop(r.ctx, func() { r.adoptGangs(r.filterUnknown(reports), hasUnresponsive, jobs) })
}

// filterUnknown returns the reports without the tasks of known attempts.
func (r *ownership) filterUnknown(reports []fleet.Report) []fleet.Report {
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

// adoptGangs takes over the gangs that run completely, and ends or requeues the jobs of the gangs that were stopped.
func (r *ownership) adoptGangs(reports []fleet.Report, hasUnresponsive bool, jobs map[string]fleet.Job) {
	found, err := r.s.gangs.Adopt(r.ctx, r.term, reports, hasUnresponsive, jobs)
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
	r.keepOpenReports(found.Open, reports, jobs)
}

// keepOpenReports saves the reports of incomplete gangs whose missing tasks may be on an unresponsive worker. It
// removes the jobs of these gangs from jobs, so that the jobs are not queued before the worker has answered.
func (r *ownership) keepOpenReports(fs []gang.ReportedAttempt, reports []fleet.Report, jobs map[string]fleet.Job) {
	openJobs := map[string]bool{}
	for _, f := range fs {
		openJobs[f.Attempt.Job.ID] = true
		delete(jobs, f.Attempt.Job.ID)
	}
	var openReports []fleet.Report
	for _, p := range reports {
		var ts []fleet.TaskReport
		for _, t := range p.Tasks {
			if openJobs[t.Task.Ref.Job] {
				ts = append(ts, t)
			}
		}
		if len(ts) > 0 {
			p.Tasks = ts
			openReports = append(openReports, p)
		}
	}
	r.mu.Lock()
	r.openReports = openReports
	r.mu.Unlock()
}

// settleStopped ends or requeues a job whose gang was incomplete; jobs holds the jobs that are not settled yet.
func (r *ownership) settleStopped(f gang.ReportedAttempt, jobs map[string]fleet.Job) {
	j, isKept := jobs[f.Attempt.Job.ID]
	if !isKept {
		return
	}
	if !j.IsOnce() {
		j.Progress = f.Attempt.Job.Progress
		jobs[j.ID] = j
		return
	}
	j.Attempt = f.Attempt.Job.Attempt
	if f.Attempt.State == gang.NotStarted {
		r.releaseKey(j)
		return
	}
	delete(jobs, j.ID)
	r.endJob(j, Outcome{Kind: fleet.Unknown, Reason: "a part of the gang ran and was stopped after a change of owner"})
}

func (r *ownership) adoptGang(g gang.Attempt) {
	a := &attempt{job: g.Job, placement: g.Placement, isRunning: true, gang: g}
	r.attempts[g.Job.ID] = a
	r.planner.Adopt(g.Job, g.Placement, r.now())
	r.isChanged = true
	r.addEvent(events.JobStarted, g.Job, "adopted from the former owner")
	r.tasks.Go(func() { r.watch(a) })
}

// setAddr records the address of a worker.
func (s *Scheduler) setAddr(worker string, a netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addrs[worker] = a
}
