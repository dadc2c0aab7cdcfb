package exec

import "time"

// boundSource tells which leases make a bound as late as it is.
type boundSource string

const (
	// ownGrant: a lease that this owner granted.
	ownGrant boundSource = "OwnGrant"
	// formerOwner: a lease that a former owner may have granted.
	formerOwner boundSource = "FormerOwner"
	// strayOrder: a lease that an order for an earlier lifetime of the worker may have got at a later one.
	strayOrder boundSource = "Stray"
	// unansweredStart: the lease of a start that may be executed late, and by a later lifetime.
	unansweredStart boundSource = "UnansweredStart"
)

// bound is a time by which leases of a worker have certainly expired.
type bound struct {
	at     time.Time
	source boundSource
}

// raise moves the bound to a time if that is later.
func (b *bound) raise(at time.Time, s boundSource) {
	if at.After(b.at) {
		b.at, b.source = at, s
	}
}

// lower moves the bound to a time if that is earlier.
func (b *bound) lower(at time.Time) {
	b.at = earlier(b.at, at)
}

// later returns the later one of two bounds.
func (b bound) later(x bound) bound {
	if x.at.After(b.at) {
		return x
	}
	return b
}

const (
	// maxOrderDelay is the longest time from the sending of an order to its execution by a worker that does not answer.
	maxOrderDelay = 4 * time.Second
	// strayPeriod is how long after the start of a lifetime an order to a former one may be executed. The last one is sent within MaxLease after
	// the last report of the former lifetime, as leases count from that.
	strayPeriod = MaxLease + maxOrderDelay
	// maxClockOffset is the largest difference between the times of day of two machines.
	maxClockOffset = 5 * time.Second
)

// ownClockBound returns the bound of the leases of a worker that end by the clock of its present lifetime.
func (w *worker) ownClockBound() bound {
	return w.leaseEnd.later(w.formerLeaseEnd)
}

// leaseBoundOf returns the bound of all leases of a worker.
func (e *Engine) leaseBoundOf(w *worker) bound {
	return w.ownClockBound().later(bound{at: e.strayLeaseEnd(w), source: strayOrder})
}

// mayBeListedAs reports whether the entry of the worker is that of the given lifetime, as far as is known.
func (w *worker) mayBeListedAs(instance string) bool {
	return w.runner.Instance == "" || w.runner.Instance == instance
}

// mayBeReborn reports whether the worker seems to have a new lifetime that may still execute orders to a former one.
func (w *worker) mayBeReborn() bool {
	return w.isReborn || !w.isDescribed()
}

// taskLeaseBound returns the bound of the lease of a task.
func (e *Engine) taskLeaseBound(w *worker, m *member) bound {
	b := e.leaseBoundOf(w)
	if !w.hasReported && m.isSettled && w.mayBeListedAs(m.instance) {
		b = w.ownClockBound()
	}
	if m.isAdopted && !w.hasReported && !w.mayBeListedAs(m.instance) {
		// A start of the former owner may still be under way.
		b.raise(e.takenOverAt.Add(maxOrderDelay+leaseBound(e.bounds.MaxHold)), unansweredStart)
	}
	if w.mayBeReborn() && m.sentAt.Add(maxOrderDelay).After(w.lastReport) {
		// The new lifetime may execute an attempt of the start, also if another one was answered, and later orders, which move its deadline.
		b.raise(w.lastGrant.Add(maxOrderDelay+leaseBound(e.bounds.MaxHold)), unansweredStart)
	}
	return b
}

// strayLeaseEnd returns when the leases have certainly expired that a worker may have got by orders to former lifetimes, or zero if it got
// none. Such a lease ends by another clock, and so lasts as long as the worker allows.
func (e *Engine) strayLeaseEnd(w *worker) time.Time {
	if w.fence.lastStray.IsZero() {
		return time.Time{}
	}
	return w.fence.lastStray.Add(leaseBound(e.bounds.MaxHold))
}
