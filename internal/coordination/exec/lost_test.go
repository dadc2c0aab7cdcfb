package exec

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
)

const testID = "00000000000000aa"

func TestJobRunsToItsEnd(t *testing.T) {
	runInRig(t, 2, runsTaking(time.Second), func(r *rig) {
		r.advance(time.Second)
		r.submit(testID, taskStep(3))
		r.waitForState(testID, jobs.Completed, 3*time.Second)
		require.Empty(t, r.engine.units)
	})
}

// loseRun counts the run of the first task of a job as lost, and returns its unit, its worker and the end that the worker
// may still report.
func (r *rig) loseRun(id string) (*unit, *worker, port.RunEnd) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.units[jobs.UnitKey{Job: id}.String()]
	m := u.members[0]
	w := e.workers[m.worker]
	x := port.RunEnd{Number: w.lastHandledEnd + 1, Ref: u.ref(m), Result: jobs.Done}
	e.handleTaskEnd(u, m, jobs.Lost, "", false)
	return u, w, x
}

// unit returns a unit of the first step of a job, or nil.
func (r *rig) unit(id string, index int) *unit {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	return r.engine.units[jobs.UnitKey{Job: id, Index: index}.String()]
}

// newestRun returns the number and the worker of the newest run of the first task of a job.
func (r *rig) newestRun(id string) (run int, worker string) {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	u := r.engine.units[jobs.UnitKey{Job: id}.String()]
	if u == nil || len(u.members) == 0 {
		return 0, ""
	}
	return u.run, u.members[0].worker
}

// waitForPhase waits until a unit is in a phase.
func (r *rig) waitForPhase(u *unit, p phase) {
	r.t.Helper()
	for range 1000 {
		r.engine.mu.Lock()
		isIn := u.phase == p
		r.engine.mu.Unlock()
		if isIn {
			return
		}
		r.advance(time.Millisecond)
	}
	require.Equal(r.t, p, u.phase)
}

// TestLastingTaskRunsAgainAfterLateEnd guards against a unit that the engine counts as queued and the planner does not have: the
// run of a lasting task was counted as lost and reported as done afterwards.
func TestLastingTaskRunsAgainAfterLateEnd(t *testing.T) {
	runInRig(t, 2, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		s := taskStep(1)
		s.Lasts = true
		r.submit(testID, s)
		r.requireRunning(testID, 1, time.Second)
		u, w, x := r.loseRun(testID)
		r.waitForPhase(u, phaseQueued)
		r.engine.mu.Lock()
		r.engine.handleLateEnd(w, x)
		r.engine.mu.Unlock()
		r.requireRunning(testID, 1, 3*time.Second)
	})
}

// TestRefusedUnitThatHasEndedStaysEnded guards against a unit that is submitted again while its end is being stored: a refusal
// of the planner reached it after a late end.
func TestRefusedUnitThatHasEndedStaysEnded(t *testing.T) {
	runInRig(t, 2, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		after := taskStep(1)
		after.After = []int{0}
		r.submit(testID, taskStep(1), after)
		r.requireRunning(testID, 1, time.Second)
		u, w, x := r.loseRun(testID)
		r.waitForPhase(u, phaseQueued)
		r.store.SetDelay(500 * time.Millisecond)
		r.engine.mu.Lock()
		r.engine.handleLateEnd(w, x)
		r.engine.applyDecisions(plan.Decisions{Refusals: []plan.Refusal{{Job: u.name}}})
		r.engine.mu.Unlock()
		r.advance(2 * time.Second)
		r.store.SetDelay(2 * time.Millisecond)
		r.advance(2 * time.Second)
		require.Equal(t, 1, u.run)
		require.Equal(t, map[phase]int{phaseRunning: 1}, r.phases(testID))
	})
}

// TestSilentWorkerGetsNoSecondStart guards against work that waits for one lease after the other: each run of a unit goes to
// the worker that did not answer its start, as the planner is not told.
func TestSilentWorkerGetsNoSecondStart(t *testing.T) {
	runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		r.runners.SetCut(func(_, worker string) bool { return worker == "w0" })
		r.submit(testID, taskStep(1))
		run, worker := 0, ""
		for run < 2 {
			r.advance(10 * time.Millisecond)
			run, worker = r.newestRun(testID)
		}
		require.NotEqual(t, "w0", worker)
	})
}

// TestNextTermTakesUpAllOpenJobs guards against jobs that no engine has a unit of: an ending term and the next one share the
// table and its set of changed jobs, and jobs come all the while.
func TestNextTermTakesUpAllOpenJobs(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			runInRig(t, 2, runsTaking(time.Hour), func(r *rig) {
				r.advance(time.Second)
				var ids []string
				for range 6 {
					for range 2 {
						id := fmt.Sprintf("%016x", len(ids))
						ids = append(ids, id)
						r.submit(id, taskStep(1))
						r.advance(pause)
					}
					r.restart()
				}
				for _, id := range ids {
					r.requireRunning(id, 1, 2*time.Second)
				}
			})
		})
	}
}

