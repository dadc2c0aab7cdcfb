package keep

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
func (k *Keeper) Run(ctx context.Context) error {
	for k.clock.Sleep(ctx, flushInterval) == nil {
		k.expire()
		k.flush()
	}
	return nil
}

// flush queues one record for the log on the owner; a job that ends within flushInterval is never written.
func (k *Keeper) flush() {
	t, owns := k.owner()
	if !owns {
		return
	}
	b := k.nextBatch()
	if len(b.GetAccepted())+len(b.GetEnded()) == 0 {
		return
	}
	// A batch that the full queue rejects is due again after requeueInterval.
	_ = k.queueBatch(t, b)
}

func (k *Keeper) queueBatch(t fleet.Term, b *wire.JobBatch) error {
	rec := &wire.Record{
		Id:   fmt.Sprintf("jobs/%s/%s/%d/%d", k.domain, t, k.clock.Now().UnixMilli(), k.batches.Add(1)),
		Body: &wire.Record_Jobs{Jobs: b},
	}
	if err := k.queue(rec); err != nil {
		k.scope.Counter("keep_batches_refused").Inc(1)
		return fmt.Errorf("queue %d jobs for the log: %w", len(b.GetAccepted())+len(b.GetEnded()), err)
	}
	k.scope.Counter("keep_batches").Inc(1)
	return nil
}

// nextBatch collects accepted and ended jobs that the log lacks.
func (k *Keeper) nextBatch() *wire.JobBatch {
	now := k.clock.Now()
	b := &wire.JobBatch{Domain: k.domain}
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, e := range k.entries {
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
func (k *Keeper) expire() {
	now := k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, e := range k.entries {
		if e.outcome != nil && now.Sub(e.at) > k.lifetime {
			k.drop(id)
		}
	}
}

// ownerFunc returns the term in which this host owns the failure domain, if it does.
type ownerFunc func() (fleet.Term, bool)

// WithOwner sets the function that returns the term in which this host owns the failure domain, if it does.
func WithOwner(f func() (fleet.Term, bool)) Option {
	return func(k *Keeper) { k.owner = f }
}
