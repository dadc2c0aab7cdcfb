package exec

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

const (
	// purgeInterval is the time between two searches for expired records of ended jobs.
	purgeInterval = 5 * time.Second
	// retentionMargin is the time for which the end of a job is kept beyond Bounds.KeepEnded.
	retentionMargin = 10 * time.Second
	// maxPurgeBatch limits the ends deleted in one purge.
	maxPurgeBatch = 200
)

// purgeEndedJobs deletes the ends of jobs, and cancel requests that arrived after them, once their retention is over.
func (e *Engine) purgeEndedJobs(now time.Time) {
	if now.Sub(e.lastPurge) < purgeInterval {
		return
	}
	e.lastPurge = now
	ids := e.deps.Table.FindEndedBefore(now.Add(-e.bounds.KeepEnded - retentionMargin))
	if len(ids) == 0 {
		return
	}
	ids = ids[:min(len(ids), maxPurgeBatch)]
	var records []jobs.Record
	for _, id := range ids {
		records = append(records, jobs.PurgeRecords(id)...)
	}
	e.log.Info("records of ended jobs dropped", "Jobs", len(ids), "Term", e.term)
	e.store(records, nil)
}
