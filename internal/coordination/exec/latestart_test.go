package exec

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/stretchr/testify/require"
)

// sendUnanswered submits the test job, and returns its start, which the first worker leaves unanswered.
func (r *rig) sendUnanswered(l *orderLog) *port.RunStart {
	l.isSwallowing.Store(true)
	r.submit(testID, taskStep(1))
	for l.start.Load().Ref.Job != testID {
		r.advance(time.Millisecond)
	}
	return l.start.Load()
}

// TestNoRunBesideLateStartOnUnseenLifetime guards against two runs of one task at a time: a start that was not answered is carried out by the
// next lifetime of its worker, which is cut off before it has reported, and by whose clock the lease ends later than was meant.
func TestNoRunBesideLateStartOnUnseenLifetime(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		s := r.sendUnanswered(l)
		r.cutOff()
		r.comeBack(true)
		r.deliverStart(s)
		r.requireOneRunAtATime(1)
	})
}

// TestNoRunBesideLateStartOnSeenLifetime guards against two runs of one task at a time: a start that was not answered is carried out by the
// next lifetime of its worker, seconds after that has reported without it, and has been cut off before it could confirm a stop.
func TestNoRunBesideLateStartOnSeenLifetime(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		s := r.sendUnanswered(l)
		r.comeBack(true)
		r.waitForPhase(r.unit(testID, 0), phaseStopping)
		r.cutOff()
		r.advance(orderDelay)
		r.deliverStart(s)
		r.requireOneRunAtATime(1)
	})
}

// TestNoRunBesideLateStartOfFormerOwner guards against two runs of one task at a time: a start of a former owner is carried out by the next
// lifetime of its worker, before the take-over or seconds after it, and the new owner knows that lifetime from the list alone.
func TestNoRunBesideLateStartOfFormerOwner(t *testing.T) {
	for name, late := range map[string]time.Duration{"before the take-over": 0, "after it": orderDelay - absence} {
		t.Run(name, func(t *testing.T) {
			runInLateRig(t, func(r *rig, l *orderLog) {
				s := r.sendUnanswered(l)
				r.stop()
				r.hearFormerOwner(false)
				r.comeBack(false)
				r.cutOff()
				if late == 0 {
					r.deliverStart(s)
				}
				r.start(r.engine.term + 1)
				r.advance(max(late, time.Second))
				if late > 0 {
					r.deliverStart(s)
				}
				r.list(testWorker(1))
				r.waitForRun(2, r.rerunLimit())
				require.Empty(t, r.runners.Faults())
			})
		})
	}
}

// TestNoRunBesideStartAnsweredByNextLifetime guards against two runs of one task at a time: the connection for a start is still being opened
// when its worker ends, and the next lifetime answers it, and is cut off before it has reported.
func TestNoRunBesideStartAnsweredByNextLifetime(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		l.startDelay.Store(int64(absence + 100*time.Millisecond))
		r.submit(testID, taskStep(1))
		for l.start.Load().Ref.Job != testID {
			r.advance(time.Millisecond)
		}
		r.comeBack(false)
		r.advance(150 * time.Millisecond)
		l.startDelay.Store(0)
		r.waitForRun(1, r.rerunLimit())
		r.requireOneRunAtATime(1)
	})
}

// TestNoLateStartOfLostRun guards against two runs of one task at a time: a second attempt of a start that was answered is carried out by the
// next lifetime of its worker, after the owner has seen that and has counted the run as lost.
func TestNoLateStartOfLostRun(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		r.submit(testID, taskStep(1))
		r.waitForRun(1, time.Second)
		s := l.start.Load()
		r.list(testWorker(1))
		r.comeBack(true)
		r.runners.SetFull(r.workers[0].Addr, true)
		r.waitForRun(2, r.rerunLimit())
		r.advance(orderDelay)
		r.runners.SetFull(r.workers[0].Addr, false)
		r.deliverStart(s)
		require.Empty(r.t, r.runners.Faults())
	})
}

// TestNoLateStartOfDoneTask guards against a second run of a task that is done: a second attempt of its start is carried out by the next
// lifetime of its worker, after the owner has seen that.
func TestNoLateStartOfDoneTask(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		r.advance(time.Second)
		s := l.start.Load()
		r.comeBack(true)
		r.advance(orderDelay)
		r.deliverStart(s)
		require.Empty(r.t, r.runners.Faults())
	})
}

// TestNoRunBesideSecondAttemptOnUnseenLifetime guards against two runs of one task at a time: a second attempt of a start that was answered
// is carried out by the next lifetime of its worker, which is cut off before it has reported.
func TestNoRunBesideSecondAttemptOnUnseenLifetime(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		r.submit(testID, taskStep(1))
		r.waitForRun(1, time.Second)
		s := l.start.Load()
		r.cutOff()
		r.comeBack(true)
		r.advance(orderDelay - absence)
		r.deliverStart(s)
		r.requireOneRunAtATime(1)
	})
}

// TestNoRunBesideLateRenewalOnUnseenLifetime guards against the same where a renewal, which was sent after the start, reaches that lifetime
// last and extends the lease of the run.
func TestNoRunBesideLateRenewalOnUnseenLifetime(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		r.submit(testID, taskStep(1))
		r.waitForRun(1, time.Second)
		s := l.start.Load()
		r.advance(orderDelay - absence)
		h := l.renewal.Load()
		r.cutOff()
		r.comeBack(true)
		r.deliverStart(s)
		r.advance(orderDelay - absence)
		r.deliverRenewal(h)
		r.requireOneRunAtATime(1)
	})
}

// TestNoRunBesideLateStartAtReturnToAddress guards against two runs of one task at a time: another worker answers at the address of a worker
// after a start was not answered, and the start is carried out by the lifetime in which the worker is back there.
func TestNoRunBesideLateStartAtReturnToAddress(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		s := r.sendUnanswered(l)
		l.isSwallowing.Store(false)
		r.list(testWorker(1))
		other := r.workers[0]
		other.Name = "w9"
		r.runners.Add(other)
		r.advance(time.Second)
		r.runners.Add(r.workers[0])
		r.deliverStart(s)
		r.advance(orderDelay)
		require.Empty(t, r.runners.Faults())
	})
}

// TestNoRunBesideLateStartAfterConfirmedStop guards against two runs of one task at a time: the worker of a start that was not answered confirms
// its stop, and the next lifetime, which knows of no stop and has seen no token, carries the start out before it is asked for a report.
func TestNoRunBesideLateStartAfterConfirmedStop(t *testing.T) {
	runInLateRig(t, func(r *rig, l *orderLog) {
		s := r.sendUnanswered(l)
		r.list(testWorker(1))
		r.waitForRun(2, r.rerunLimit())
		r.comeBack(false)
		r.deliverStart(s)
		require.Empty(r.t, r.runners.Faults())
	})
}
