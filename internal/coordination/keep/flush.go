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
	// batchJobs bounds the jobs of one record of the log.
	batchJobs = 64
	// writeAgain is the time after which a record that the log has not shown is queued again.
	writeAgain = 30 * time.Second
	// rewriteAfter is the age of its record after which a job that has not ended is written again; the log must keep
	// records for twice as long at least.
	rewriteAfter = 6 * time.Hour
)

// Run writes accepted and ended jobs to the log in batches, and drops outcomes that expired, until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for k.clock.Sleep(ctx, flushInterval) == nil {
		k.expire()
		k.flush()
	}
	return nil
}

// flush queues one record for the log; the owner alone writes, and what ends within a second is never written.
func (k *Keeper) flush() {
	t, owns := k.owner()
	if !owns {
		return
	}
	b := k.nextBatch()
	if len(b.GetAccepted())+len(b.GetEnded()) == 0 {
		return
	}
	// A batch that finds no room is due again after writeAgain.
	_ = k.queueBatch(t, b)
}

func (k *Keeper) queueBatch(t fleet.Term, b *wire.JobBatch) error {
	r := &wire.Record{
		Id:   fmt.Sprintf("jobs/%s/%s/%d/%d", k.domain, t, k.clock.Now().UnixMilli(), k.batches.Add(1)),
		Body: &wire.Record_Jobs{Jobs: b},
	}
	if err := k.queue(r); err != nil {
		k.scope.Counter("keep_batches_refused").Inc(1)
		return fmt.Errorf("queue %d jobs for the log: %w", len(b.GetAccepted())+len(b.GetEnded()), err)
	}
	k.scope.Counter("keep_batches").Inc(1)
	return nil
}

// nextBatch collects what the log lacks.
func (k *Keeper) nextBatch() *wire.JobBatch {
	now := k.clock.Now()
	b := &wire.JobBatch{Domain: k.domain}
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, e := range k.entries {
		if len(b.Accepted)+len(b.Ended) >= batchJobs {
			return b
		}
		if !e.isDue(now) {
			continue
		}
		e.written = now
		if e.outcome == nil {
			b.Accepted = append(b.Accepted, e.job)
			continue
		}
		b.Ended = append(b.Ended, id)
	}
	return b
}

// isDue reports whether the log lacks the entry's state.
func (e *kept) isDue(now time.Time) bool {
	if now.Sub(e.at) < flushInterval || now.Sub(e.written) < writeAgain {
		return false
	}
	if e.outcome == nil {
		return !e.logged || now.Sub(e.loggedAt) > rewriteAfter
	}
	return e.logged && !e.endLogged
}

// expire drops outcomes whose callers had their time.
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

// WithOwner sets how the keeper learns whether this host is the owner.
func WithOwner(f func() (fleet.Term, bool)) Option {
	return func(k *Keeper) { k.owner = f }
}
