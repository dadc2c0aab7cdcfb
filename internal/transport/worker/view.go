package worker

import (
	"maps"
	"net/netip"
	"sort"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

// maxViews bounds the workers whose reports are kept.
const maxViews = 4096

// view is the last report of a worker, against which it reports only what changed; it is never changed in place.
type view struct {
	change uint64
	term   fleet.Term
	worker fleet.Worker
	since  time.Time
	tasks  map[fleet.TaskRef]fleet.TaskReport
}

func (v view) merge(p Report) view {
	n := view{change: p.Change, term: p.Term, worker: v.worker, since: sinceOf(p), tasks: map[fleet.TaskRef]fleet.TaskReport{}}
	if p.Worker != nil {
		n.worker = p.Worker.Fleet()
	}
	if p.Partial {
		n.tasks = maps.Clone(v.tasks)
	}
	for _, t := range p.Tasks {
		n.tasks[t.Task.Ref] = t.Fleet()
	}
	for _, r := range p.Gone {
		delete(n.tasks, r)
	}
	return n
}

func sinceOf(p Report) time.Time {
	if p.SinceUnixMillis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(p.SinceUnixMillis)
}

func (v view) report() fleet.Report {
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

func (a *adapter) view(w netip.AddrPort) view {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.views[w]
}

func (a *adapter) keep(w netip.AddrPort, v view) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old, ok := a.views[w]; ok && old.change > v.change && v.term == old.term {
		return
	}
	if len(a.views) >= maxViews {
		// Without its view a worker reports everything once more, so that losing them costs little.
		clear(a.views)
	}
	a.views[w] = v
}
