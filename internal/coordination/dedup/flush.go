package dedup

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

const (
	// tickInterval is the interval at which Run calls Tick.
	tickInterval = time.Second
	// requeueInterval is the time after which a queued record that has not been read back from the log is queued again.
	requeueInterval = 30 * time.Second
	// rewriteDivisor determines when a record is written again: when it is older than the log's retention divided by this
	// value.
	rewriteDivisor = 2
)

// Run deletes expired keys until ctx ends; on the owner it also renews the marker and writes records that the log lacks.
func (l *Ledger) Run(ctx context.Context) error {
	for l.clock.Sleep(ctx, tickInterval) == nil {
		l.Tick(ctx)
	}
	return nil
}

// Tick does one round of the work of Run.
func (l *Ledger) Tick(ctx context.Context) {
	now := l.clock.Now()
	l.expire(now)
	t, owns := l.owner()
	if !owns {
		return
	}
	l.flush(now)
	if l.isMarkerDue(now) {
		// A failure shows in the counters and is retried at the next tick.
		_ = l.Renew(ctx, t)
	}
}

// expire deletes the keys whose lifetime is over.
func (l *Ledger) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, e := range l.entries {
		if x := e.expires(l.bounds.Lifetime); !x.IsZero() && now.After(x) {
			l.drop(k)
			l.stats.expired.Inc(1)
		}
	}
	l.stats.keys.Update(float64(len(l.entries)))
	l.stats.bytes.Update(float64(l.bytes))
}

// needsLog reports whether the log lacks a record, or holds one so old that it has to be written again before it is dropped.
func (l *Ledger) needsLog(logged, now time.Time) bool {
	return logged.IsZero() || now.Sub(logged) > l.bounds.Retention/rewriteDivisor
}

// backlog counts the claims and outcomes that the log lacks and that are older than the timeout of an append; the caller
// holds the lock.
func (l *Ledger) backlog() int {
	cutoff := l.clock.Now().Add(-l.bounds.Log)
	n := 0
	for _, e := range l.entries {
		if e.claimLogged.IsZero() && e.claim.GetClaimedUnixMillis() < cutoff.UnixMilli() {
			n++
		}
		if e.outcome != nil && e.outcomeLogged.IsZero() && e.outcome.GetOutcome().GetFinishedUnixMillis() < cutoff.UnixMilli() {
			n++
		}
	}
	return n
}

// dueEntry is an entry of which the claim, the outcome or both have to be written to the log.
type dueEntry struct {
	entry   *entry
	claim   bool
	outcome bool
}

// flush queues records for the log, those of the oldest claims first, up to the rate per tick.
func (l *Ledger) flush(now time.Time) {
	if l.queue == nil {
		return
	}
	n := 0
	for _, d := range l.findDue(now) {
		if n >= l.bounds.Rate {
			return
		}
		for _, r := range l.recordsOf(d, now) {
			if l.queue(r) != nil {
				return
			}
			n++
			l.stats.rewritten.Inc(1)
		}
		l.mu.Lock()
		d.entry.queued = now
		l.mu.Unlock()
	}
}

func (l *Ledger) findDue(now time.Time) []dueEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ds []dueEntry
	for _, e := range l.entries {
		d := dueEntry{
			entry:   e,
			claim:   l.needsLog(e.claimLogged, now),
			outcome: e.outcome != nil && l.needsLog(e.outcomeLogged, now),
		}
		if (d.claim || d.outcome) && now.Sub(e.queued) >= requeueInterval {
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

// recordsOf returns new records for an entry; their ids include the time, since a record whose id was read before is not folded
// again.
func (l *Ledger) recordsOf(d dueEntry, now time.Time) []*wire.Record {
	var out []*wire.Record
	c := d.entry.claim
	at := strconv.FormatInt(now.UnixMilli(), 10)
	if d.claim {
		r := l.record("claim", c.GetOrganisation(), c.GetKey(), claimName(c), at)
		r.Body = &wire.Record_Claim{Claim: c}
		out = append(out, r)
	}
	if d.outcome {
		r := l.record("outcome", c.GetOrganisation(), c.GetKey(), claimName(c), at)
		r.Body = &wire.Record_Outcome{Outcome: d.entry.outcome}
		out = append(out, r)
	}
	return out
}
