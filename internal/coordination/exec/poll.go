package exec

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/pkg/errors"
)

// pollWorker renews the lease of a worker and processes its reports while anything runs on it; it returns once the
// worker is no longer listed and its last task has ended.
func (e *Engine) pollWorker(ctx context.Context, w *worker) {
	for ctx.Err() == nil {
		e.mu.Lock()
		isIdle := w.isAnswering() && !w.isOutdated && !w.isReborn && len(w.tasks) == 0 && len(w.orphans) == 0 &&
			w.lastAckedEnd == w.lastHandledEnd
		if !w.isListed && len(w.tasks) == 0 {
			w.cancel()
			w.cancel = nil
			e.updatePlannerWorker(w)
			e.forgetSpeed(w.name)
			e.forgottenToken = max(e.forgottenToken, w.fence.token)
			delete(e.workers, w.name)
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		if isIdle {
			select {
			case <-w.wake:
			case <-e.clock.After(idlePollInterval):
			case <-ctx.Done():
				return
			}
			continue
		}
		e.poll(ctx, w)
	}
}

// isAnswering reports whether the worker has reported to this owner and has answered the last poll, as far as is known.
func (w *worker) isAnswering() bool {
	return w.hasReported && !w.isSuspect && !w.isFailing
}

// mayHaveEnded reports whether the worker has not reported for so long, or has not answered a poll since, that it gets no start.
func (w *worker) mayHaveEnded(now time.Time) bool {
	return w.isFailing || now.Sub(w.lastReport) > maxReportAge
}

// hasBarredTask reports whether the worker has confirmed the stop of a task that it has not listed; its next report shows that
// the task is not there.
func (w *worker) hasBarredTask() bool {
	for _, t := range w.tasks {
		if t.member.presence == taskUnknown && !t.member.stopConfirmedAt.IsZero() {
			return true
		}
	}
	return false
}

// fencePollInterval is the pause between polls of a worker whose new lifetime may still execute orders to a former one.
const fencePollInterval = 50 * time.Millisecond

// idlePollInterval is how often a worker without tasks is checked for new ones.
const idlePollInterval = 5 * time.Second

// poll sends one lease renewal to a worker and processes the report in the reply.
func (e *Engine) poll(ctx context.Context, w *worker) {
	e.mu.Lock()
	h, o := e.newRenewal(w)
	addr := w.runner.Worker.Addr
	e.mu.Unlock()
	r, err := e.deps.Runners.Renew(ctx, addr, h)
	e.scope.Counter("worker_looks").Inc(1)
	if err != nil {
		e.handlePollError(ctx, w, o, err)
		return
	}
	stored := make(chan struct{})
	e.mu.Lock()
	e.checkOrder(w, o, r.Instance, r.Clock)
	if !w.isUsable(r.Instance, h.Token) {
		e.expectLifetime(w)
		e.mu.Unlock()
		_ = e.clock.Sleep(ctx, fencePollInterval)
		return
	}
	w.lastAckedEnd = max(w.lastAckedEnd, h.AckedEnd)
	e.handleReport(w, o.sentAt, r, func() { close(stored) })
	e.mu.Unlock()
	e.awaitStored(ctx, w, stored)
}

// newRenewal returns the next renewal for a worker. It extends the lease only while mayHold allows it, the worker's clock is known, the last
// poll of the worker did not fail and no new lifetime is known.
func (e *Engine) newRenewal(w *worker) (port.LeaseRenewal, order) {
	now := e.clock.Now()
	e.raiseToken(w)
	h := port.LeaseRenewal{Token: w.fence.token, Wait: pollWait, Worker: w.name}
	// A restarted worker numbers its ends from the start again, and an acknowledgement to the former instance could make it drop ends that
	// this owner has never read. Its fence bars those that come after its first report that is used; to have few come before, ends are
	// acknowledged only to a worker that reported within maxAckAge, in a renewal that is sent only once.
	isCurrent := !w.isFailing && !w.isOutdated && !w.isReborn
	if isCurrent && now.Sub(w.lastReport) <= maxAckAge && w.ackableEnd() > w.lastAckedEnd {
		h.AckedEnd, h.Once, h.Within = w.ackableEnd(), true, responseTimeout
		w.fence.binding = w.fence.token
	}
	mayWait := isCurrent && w.isAnswering() && !w.mayHaveEnded(now.Add(pollWait)) && len(w.orphans) == 0 && !w.hasBarredTask() &&
		!w.mayHaveRestarted(now)
	if !mayWait {
		h.Wait = 0
	}
	if isCurrent && !w.lastClockTime.IsZero() && e.mayHold() {
		h.Until = e.grantLease(w, now)
	}
	w.isOutdated, w.lastPoll = false, now
	return h, e.newOrder(renewalOrder, w, h.Until, now)
}

// awaitStored waits until the ends of a report are stored, for storeTimeout at most.
func (e *Engine) awaitStored(ctx context.Context, w *worker, stored <-chan struct{}) {
	select {
	case <-stored:
	case <-e.clock.After(storeTimeout):
	case <-ctx.Done():
	}
	e.mu.Lock()
	isOpen := len(w.unstoredEnds) > 0 || len(w.orphans) > 0
	e.mu.Unlock()
	if isOpen {
		// The worker answers without waiting while it has unacknowledged ends.
		_ = e.clock.Sleep(ctx, unackedPollInterval)
	}
}

// ackableEnd returns the number of the newest end that can be acknowledged to the worker; no end up to this one is
// waiting to be stored.
func (w *worker) ackableEnd() int64 {
	n := w.lastStoredEnd
	for x := range w.unstoredEnds {
		n = min(n, x-1)
	}
	return n
}

// mayHold reports whether this owner may still start work and extend leases.
func (e *Engine) mayHold() bool {
	return e.renewalAge() < maxRenewalAge
}

// renewalAge returns the time since the newest confirmed renewal of the term was sent, and maxRenewalAge if there was none.
func (e *Engine) renewalAge() time.Duration {
	if e.lastRenewal == nil {
		return 0
	}
	if at := e.lastRenewal(); !at.IsZero() {
		return e.clock.Age(at)
	}
	return maxRenewalAge
}

func (e *Engine) handlePollError(ctx context.Context, w *worker, o order, err error) {
	if ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	w.isFailing = true
	if o.until > 0 && isUndecidedStart(err) {
		w.unansweredRenewals++
	}
	if errors.Is(err, port.ErrUnsent) {
		// No connection can be opened. A poll that is answered late alone says nothing of the starts.
		w.endStarts()
	}
	if errors.Is(err, port.ErrWrongWorker) {
		e.log.Info("another worker is at the address", "Worker", w.name)
		e.handleReplacement(w)
	} else if errors.Is(err, port.ErrFenced) {
		e.log.Warn("poll refused, worker has seen a newer owner", "Worker", w.name, "Term", e.term)
		e.cancel()
	}
	e.mu.Unlock()
	_ = e.clock.Sleep(ctx, pollRetryInterval)
}
