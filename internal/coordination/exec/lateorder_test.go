package exec

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

const (
	// upTime is how long a worker has been up before it restarts; by its clock, orders end far in the future of the next lifetime.
	upTime = 30 * time.Second
	// absence is the time between two lifetimes of a worker.
	absence = 600 * time.Millisecond
	// orderDelay is how late a worker carries out an order that was not answered.
	orderDelay = 3 * time.Second
	// lateOrderSlack is how much longer than the longest lease a task may wait for its next run.
	lateOrderSlack = orderDelay + 2*time.Second
)

// orderLog holds the newest orders of an owner to the first worker. Any of them may be carried out late, also by the next lifetime.
type orderLog struct {
	renewal atomic.Pointer[port.LeaseRenewal]
	// ack is the newest renewal that acknowledges ends.
	ack   atomic.Pointer[port.LeaseRenewal]
	start atomic.Pointer[port.RunStart]
	// isSwallowing keeps starts from the worker, which thus leaves them unanswered.
	isSwallowing atomic.Bool
	// startDelay, in nanoseconds, is how long a connection for a start takes to open.
	startDelay atomic.Int64
	// isReplySlow lets the reply to the next start arrive at the moment at which the start is given up.
	isReplySlow atomic.Bool
}

// recordOrders starts the next term, in which workers are listed by their lifetimes, and returns the log of its orders.
func (r *rig) recordOrders() *orderLog {
	l := &orderLog{}
	r.stop()
	r.hearFormerOwner(false)
	r.entry = func(w fleet.Worker) port.Runner { return r.runners.List(w.Addr) }
	first := r.workers[0].Name
	r.change = func(d *Deps) {
		x := d.Runners
		d.Runners.Start = func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
			if s.Worker != first {
				return x.Start(ctx, to, s)
			}
			l.start.Store(&s)
			if l.isSwallowing.Load() {
				time.Sleep(commandTime)
				return 0, standin.ErrNoAnswer
			}
			select {
			case <-ctx.Done():
				return 0, port.ErrUnsent
			case <-time.After(time.Duration(l.startDelay.Load())):
			}
			at, err := x.Start(ctx, to, s)
			if l.isReplySlow.Swap(false) {
				<-ctx.Done()
			}
			return at, err
		}
		d.Runners.Renew = func(ctx context.Context, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
			if h.Worker == first && h.Until > 0 {
				l.renewal.Store(&h)
			}
			if h.Worker == first && h.AckedEnd > 0 {
				l.ack.Store(&h)
			}
			return x.Renew(ctx, to, h)
		}
	}
	r.start(r.engine.term + 1)
	return l
}

// earlierID is a job that ends before the tests of late orders begin, so that its worker has been polled.
const earlierID = "00000000000000ee"

// shortID is a job that lasts for two seconds.
const shortID = "00000000000000dd"

// endsEarly is the plan of runs that last for an hour, but for those of earlierID and shortID.
func endsEarly(x port.RunRef, _ string) standin.RunOutcome {
	work := time.Hour
	switch x.Job {
	case earlierID:
		work = upTime
	case shortID:
		work = 2 * time.Second
	}
	return standin.RunOutcome{Work: work, Result: jobs.Done}
}

// runInLateRig runs f in a rig with one worker that has been up, and at work, for upTime, and with the log of the orders to it.
func runInLateRig(t *testing.T, f func(r *rig, l *orderLog)) {
	t.Helper()
	runInBoundedRig(t, longBounds, 1, endsEarly, func(r *rig) {
		l := r.recordOrders()
		r.advance(time.Second)
		r.submit(earlierID, taskStep(1))
		r.waitForState(earlierID, jobs.Completed, upTime+time.Second)
		f(r, l)
	})
}

// deliverRenewal lets the first worker carry out a renewal now; a worker that has seen a newer owner does nothing.
func (r *rig) deliverRenewal(h *port.LeaseRenewal) {
	r.t.Helper()
	require.NotNil(r.t, h)
	h.Wait = 0
	_, _ = r.runners.View("z").Renew(r.t.Context(), r.workers[0].Addr, *h)
}

// deliverStart lets the first worker carry out a start now; a worker that has seen a newer owner does nothing.
func (r *rig) deliverStart(s *port.RunStart) {
	r.t.Helper()
	require.NotNil(r.t, s)
	_, _ = r.runners.View("z").Start(r.t.Context(), r.workers[0].Addr, *s)
}

// comeBack ends the first worker and starts its next lifetime, which is listed if an engine runs.
func (r *rig) comeBack(isListed bool) {
	w := r.workers[0]
	r.runners.Remove(w.Addr)
	r.advance(absence)
	r.runners.Add(w)
	if isListed {
		r.put(r.runners.List(w.Addr))
	}
}

// rerunLimit is how long a task of a worker that is cut off or has come back may wait for its next run.
func (r *rig) rerunLimit() time.Duration { return leaseBound(r.bounds.MaxHold) + lateOrderSlack }

