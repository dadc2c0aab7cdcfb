package once

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

const (
	// tick is the time between two looks at what has to be written.
	tick = time.Second
	// queueAgain is the time after which a queued record that the log has not shown is queued again.
	queueAgain = 30 * time.Second
	// rewriteShare is the part of the log's retention after which a live record is written again.
	rewriteShare = 2
)

// Run renews the marker, writes what the log lacks and forgets expired keys until ctx ends; it works on the owner only.
func (b *Book) Run(ctx context.Context) error {
	for b.clock.Sleep(ctx, tick) == nil {
		b.Tick(ctx)
	}
	return nil
}

// Tick does the work of one second.
func (b *Book) Tick(ctx context.Context) {
	now := b.clock.Now()
	b.expire(now)
	t, owns := b.owner()
	if !owns {
		return
	}
	b.flush(now)
	if b.isMarkerDue(now) {
		// A failure shows in the counters and is tried again with the next tick.
		_ = b.Renew(ctx, t)
	}
}

// expire forgets the keys that have outlived their lifetime.
func (b *Book) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, e := range b.entries {
		if x := e.expires(b.bounds.Lifetime); !x.IsZero() && now.After(x) {
			b.drop(k)
			b.stats.expired.Inc(1)
		}
	}
	b.stats.keys.Update(float64(len(b.entries)))
	b.stats.bytes.Update(float64(b.bytes))
}

// isDue reports whether the log lacks a record or will lose it soon.
func (b *Book) isDue(logged, now time.Time) bool {
	return logged.IsZero() || now.Sub(logged) > b.bounds.Retention/rewriteShare
}

// backlog counts the claims and outcomes that the log lacks; the caller holds the lock.
func (b *Book) backlog() int {
	young := b.clock.Now().Add(-b.bounds.Log)
	n := 0
	for _, e := range b.entries {
		if e.claimLogged.IsZero() && e.claim.GetClaimedUnixMillis() < young.UnixMilli() {
			n++
		}
		if e.outcome != nil && e.outcomeLogged.IsZero() && e.outcome.GetOutcome().GetFinishedUnixMillis() < young.UnixMilli() {
			n++
		}
	}
	return n
}

// due is an entry that has to be written to the log, with the parts of it that the log needs.
type due struct {
	entry   *entry
	claim   bool
	outcome bool
}

// flush queues records for the log, the oldest claims first and no more than the rate allows.
func (b *Book) flush(now time.Time) {
	if b.queue == nil {
		return
	}
	n := 0
	for _, d := range b.findDue(now) {
		if n >= b.bounds.Rate {
			return
		}
		for _, r := range b.recordsOf(d, now) {
			if b.queue(r) != nil {
				return
			}
			n++
			b.stats.rewritten.Inc(1)
		}
		b.mu.Lock()
		d.entry.queued = now
		b.mu.Unlock()
	}
}

func (b *Book) findDue(now time.Time) []due {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ds []due
	for _, e := range b.entries {
		d := due{
			entry:   e,
			claim:   b.isDue(e.claimLogged, now),
			outcome: e.outcome != nil && b.isDue(e.outcomeLogged, now),
		}
		if (d.claim || d.outcome) && now.Sub(e.queued) >= queueAgain {
			ds = append(ds, d)
		}
	}
	sort.Slice(ds, func(i, j int) bool {
		x, y := ds[i].entry.claim, ds[j].entry.claim
		if x.GetClaimedUnixMillis() != y.GetClaimedUnixMillis() {
			return x.GetClaimedUnixMillis() < y.GetClaimedUnixMillis()
		}
		return x.GetKey() < y.GetKey()
	})
	return ds
}

// recordsOf returns new records for an entry; their ids carry the time, since the log folds an id once.
func (b *Book) recordsOf(d due, now time.Time) []*wire.Record {
	var out []*wire.Record
	c := d.entry.claim
	at := strconv.FormatInt(now.UnixMilli(), 10)
	if d.claim {
		r := b.record("claim", c.GetOrganisation(), c.GetKey(), claimName(c), at)
		r.Body = &wire.Record_Claim{Claim: c}
		out = append(out, r)
	}
	if d.outcome {
		r := b.record("outcome", c.GetOrganisation(), c.GetKey(), claimName(c), at)
		r.Body = &wire.Record_Outcome{Outcome: d.entry.outcome}
		out = append(out, r)
	}
	return out
}
