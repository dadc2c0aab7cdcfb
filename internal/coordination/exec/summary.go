package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/plan"
)

// summaryInterval is the time between two log lines that summarize the queue and the workers.
const summaryInterval = 2 * time.Second

// forecastTime is how far ahead the summary forecasts the demand of more urgent work.
const forecastTime = 5 * time.Second

func percent(part, whole int) int {
	return int(100 * float64(part) / float64(max(whole, 1)))
}

// logSummary logs a summary of the queue and the workers, and the reason why the oldest queued unit has not started.
func (e *Engine) logSummary(now time.Time) {
	if now.Sub(e.lastSummary) < summaryInterval {
		return
	}
	e.lastSummary = now
	e.logIdleJobs(now)
	phases := map[phase]int{}
	unconfirmed := 0
	var oldest *unit
	for _, u := range e.units {
		phases[u.phase]++
		if u.isUnconfirmed() {
			unconfirmed++
		}
		if u.phase == phaseQueued && (oldest == nil || u.since.Before(oldest.since)) {
			oldest = u
		}
	}
	workers := map[string]int{}
	for _, v := range e.planner.FindWorkers() {
		workers[v.State]++
	}
	used, total := e.planner.Load()
	args := []any{
		"Term", e.term, "Queued", phases[phaseQueued], "Deferred", len(e.deferred),
		"Running", phases[phaseRunning], "Starting", phases[phaseStoring] + phases[phaseStarting],
		"Stopping", phases[phaseStopping], "Ending", phases[phaseEnding], "Unconfirmed", unconfirmed,
		"AcceleratorsUsed", used.Accelerators, "Accelerators", total.Accelerators,
		"ProcessorsUsed", percent(used.Processors, total.Processors), "MemoryUsed", percent(int(used.Memory), int(total.Memory)),
		"Held", e.planner.CountReservedWorkers(), "PassTook", e.lastPassTime.Round(time.Millisecond).String(),
		"Ready", workers[plan.WorkerReady], "Leaving", workers[plan.WorkerLeaving],
		"Evacuated", workers[plan.WorkerEvacuated], "Quarantined", workers[plan.WorkerQuarantined], "Probation", workers[plan.WorkerProbation],
	}
	args = append(args, e.describeCompetition()...)
	e.runCounts = runCounts{}
	if oldest != nil {
		s, err := e.planner.Status(oldest.name)
		reason := s.Reason
		if err != nil {
			reason = err.Error()
		}
		args = append(args, "Oldest", oldest.name, "Waiting", now.Sub(oldest.since).Round(time.Millisecond).String(), "Reason", reason)
	}
	e.log.Info("queue status", args...)
	e.scope.Gauge("units_queued").Update(float64(phases[phaseQueued]))
	e.scope.Gauge("units_running").Update(float64(phases[phaseRunning]))
	e.scope.Gauge("units_unconfirmed").Update(float64(unconfirmed))
	e.scope.Gauge("accelerators_used").Update(float64(used.Accelerators))
	e.reportEvacuations()
}

// describeCompetition returns the attributes of the summary that tell how jobs compete for room, if the planner decides by it.
func (e *Engine) describeCompetition() []any {
	c, ok := e.planner.Competition(forecastTime)
	if !ok {
		return nil
	}
	e.scope.Gauge("units_held_back").Update(float64(c.HeldBack))
	e.scope.Gauge("accelerators_usable").Update(float64(c.Usable))
	e.scope.Gauge("accelerators_rise").Update(float64(c.LikelyRise))
	return []any{
		"Free", c.Free, "Usable", c.Usable, "Awaited", c.Awaited, "LikelyRise", c.LikelyRise, "HeldBack", c.HeldBack,
		"Preempted", e.runCounts.preempted, "Done", e.runCounts.done,
	}
}

// runCounts counts the runs that were preempted or done since the last summary.
type runCounts struct {
	// preempted runs were stopped for other units, done ones ended with success.
	preempted, done int
}

// FindWorkers lists the workers known to the planner.
func (e *Engine) FindWorkers() []plan.WorkerView {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.planner.FindWorkers()
}
