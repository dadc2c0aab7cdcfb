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

// listDelay is how long after the start of a worker an owner reads its entry.
const listDelay = 250 * time.Millisecond

// labelledWorker returns a worker with a label.
func labelledWorker(i int, label string) fleet.Worker {
	w := testWorker(i)
	w.Labels = label
	return w
}

// runInLabelledRig runs f in a rig with one worker, which has the label a; the spec of a job names the label that it requires.
func runInLabelledRig(t *testing.T, f func(r *rig)) {
	t.Helper()
	plan := func(_ port.RunRef, spec string) standin.RunOutcome {
		return standin.RunOutcome{Work: time.Hour, Result: jobs.Done, Label: spec}
	}
	runInRig(t, 1, plan, func(r *rig) {
		r.advance(time.Second)
		r.restartWorker(labelledWorker(0, "a"))
		r.advance(6 * time.Second)
		f(r)
	})
}

// restartWorker starts a worker anew and lists it.
func (r *rig) restartWorker(w fleet.Worker) {
	r.runners.Add(w)
	r.put(r.runners.List(w.Addr))
}

// submitLabelled stores a job of n tasks that require a label.
func (r *rig) submitLabelled(id, label string, n int) {
	r.t.Helper()
	s := taskStep(n)
	s.Label = label
	x, err := jobs.JobRecord(&jobs.Job{ID: id, Organisation: "Gear", Queue: "quiet", Spec: label, Accepted: time.Now(), Steps: []jobs.Step{s}})
	require.NoError(r.t, err)
	r.append(x)
}

// TestReturnedWorkerGetsNoTaskOfItsFormerKind guards against tasks on workers without the label that they require: a worker comes back
// under its name as another kind, and reports to the owner before the owner reads its entry.
func TestReturnedWorkerGetsNoTaskOfItsFormerKind(t *testing.T) {
	const waiting, other = "00000000000000bb", "00000000000000cc"
	for name, isRestarted := range map[string]bool{"same owner": false, "new owner": true} {
		t.Run(name, func(t *testing.T) {
			runInLabelledRig(t, func(r *rig) {
				r.submitLabelled(testID, "a", 1)
				r.requireRunning(testID, 1, time.Second)
				former := r.runners.List(r.workers[0].Addr)
				r.runners.Add(labelledWorker(0, "b"))
				if isRestarted {
					r.entry = func(fleet.Worker) port.Runner { return former }
					r.restart()
				}
				r.advance(listDelay)
				r.submitLabelled(waiting, "a", 2)
				r.advance(2 * time.Second)
				require.Empty(t, r.runners.Faults())
				r.put(r.runners.List(r.workers[0].Addr))
				r.submitLabelled(other, "b", 2)
				r.requireRunning(other, 2, 300*time.Millisecond)
				r.advance(2 * time.Second)
				require.Empty(t, r.runners.Faults())
				require.Equal(t, map[phase]int{phaseQueued: 2}, r.phases(waiting))
			})
		})
	}
}

// TestIdleWorkerIsUsedSoonAfterItsReturn guards against room that stays empty: an idle worker comes back, its entry is read first,
// and it is asked for a report only when its next look is due.
func TestIdleWorkerIsUsedSoonAfterItsReturn(t *testing.T) {
	runInLabelledRig(t, func(r *rig) {
		r.restartWorker(labelledWorker(0, "b"))
		r.submitLabelled(testID, "b", 1)
		r.requireRunning(testID, 1, 200*time.Millisecond)
		require.Empty(t, r.runners.Faults())
	})
}

// TestStartIsNotRepeatedAtWorkerOfAnotherKind guards against a start that goes on to the next lifetime of its worker: it was stored, or
// sent without an answer, when the owner reads that the worker has come back as another kind.
func TestStartIsNotRepeatedAtWorkerOfAnotherKind(t *testing.T) {
	cases := map[string]struct {
		store, command time.Duration
	}{
		"being stored": {store: 300 * time.Millisecond},
		"unanswered":   {command: 2 * time.Second},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			runInLabelledRig(t, func(r *rig) {
				if x.store > 0 {
					r.store.SetDelay(x.store)
				}
				r.runners.SetCommandDelay(r.workers[0].Addr, x.command)
				r.submitLabelled(testID, "a", 1)
				for r.phases(testID)[phaseStoring]+r.phases(testID)[phaseStarting] == 0 {
					r.advance(time.Millisecond)
				}
				r.advance(50 * time.Millisecond)
				r.restartWorker(labelledWorker(0, "b"))
				r.advance(3 * time.Second)
				require.Empty(t, r.runners.Faults())
				require.Equal(t, map[phase]int{phaseQueued: 1}, r.phases(testID))
			})
		})
	}
}

