package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/feed"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

// beginEvidence tells what showed that a unit has begun.
type beginEvidence string

const (
	// startAnswered: a worker has answered the start of a task with success.
	startAnswered beginEvidence = "StartAnswered"
	// taskListed: a worker lists a task as running.
	taskListed beginEvidence = "TaskListed"
	// endListed: a worker lists the end of a task.
	endListed beginEvidence = "EndListed"
)

// beginDelay is how long the record that a job has begun waits for another append that it can go with.
const beginDelay = 250 * time.Millisecond

// markBegun notes that a worker has begun a task of a unit. Unless another unit of the job tells it already, a record of that follows, so that
// the job counts as begun at all hosts and for the next owner.
func (e *Engine) markBegun(u *unit, x beginEvidence) {
	if u.hasBegun {
		return
	}
	u.hasBegun = true
	e.scope.Tagged(map[string]string{"Evidence": string(x)}).Counter("units_begun").Inc(1)
	if x != startAnswered {
		e.log.Info("unit has begun without an answer to its start", "Job", u.job, "Unit", u.name, "Run", u.run, "Phase", u.phase.String(),
			"Evidence", string(x))
	}
	if u.unbegun == nil {
		return
	}
	if len(e.begun) == 0 {
		e.begunSince = e.clock.Now()
	}
	e.begun = append(e.begun, u)
}

// markRunBegun notes that a worker has begun a task of an earlier run, or of one that is counted as lost.
func (e *Engine) markRunBegun(r port.RunRef, x beginEvidence) {
	for _, index := range []int{r.Task, jobs.WholeGang} {
		k := jobs.UnitKey{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: index}
		if u := e.units[k.String()]; u != nil && r.Run <= u.run {
			e.markBegun(u, x)
		}
	}
}

// storeBegun stores that jobs have begun once that has waited for beginDelay.
func (e *Engine) storeBegun(now time.Time) {
	if len(e.begun) > 0 && now.Sub(e.begunSince) >= beginDelay {
		e.writer.Submit(e.takeBegun()...)
	}
}

// takeBegun returns the records that jobs have begun: the newest one of a unit of each, as begun.
func (e *Engine) takeBegun() []*feed.EntryGroup {
	var out []*feed.EntryGroup
	told := map[string]bool{}
	for _, u := range e.begun {
		x := u.unbegun
		u.unbegun = nil
		if x == nil || e.units[u.name] != u || u.isOver || told[u.job] || e.hasJobBegun(u.job) {
			continue
		}
		begun := *x
		begun.IsUnbegun = false
		r, err := jobs.UnitRecord(&begun)
		if err != nil {
			e.log.Error("cannot encode the begin of a unit", "Unit", u.name, "Cause", err.Error())
			continue
		}
		told[u.job] = true
		out = append(out, e.newGroup([]jobs.Record{r}, nil))
	}
	e.begun = nil
	return out
}

// hasJobBegun reports whether the records of a job tell that it has begun, or has ended.
func (e *Engine) hasJobBegun(id string) bool {
	hasBegun := true
	e.deps.Table.View(id, func(j *jobs.Job) {
		hasBegun = j == nil || j.State != jobs.Open || j.HasStarted()
	})
	return hasBegun
}
