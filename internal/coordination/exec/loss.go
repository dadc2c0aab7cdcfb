package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

// lossEvidence tells why a task is counted as lost.
type lossEvidence string

const (
	// leaseExpired: its worker does not answer, and all its leases have expired.
	leaseExpired lossEvidence = "LeaseExpired"
	// notListed: its worker listed it before and does not any more.
	notListed lossEvidence = "NotListed"
	// neverListed: a former owner started it, and its worker does not list it.
	neverListed lossEvidence = "NeverListed"
	// newLifetime: its worker has a new lifetime, which does not list it.
	newLifetime lossEvidence = "NewLifetime"
	// replacedWorker: another worker is at the address of its worker.
	replacedWorker lossEvidence = "ReplacedWorker"
	// noProgress: it was stopped because it made no progress.
	noProgress lossEvidence = "NoProgress"
)

// recordLoss notes and counts the loss of a task.
func (e *Engine) recordLoss(m *member, x lossEvidence) {
	m.evidence = x
	e.scope.Tagged(map[string]string{"Evidence": string(x)}).Counter("tasks_lost").Inc(1)
}

// loseTask counts a task as lost unless it has ended.
func (e *Engine) loseTask(t task, x lossEvidence) {
	if t.member.presence == taskEnded {
		return
	}
	e.recordLoss(t.member, x)
	e.handleTaskEnd(t.unit, t.member, jobs.Lost, "", false)
}

// evidence returns why the first lost task of the run was counted as lost; empty if none was.
func (u *unit) evidence() lossEvidence {
	for _, m := range u.members {
		if m.evidence != "" {
			return m.evidence
		}
	}
	return ""
}

// logExpiredLease logs on what evidence a task is counted as lost whose worker does not answer.
func (e *Engine) logExpiredLease(w *worker, t task, now time.Time) {
	b := e.taskLeaseBound(w, t.member)
	e.log.Info("lease of task on unresponsive worker expired", "Worker", w.name, "Instance", w.instance, "Listed", w.runner.Instance,
		"Unit", t.unit.name, "Run", t.unit.run, "Bound", string(b.source), "Expired", ageOf(b.at, now), "LastReport", ageOf(w.lastReport, now),
		"Lifetime", ageOf(w.instanceSince, now), "LastGrant", ageOf(w.lastGrant, now), "IsUnanswered", t.member.isUndecided,
		"IsAdopted", t.member.isAdopted)
}

// ageOf returns how long before now a time is, for the log; the zero time is never.
func ageOf(at, now time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String()
}
