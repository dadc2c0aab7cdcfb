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
	retryGap     = 200 * time.Millisecond
	// lostAfter is how many renewals in a row have to fail before a worker counts as lost.
	lostAfter = 3
)

// renewDue starts the renewals that are due, as long as the owner is known to live.
func (l *Leases) renewDue(ctx context.Context) {
	t, ok := l.term()
	if t.IsZero() || (!ok && !l.renewsAlways) {
		return
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.duration()
	for _, e := range l.share {
		if e.isBusy || e.due.After(now) {
			continue
		}
		select {
		case l.room <- struct{}{}:
		default:
			return
		}
		e.isBusy = true
		l.tasks.Go(func() {
			l.renew(ctx, e, fleet.Lease{Term: t, Duration: d})
			<-l.room
		})
	}
}

// renew renews one worker and decides when it is due again.
func (l *Leases) renew(ctx context.Context, e *entry, lease fleet.Lease) {
	c, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	l.mu.Lock()
	w := e.worker
	l.mu.Unlock()
	l.scope.Counter("renewals").Inc(1)
	asked := l.clock.Now()
	r, err := l.workers.Renew(c, w.Addr, lease)
	r.Asked = asked
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
	sum := sumOf(r)
	l.mu.Lock()
	wasLost := e.isLost
	isChange := e.sum != sum || wasLost
	e.sum = sum
	e.failures = 0
	e.isLost = false
	e.isGuest = false
	l.meanSize += (float64(l.size(r)) - l.meanSize) * sizeWeight
	e.due = l.clock.Now().Add(l.interval())
	l.mu.Unlock()
	if wasLost {
		l.scope.Counter("workers_back").Inc(1)
		l.addEvent(events.WorkerUp, worker, "answers again")
	}
	if isChange {
		l.onChanged(worker)
	}
	l.onReport(r)
	l.release(e)
}

// sumOf identifies the tasks of a report and their states, whatever their order and progress; it is never zero.
func sumOf(r fleet.Report) uint64 {
	sum := uint64(1)
	for _, t := range r.Tasks {
		sum += xxhash.Sum64String(fmt.Sprintf("%s/%d/%d %s %s", t.Task.Ref.Job, t.Task.Ref.Attempt, t.Task.Ref.Task, t.State, t.Error))
	}
	return max(sum, 1)
}

// fence passes on that a worker has seen a higher term; the worker itself is well.
func (l *Leases) fence(e *entry, t fleet.Term, r fleet.Report) {
	l.scope.Counter("fenced").Inc(1)
	l.mu.Lock()
	e.failures = 0
	e.due = l.clock.Now().Add(minInterval)
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
	isNews := e.failures >= lostAfter && !e.isLost
	gap := retryGap
	if isNews || e.isLost {
		e.isLost = true
		gap = min(l.interval(), firstWithin)
	}
	e.due = l.clock.Now().Add(gap)
	isLost := e.isLost
	l.mu.Unlock()
	if isLost && !l.tellsOnce || isNews {
		// Each time, since the owner may reach a worker that this host cannot, and then renews it in its place.
		l.onChanged(worker)
	}
	if isNews {
		l.scope.Counter("workers_lost").Inc(1)
		l.addEvent(events.WorkerDown, worker, err.Error())
		l.onLost(worker, fmt.Errorf("renew lease of %s: %w", worker, err))
	}
	l.release(e)
}

func (l *Leases) release(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.isBusy = false
	if e.isAgain {
		e.isAgain = false
		e.due = l.clock.Now()
	}
}

func (l *Leases) addEvent(k events.Kind, worker, text string) {
	if l.ring != nil {
		l.ring.Add(events.Event{Kind: k, Worker: worker, Text: text})
	}
}