// TestTermEndsWhenStartCannotBeStored guards against an owner that goes on with units whose start is never stored.
func TestTermEndsWhenStartCannotBeStored(t *testing.T) {
	for _, cause := range []error{port.ErrStaleEpoch, port.ErrOutOfSequence} {
		t.Run(cause.Error(), func(t *testing.T) {
			runInRig(t, 2, runsTaking(time.Hour), func(r *rig) {
				r.advance(time.Second)
				r.stop()
				var isRejected atomic.Bool
				r.change = func(d *Deps) {
					appendTo := d.Store.Append
					d.Store.Append = func(ctx context.Context, a port.Append) (port.Appended, error) {
						if isRejected.Load() {
							return port.Appended{}, cause
						}
						return appendTo(ctx, a)
					}
				}
				r.start(2)
				r.advance(time.Second)
				isRejected.Store(true)
				r.submit(testID, taskStep(1))
				r.advance(100 * time.Millisecond)
				require.Equal(t, map[phase]int{phaseStoring: 1}, r.phases(testID))
				require.Error(t, r.engine.ctx.Err(), "the term goes on")
				isRejected.Store(false)
				r.restart()
				r.requireRunning(testID, 1, 2*time.Second)
			})
		})
	}
}

// TestUnitRunsAfterChangeOfWorkerDuringSlowStart guards against a unit that stays in the phase in which its start is stored:
// its worker is restarted, drained, unlisted or silent meanwhile.
func TestUnitRunsAfterChangeOfWorkerDuringSlowStart(t *testing.T) {
	cases := map[string]func(r *rig, w fleet.Worker){
		"restarted": func(r *rig, w fleet.Worker) { r.runners.Add(w) },
		"draining":  func(r *rig, w fleet.Worker) { r.put(port.Runner{Worker: w, IsDraining: true}) },
		"unlisted":  func(r *rig, w fleet.Worker) { r.drop(w.Name) },
		"silent":    func(r *rig, w fleet.Worker) { r.runners.SetCut(func(_, x string) bool { return x == w.Name }) },
		"gone": func(r *rig, w fleet.Worker) {
			r.runners.Remove(w.Addr)
			r.drop(w.Name)
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
				r.advance(time.Second)
				r.store.SetDelay(3 * time.Second)
				r.submit(testID, taskStep(1))
				for r.phases(testID)[phaseStoring] == 0 {
					r.advance(10 * time.Millisecond)
				}
				r.engine.mu.Lock()
				u := r.engine.units[jobs.UnitKey{Job: testID}.String()]
				w := r.engine.workers[u.members[0].worker].runner.Worker
				r.engine.mu.Unlock()
				change(r, w)
				r.store.SetDelay(2 * time.Millisecond)
				r.advance(3 * time.Second)
				r.requireRunning(testID, 1, testBounds.MaxHold+4*time.Second)
			})
		})
	}
}

// TestStopOfUnsentStartNeedsNoReport guards against a gang that is not placed anew for seconds: a worker refuses its task before
// the start of another one is sent, and two reports of the other worker have to show that nothing is there.
func TestStopOfUnsentStartNeedsNoReport(t *testing.T) {
	runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		r.submit(testID, jobs.Step{Tasks: 2, Gang: true, Accelerators: 8, Estimate: time.Second})
		var u *unit
		for u == nil {
			r.advance(time.Millisecond)
			u = r.unit(testID, jobs.WholeGang)
		}
		r.engine.mu.Lock()
		require.Equal(t, phaseStoring, u.phase)
		// Starts are sent only by later goroutines, which find the run stopped.
		r.engine.sendStarts(u)
		r.engine.failStart(u, u.members[0], jobs.Stopped, "refused")
		r.engine.mu.Unlock()
		r.advance(100 * time.Millisecond)
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		require.Equal(t, 2, u.run)
		require.Equal(t, phaseRunning, u.phase)
	})
}

// TestLostStartNeedsOneReport guards against a gang that is not placed anew for two polls of a worker after its start was lost there
// and the worker has confirmed that it will not run.
func TestLostStartNeedsOneReport(t *testing.T) {
	runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
		r.stop()
		var lost atomic.Int32
		r.change = func(d *Deps) {
			start := d.Runners.Start
			d.Runners.Start = func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
				if s.Worker == "w0" && s.Ref.Run == 1 {
					lost.Add(1)
					return 0, standin.ErrNoAnswer
				}
				return start(ctx, to, s)
			}
		}
		r.start(2)
		r.advance(time.Second)
		r.submit(testID, jobs.Step{Tasks: 4, Gang: true, Accelerators: 8, Estimate: time.Second})
		r.requireRunning(testID, 1, 2*startTimeout)
		require.NotZero(t, lost.Load())
		require.Equal(t, 2, r.unit(testID, jobs.WholeGang).run)
	})
}

// TestUnsentStartIsTriedElsewhereAtOnce guards against work that waits for the end of a lease that no worker holds: no attempt
// of its start reached the worker, whose process has ended.
func TestUnsentStartIsTriedElsewhereAtOnce(t *testing.T) {
	for name, step := range map[string]jobs.Step{"task": taskStep(1), "gang": {Tasks: 2, Gang: true, Accelerators: 8, Estimate: time.Second}} {
		t.Run(name, func(t *testing.T) {
			runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
				r.advance(time.Second)
				r.kill(r.workers[0])
				r.submit(testID, step)
				r.requireRunning(testID, 1, 2*startTimeout)
				_, worker := r.newestRun(testID)
				require.NotEqual(t, "w0", worker)
			})
		})
	}
}