// requireOneRunAtATime cuts the first worker off, on which the given run is, and requires that the next run begins on another worker
// within the longest lease, and that no two runs are at work at a time.
func (r *rig) requireOneRunAtATime(run int) {
	r.t.Helper()
	r.cutOff()
	r.list(testWorker(1))
	r.waitForRun(run+1, r.rerunLimit())
	require.Empty(r.t, r.runners.Faults())
}

// TestNoRunBesideLateRenewalOfFormerOwner guards against two runs of one task at a time: a renewal of a former owner, which ends by the
// clock of the former lifetime of a worker, reaches the next lifetime before the new owner does, and holds what the new owner starts there.
func TestNoRunBesideLateRenewalOfFormerOwner(t *testing.T) {
	for name, takeOver := range map[string]time.Duration{"at the take-over": 0, "after it": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runInLateRig(t, func(r *rig, l *orderLog) {
				r.stop()
				r.hearFormerOwner(false)
				r.advance(takeOver)
				r.comeBack(false)
				r.deliverRenewal(l.renewal.Load())
				r.start(r.engine.term + 1)
				r.submit(testID, taskStep(1))
				r.waitForRun(1, r.rerunLimit())
				r.requireOneRunAtATime(1)
			})
		})
	}
}

// TestNoRunBesideRenewalAfterReturnWasSeen guards against two runs of one task at a time: a renewal, which ends by the clock of the former
// lifetime of a worker, is carried out seconds after the same owner has seen the next lifetime and started work there.
func TestNoRunBesideRenewalAfterReturnWasSeen(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		h := l.renewal.Load()
		r.comeBack(true)
		r.submit(testID, taskStep(1))
		r.waitForRun(1, r.rerunLimit())
		r.advance(orderDelay)
		r.deliverRenewal(h)
		r.requireOneRunAtATime(1)
	})
}

// formerID is a job whose run is over before that of the test job begins.
const formerID = "00000000000000bb"

// TestNoRunBesideRenewalAfterReplacement guards against two runs of one task at a time: another worker answers at the address of a worker
// for a while, and a renewal for the former lifetime of the worker reaches the lifetime in which it is back there.
func TestNoRunBesideRenewalAfterReplacement(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		r.submit(formerID, taskStep(1))
		r.advance(2 * time.Second)
		h := l.renewal.Load()
		w := r.workers[0]
		other := w
		other.Name = "w9"
		r.runners.Add(other)
		r.advance(orderDelay)
		r.append(jobs.CancelRecord(formerID))
		r.comeBack(true)
		r.deliverRenewal(h)
		r.submit(testID, taskStep(1))
		r.waitForRun(1, r.rerunLimit())
		r.requireOneRunAtATime(1)
	})
}

// TestNoRunBesideRenewalAfterReturnToList guards against two runs of one task at a time: a worker leaves the list, which ends what the owner
// knows of it, and a renewal for its former lifetime reaches the one in which it is listed again.
func TestNoRunBesideRenewalAfterReturnToList(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		r.submit(formerID, taskStep(1))
		r.advance(2 * time.Second)
		r.drop(r.workers[0].Name)
		r.append(jobs.CancelRecord(formerID))
		r.advance(time.Second)
		r.comeBack(true)
		r.deliverRenewal(l.renewal.Load())
		r.submit(testID, taskStep(1))
		r.waitForRun(1, r.rerunLimit())
		r.requireOneRunAtATime(1)
	})
}

// TestNoRunBesideLeaseByFormerClock guards against two runs of one task at a time: the reply of the former lifetime of a worker to a start
// is processed after the first report of the next one, whose leases are granted by the clock of the former lifetime from then on.
func TestNoRunBesideLeaseByFormerClock(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		l.isReplySlow.Store(true)
		r.submit(testID, taskStep(1))
		for l.isReplySlow.Load() {
			r.advance(time.Millisecond)
		}
		r.comeBack(false)
		r.advance(time.Second)
		r.put(r.runners.List(r.workers[0].Addr))
		r.waitForRun(2, r.rerunLimit())
		r.advance(orderDelay)
		r.requireOneRunAtATime(2)
	})
}

// TestNoRunAfterLateAcknowledgement guards against a second run of a task that is done: an acknowledgement of the ends of the former lifetime
// of a worker reaches the next one, which forgets an end of its own that the owner has not read.
func TestNoRunAfterLateAcknowledgement(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		r.advance(time.Second)
		h := l.ack.Load()
		r.comeBack(true)
		r.submit(shortID, taskStep(1))
		r.requireRunning(shortID, 1, r.rerunLimit())
		r.cutOff()
		r.advance(orderDelay)
		require.Equal(r.t, 1, r.runners.CountDone(shortID))
		r.deliverRenewal(h)
		r.runners.SetCut(func(string, string) bool { return false })
		r.waitForState(shortID, jobs.Completed, r.rerunLimit())
		require.Empty(r.t, r.runners.Faults())
	})
}
