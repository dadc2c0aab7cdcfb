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
	// maxPurgeBatch limits the ends deleted in one purge, and maxCancelPurge the cancellations.
	maxPurgeBatch  = 200
	maxCancelPurge = 2000
)

// strayCancel is the cancellation of a job that is not known, and when this owner first found it.
type strayCancel struct {
	offset int64
	since  time.Time
}

// purge deletes records that are kept for a time only, once that is over.
func (e *Engine) purge(now time.Time) {
	if now.Sub(e.lastPurge) < purgeInterval {
		return
	}
	e.lastPurge = now
	e.purgeEndedJobs(now)
	e.purgeStrayCancels(now)
}

// purgeStrayCancels deletes the cancellations of jobs that nobody has stored for as long as the end of a job is kept.
func (e *Engine) purgeStrayCancels(now time.Time) {
	found := e.deps.Table.FindStrayCancels()
	for id, x := range e.strayCancels {
		if offset, ok := found[id]; !ok || offset != x.offset {
			delete(e.strayCancels, id)
		}
	}
	var records []jobs.Record
	for id, offset := range found {
		x, ok := e.strayCancels[id]
		if !ok {
			e.strayCancels[id] = strayCancel{offset: offset, since: now}
			continue
		}
		if now.Sub(x.since) > e.bounds.KeepEnded+retentionMargin && len(records) < maxCancelPurge {
			records = append(records, jobs.CancelTombstone(id))
		}
	}
	if len(records) == 0 {
		return
	}
	e.log.Info("cancellations of unknown jobs dropped", "Jobs", len(records), "Term", e.term)
	e.store(records, nil)
}

// purgeEndedJobs deletes the ends of jobs, and cancel requests that arrived after them, once their retention is over.
func (e *Engine) purgeEndedJobs(now time.Time) {
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
