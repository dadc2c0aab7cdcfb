package worker

import (
	"maps"
	"net/netip"
	"sort"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// maxCachedReports is the maximum number of workers whose reports are cached.
const maxCachedReports = 4096

// cachedReport is the last known report of a worker, to which a partial report is applied. It is immutable, so that it may
// be used without holding the lock.
type cachedReport struct {
	change uint64
	term   fleet.Term
	worker fleet.Worker
	since  time.Time
	tasks  map[fleet.TaskRef]fleet.TaskReport
}

func (v cachedReport) merge(p Report) cachedReport {
	n := cachedReport{change: p.Change, term: p.Term, worker: v.worker, since: reportSince(p), tasks: map[fleet.TaskRef]fleet.TaskReport{}}
	if p.Worker != nil {
		n.worker = p.Worker.ToFleet()
	}
	if p.Partial {
		n.tasks = maps.Clone(v.tasks)
	}
	for _, t := range p.Tasks {
		n.tasks[t.Task.Ref] = t.ToFleet()
	}
	for _, r := range p.Gone {
		delete(n.tasks, r)
	}
	return n
}

func reportSince(p Report) time.Time {
	if p.SinceUnixMillis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(p.SinceUnixMillis)
}

func (v cachedReport) report() fleet.Report {
	r := fleet.Report{Worker: v.worker, Term: v.term, Since: v.since}
	for _, t := range v.tasks {
		r.Tasks = append(r.Tasks, t)
	}
	sort.Slice(r.Tasks, func(i, j int) bool { return less(r.Tasks[i].Task.Ref, r.Tasks[j].Task.Ref) })
	return r
}

func less(a, b fleet.TaskRef) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	if a.Attempt != b.Attempt {
		return a.Attempt < b.Attempt
	}
	return a.Task < b.Task
}

func (a *adapter) cached(w netip.AddrPort) cachedReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reports[w]
}

func (a *adapter) cache(w netip.AddrPort, v cachedReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old, ok := a.reports[w]; ok && old.change > v.change && v.term == old.term {
		return
	}
	if len(a.reports) >= maxCachedReports {
		// Dropping the cache is cheap: each worker sends one full report, since the request has no change counter.
		clear(a.reports)
	}
	a.reports[w] = v
}
