package lease

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	renewTimeout = 800 * time.Millisecond
	retryDelay   = 200 * time.Millisecond
	// failuresUntilLost is the number of consecutive failed renewals after which a worker is considered lost.
	failuresUntilLost = 3
)

// renewDue starts the renewals that are due, provided that the owner is known to be alive.
func (l *Leases) renewDue(ctx context.Context) {
	t, ok := l.term()
	if t.IsZero() || (!ok && !l.renewsWithoutOwner) {
		return
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.duration()
	for _, e := range l.share {
		if e.isRenewing || e.due.After(now) {
			continue
		}
		select {
		case l.room <- struct{}{}:
		default:
			return
		}
		e.isRenewing = true
		l.renewals.Go(func() {
			l.renew(ctx, e, fleet.Lease{Term: t, Duration: d})
			<-l.room
		})
	}
}

// renew renews the lease of one worker and schedules its next renewal.
func (l *Leases) renew(ctx context.Context, e *entry, lease fleet.Lease) {
	c, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	l.mu.Lock()
	w := e.worker
	l.mu.Unlock()
	l.scope.Counter("renewals").Inc(1)
	requested := l.clock.Now()
	r, err := l.workers.Renew(c, w.Addr, lease)
	r.Asked = requested
	if ctx.Err() != nil {
		return
	}
	switch {
	case err == nil:
		l.succeed(e, w.Name, r)
	case errors.Is(err, port.ErrFenced):
		l.fence(e, lease.Term, r)
	default:
		l.fail(e, w.Name, err)
	}
}

func (l *Leases) succeed(e *entry, worker string, r fleet.Report) {
	hash := hashTasks(r)
	l.mu.Lock()
	wasLost := e.isLost
	isChanged := e.tasksHash != hash || wasLost
	e.tasksHash = hash
	e.failures = 0
	e.isLost = false
	e.isForeign = false
	l.meanReportSize += (float64(l.reportSize(r)) - l.meanReportSize) * reportSizeSmoothing
	e.due = l.clock.Now().Add(l.interval())
	l.mu.Unlock()
	if wasLost {
		l.scope.Counter("workers_back").Inc(1)
		l.addEvent(events.WorkerUp, worker, "answers again")
	}
	if isChanged {
		l.onChanged(worker)
	}
	l.onReport(r)
	l.release(e)
}

// hashTasks hashes the tasks of a report and their states, regardless of order and progress. It never returns zero, the
// value of an entry that has had no report.
func hashTasks(r fleet.Report) uint64 {
	hash := uint64(1)
	for _, t := range r.Tasks {
		hash += xxhash.Sum64String(fmt.Sprintf("%s/%d/%d %s %s", t.Task.Ref.Job, t.Task.Ref.Attempt, t.Task.Ref.Task, t.State, t.Error))
	}
	return max(hash, 1)
}

// fence reports the higher term of a worker that rejected the renewal. The rejection does not count as a failure.
func (l *Leases) fence(e *entry, t fleet.Term, r fleet.Report) {
	l.scope.Counter("fenced").Inc(1)
	l.mu.Lock()
	e.failures = 0
	e.due = l.clock.Now().Add(minRenewInterval)
	l.mu.Unlock()
	higher := r.Term
	if !t.Less(higher) {
		higher = fleet.Term{Counter: t.Counter + 1}
	}
	l.onFenced(higher)
	l.release(e)
}

func (l *Leases) fail(e *entry, worker string, err error) {
	l.scope.Counter("renewal_errors").Inc(1)
	l.mu.Lock()
	e.failures++
	isNewlyLost := e.failures >= failuresUntilLost && !e.isLost
	delay := retryDelay
	if isNewlyLost || e.isLost {
		e.isLost = true
		delay = min(l.interval(), maxFirstRenewalDelay)
	}
	e.due = l.clock.Now().Add(delay)
	isLost := e.isLost
	l.mu.Unlock()
	if isLost && !l.reportsLossOnce || isNewlyLost {
		// Report the worker after each failure while it is lost, because the owner may be able to reach it and then renews
		// its lease instead of this host.
		l.onChanged(worker)
	}
	if isNewlyLost {
		l.scope.Counter("workers_lost").Inc(1)
		l.addEvent(events.WorkerDown, worker, err.Error())
		l.onLost(worker, fmt.Errorf("renew lease of %s: %w", worker, err))
	}
	l.release(e)
}

func (l *Leases) release(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.isRenewing = false
	if e.isRenewalQueued {
		e.isRenewalQueued = false
		e.due = l.clock.Now()
	}
}

func (l *Leases) addEvent(k events.Kind, worker, text string) {
	if l.ring != nil {
		l.ring.Add(events.Event{Kind: k, Worker: worker, Text: text})
	}
}
