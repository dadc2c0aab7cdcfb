package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/queue"
)

// isEvacuated reports whether the failure domain of a worker is evacuated, so that nothing starts there.
func (e *Engine) isEvacuated(w *worker) bool {
	return e.deps.Evacuations().Has(w.runner.Worker.Domain)
}

// withholdStart ends a start that its worker gets no more, as its failure domain is evacuated. An earlier attempt that was not
// answered may still be executed, so that the run is stopped there.
func (e *Engine) withholdStart(u *unit, m *member, isUndecided bool) {
	if m.presence != taskUnknown {
		return
	}
	e.scope.Counter("starts_withheld").Inc(1)
	if isUndecided {
		e.stopRun(u, "the failure domain of a worker is evacuated")
		return
	}
	e.failStart(u, m, jobs.Stopped, "failure domain is evacuated")
}

// syncEvacuations tells the planner which failure domains are evacuated when that has changed.
func (e *Engine) syncEvacuations(now time.Time) {
	former, current := e.evacuations, e.deps.Evacuations()
	if current == nil || current == former {
		return
	}
	e.evacuations = current
	e.planner.SetEvacuated(current.Has)
	for _, x := range current.Find() {
		if !former.Has(x.Domain) {
			e.logEvacuation(x, now)
		}
	}
	for _, x := range former.Find() {
		if !current.Has(x.Domain) {
			e.log.Info("evacuation ends", "FailureDomain", x.Domain, "Term", e.term, "For", roundedSince(x.Since, now),
				"Tasks", e.domainLoad(x.Domain).tasks)
		}
	}
	e.reportEvacuations()
}

// logEvacuation logs that the planner obeys an evacuation, with what it has to do with.
func (e *Engine) logEvacuation(x queue.Evacuation, now time.Time) {
	d := e.domainLoad(x.Domain)
	if d.workers == 0 {
		e.log.Warn("evacuated failure domain has no workers", "FailureDomain", x.Domain, "Term", e.term)
		return
	}
	e.scope.Counter("evacuations").Inc(1)
	e.log.Info("evacuation begins", "FailureDomain", x.Domain, "Term", e.term, "Workers", d.workers, "Tasks", d.tasks,
		"ReadBefore", roundedSince(x.Since, now), "AcceleratorsLeft", e.acceleratorsLeft(), "Guaranteed", e.guaranteedTotal())
	if n := e.guaranteesUnkept(); n > 0 {
		e.log.Warn("guarantees exceed the workers that are left", "Accelerators", n, "Term", e.term)
	}
}

// domainLoad is the number of listed workers of a failure domain, and of the tasks there.
type domainLoad struct{ workers, tasks int }

func (e *Engine) domainLoad(domain string) domainLoad {
	var out domainLoad
	for _, w := range e.workers {
		if w.runner.Worker.Domain != domain {
			continue
		}
		out.workers += count(w.isListed)
		out.tasks += len(w.tasks)
	}
	return out
}

// acceleratorsLeft returns the accelerators of the workers that take work.
func (e *Engine) acceleratorsLeft() int {
	n := 0
	for _, w := range e.workers {
		if w.takesWork() && !e.isEvacuated(w) {
			n += w.runner.Worker.Accelerators
		}
	}
	return n
}

// guaranteedTotal returns the accelerators that are guaranteed to all organisations.
func (e *Engine) guaranteedTotal() int {
	if e.config == nil {
		return 0
	}
	n := 0
	for _, o := range e.config.Organisations {
		n += o.Accelerators
	}
	return n
}

// guaranteesUnkept returns the guaranteed accelerators that the workers which take work do not have.
func (e *Engine) guaranteesUnkept() int {
	return max(e.guaranteedTotal()-e.acceleratorsLeft(), 0)
}

// reportEvacuations updates the gauges of what still runs in evacuated failure domains and of the guaranteed accelerators that the other
// workers lack.
func (e *Engine) reportEvacuations() {
	tasks := 0
	xs := e.evacuations.Find()
	for _, x := range xs {
		tasks += e.domainLoad(x.Domain).tasks
	}
	e.scope.Gauge("evacuated_tasks").Update(float64(tasks))
	unkept := 0
	if len(xs) > 0 {
		unkept = e.guaranteesUnkept()
	}
	e.scope.Gauge("guaranteed_accelerators_unkept").Update(float64(unkept))
}
