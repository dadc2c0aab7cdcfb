package exec

import "time"

// orderKind is the kind of an order that grants a lease.
type orderKind string

const (
	startOrder   orderKind = "Start"
	renewalOrder orderKind = "Renew"
)

// oldClockAge is the age from which on the reading of a worker's clock may well be that of an earlier lifetime.
const oldClockAge = maxReportAge

// order is a start or a renewal, with what was known of its worker when it was sent.
type order struct {
	kind     orderKind
	sentAt   time.Time
	instance string
	// clock is a lower bound of the clock of the worker, derived from a reading of age clockAge; zero if there was none.
	clock    time.Duration
	clockAge time.Duration
	// until is the end of the lease by that clock, or zero if the order grants none.
	until time.Duration
}

// newOrder returns an order that is sent now.
func (e *Engine) newOrder(k orderKind, w *worker, until time.Duration, now time.Time) order {
	o := order{kind: k, sentAt: now, instance: w.instance, until: until}
	if !w.lastClockTime.IsZero() {
		o.clock, o.clockAge = w.clockTime(now), now.Sub(w.lastClockTime)
	}
	if o.until > 0 && o.clockAge > oldClockAge {
		e.scope.Tagged(map[string]string{"Order": string(k)}).Counter("leases_by_old_clock").Inc(1)
	}
	return o
}

// isExecutedLater reports whether a lifetime of the worker later than the one known at sending has answered, as far as its lifetime,
// which is empty if the answer does not name it, and its clock tell.
func (o order) isExecutedLater(instance string, clock time.Duration) bool {
	if o.instance != "" && instance != "" && o.instance != instance {
		return true
	}
	return clock > 0 && clock+clockSlack < o.clock
}

// checkOrder reports whether a later lifetime of its worker has executed an answered order with a lease, and counts and logs it.
func (e *Engine) checkOrder(w *worker, o order, instance string, clock time.Duration) bool {
	if o.until == 0 || !o.isExecutedLater(instance, clock) {
		return false
	}
	e.scope.Tagged(map[string]string{"Order": string(o.kind)}).Counter("orders_by_later_lifetime").Inc(1)
	e.log.Warn("order was executed by a later lifetime", "Worker", w.name, "Order", string(o.kind), "Instance", o.instance,
		"Answered", instance, "Sent", e.clock.Since(o.sentAt).String(), "ClockAge", o.clockAge.String(),
		"Lease", (o.until - clock).String())
	return true
}

// handleLaterAnswer reports whether a start was answered by a later lifetime of its worker, of which nothing else is known until it reports.
func (e *Engine) handleLaterAnswer(w *worker, o order, clock time.Duration) bool {
	if !e.checkOrder(w, o, "", clock) {
		return false
	}
	e.expectLifetime(w)
	return true
}