// TestStrayRunAtWorkerOfAnotherKindIsStopped guards against a task that stays on a worker without its label: its start reached the next
// lifetime of the worker, which reports it before its entry is read, or after.
func TestStrayRunAtWorkerOfAnotherKindIsStopped(t *testing.T) {
	for name, delay := range map[string]time.Duration{"entry first": 0, "report first": time.Second} {
		t.Run(name, func(t *testing.T) {
			runInLabelledRig(t, func(r *rig) {
				r.submitLabelled(testID, "a", 1)
				r.requireRunning(testID, 1, time.Second)
				w := labelledWorker(0, "b")
				r.runners.Add(w)
				ref := port.RunRef{Job: testID, Run: 1}
				_, err := r.view.Start(r.t.Context(), w.Addr, port.RunStart{Ref: ref, Until: time.Minute, Token: r.engine.term, Worker: w.Name})
				require.NoError(r.t, err)
				r.advance(delay)
				r.put(r.runners.List(w.Addr))
				r.advance(1500 * time.Millisecond)
				require.Empty(t, r.runners.FindWorker(ref))
				require.Equal(t, map[phase]int{phaseQueued: 1}, r.phases(testID))
			})
		})
	}
}

// TestIdleWorkerIsAskedBeforeItsNextStart guards against tasks on workers without the label that they require: an idle worker, which is not
// asked for reports, comes back as another kind, and a start is decided before its entry is read.
func TestIdleWorkerIsAskedBeforeItsNextStart(t *testing.T) {
	const next = "00000000000000bb"
	for _, idle := range []time.Duration{minAbsence + 10*time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(idle.String(), func(t *testing.T) {
			runInLabelledRig(t, func(r *rig) {
				r.submitLabelled(testID, "a", 1)
				r.requireRunning(testID, 1, time.Second)
				r.append(jobs.CancelRecord(testID))
				for !r.isIdle("w0") {
					r.advance(time.Millisecond)
				}
				r.advance(idle)
				r.runners.Add(labelledWorker(0, "b"))
				r.submitLabelled(next, "a", 1)
				r.advance(time.Second)
				require.Empty(t, r.runners.Faults())
				require.Equal(t, map[phase]int{phaseQueued: 1}, r.phases(next))
			})
		})
	}
}

// isIdle reports whether nothing runs on a worker and no poll of it is under way.
func (r *rig) isIdle(worker string) bool {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	w := r.engine.workers[worker]
	return len(w.tasks) == 0 && w.lastAckedEnd == w.lastHandledEnd && w.lastPoll.Before(w.lastReport)
}

// TestStartBeingConnectedEndsWithItsWorker guards against a start that reaches the next lifetime of its worker, which is of another kind:
// its connection was still being opened when the worker ended.
func TestStartBeingConnectedEndsWithItsWorker(t *testing.T) {
	runInLabelledRig(t, func(r *rig) {
		var isSlow atomic.Bool
		r.stop()
		r.entry = func(w fleet.Worker) port.Runner { return r.runners.List(w.Addr) }
		r.change = func(d *Deps) {
			start := d.Runners.Start
			d.Runners.Start = func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
				if isSlow.CompareAndSwap(true, false) {
					select {
					case <-ctx.Done():
						return 0, port.ErrUnsent
					case <-time.After(460 * time.Millisecond):
					}
				}
				return start(ctx, to, s)
			}
		}
		r.start(r.engine.term + 1)
		r.advance(time.Second)
		isSlow.Store(true)
		r.submitLabelled(testID, "a", 1)
		for isSlow.Load() {
			r.advance(time.Millisecond)
		}
		w := r.workers[0]
		r.kill(w)
		r.advance(450 * time.Millisecond)
		r.gone.Store(nil)
		r.runners.Add(labelledWorker(0, "b"))
		r.advance(3 * time.Second)
		require.Empty(t, r.runners.Faults())
	})
}
