package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

const (
	// sweepInterval is the time between two looks for ends that need not be kept any more.
	sweepInterval = 5 * time.Second
	// sweepMargin is how much longer than promised an end is kept.
	sweepMargin = 10 * time.Second
	// maxSwept bounds the ends that are dropped at a time.
	maxSwept = 200
)

// sweep drops the ends of jobs, and cancels that came after them, once they have been told for long enough.
func (e *Engine) sweep(now time.Time) {
	if now.Sub(e.swept) < sweepInterval {
		return
	}
	e.swept = now
	ids := e.out.Table.FindEndedBefore(now.Add(-e.bounds.KeepEnded - sweepMargin))
	if len(ids) == 0 {
		return
	}
	ids = ids[:min(len(ids), maxSwept)]
	var rs []jobs.Record
	for _, id := range ids {
		rs = append(rs, jobs.EndTombstone(id), jobs.CancelTombstone(id))
	}
	e.log.Info("ends of jobs dropped", "Jobs", len(ids), "Term", e.term)
	e.store(rs, nil)
}
