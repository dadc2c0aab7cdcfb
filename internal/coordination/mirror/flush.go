package mirror

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

const (
	flushInterval = time.Second
	// maxBatchEntries is the maximum number of accepted and ended jobs in one record of the log.
	maxBatchEntries = 64
	// requeueInterval is the time after which a queued record that has not been read back from the log is queued again.
	requeueInterval = 30 * time.Second
	// rewriteAge is the age of its record at which a job that has not ended is written again; the log has to keep records for
	// at least twice as long.
	rewriteAge = 6 * time.Hour
)

// Run deletes expired outcomes and, on the owner, writes accepted and ended jobs to the log in batches, until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	for r.clock.Sleep(ctx, flushInterval) == nil {
		r.expire()
		r.flush()
	}
	return nil
}

// flush queues one record for the log on the owner; a job that ends within flushInterval is never written.
func (r *Replica) flush() {
	t, owns := r.owner()
	if !owns {
		return
	}
	b := r.nextBatch()
	if len(b.GetAccepted())+len(b.GetEnded()) == 0 {
		return
	}
	// A batch that the full queue rejects is due again after requeueInterval.
	_ = r.queueBatch(t, b)
}

func (r *Replica) queueBatch(t fleet.Term, b *wire.JobBatch) error {
	rec := &wire.Record{
		Id:   fmt.Sprintf("jobs/%s/%s/%d/%d", r.domain, t, r.clock.Now().UnixMilli(), r.batches.Add(1)),
		Body: &wire.Record_Jobs{Jobs: b},
	}
	if err := r.queue(rec); err != nil {
		r.scope.Counter("keep_batches_refused").Inc(1)
		return fmt.Errorf("queue %d jobs for the log: %w", len(b.GetAccepted())+len(b.GetEnded()), err)
	}
	r.scope.Counter("keep_batches").Inc(1)
	return nil
}

// nextBatch collects accepted and ended jobs that the log lacks.
func (r *Replica) nextBatch() *wire.JobBatch {
	now := r.clock.Now()
	b := &wire.JobBatch{Domain: r.domain}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.entries {
		if len(b.Accepted)+len(b.Ended) >= maxBatchEntries {
			return b
		}
		if !e.needsLog(now) {
			continue
		}
		e.queuedAt = now
		if e.outcome == nil {
			b.Accepted = append(b.Accepted, e.job)
			continue
		}
		b.Ended = append(b.Ended, id)
	}
	return b
}

// needsLog reports whether the log lacks the entry's state, or holds a record so old that it has to be written again.
func (e *entry) needsLog(now time.Time) bool {
	if now.Sub(e.at) < flushInterval || now.Sub(e.queuedAt) < requeueInterval {
		return false
	}
	if e.outcome == nil {
		return !e.logged || now.Sub(e.loggedAt) > rewriteAge
	}
	return e.logged && !e.endLogged
}

// expire deletes outcomes whose lifetime is over.
func (r *Replica) expire() {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.entries {
		if e.outcome != nil && now.Sub(e.at) > r.lifetime {
			r.drop(id)
		}
	}
}

// ownerFunc returns the term in which this host owns the failure domain, if it does.
type ownerFunc func() (fleet.Term, bool)

// WithOwner sets the function that returns the term in which this host owns the failure domain, if it does.
func WithOwner(f func() (fleet.Term, bool)) Option {
	return func(r *Replica) { r.owner = f }
}
