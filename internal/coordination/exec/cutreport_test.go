package exec

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// TestEndsBeyondOneReportAreNotLost guards against second runs of tasks that are done: more have ended on a worker than a report lists,
// while the store is down, the owner changes or a stop is under way.
func TestEndsBeyondOneReportAreNotLost(t *testing.T) {
	const runTime, outage = 2 * time.Second, 2500 * time.Millisecond
	cases := map[string]func(r *rig){
		"store is down": func(r *rig) {
			r.store.SetRejected("a", true)
			r.advance(outage)
			r.store.SetRejected("a", false)
		},
		"owner changes": func(r *rig) {
			r.stop()
			r.advance(outage)
			r.start(r.engine.term + 1)
		},
		"stops while the store is down": func(r *rig) {
			r.store.SetRejected("a", true)
			r.advance(runTime)
			r.engine.mu.Lock()
			for _, u := range r.engine.units {
				r.engine.stopRun(u, "test")
			}
			r.engine.mu.Unlock()
			r.advance(outage - runTime)
			r.store.SetRejected("a", false)
		},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			runInRig(t, 2, runsTaking(runTime), func(r *rig) {
				r.runners.SetEndsPerReport(1)
				r.advance(time.Second)
				r.submit(testID, taskStep(16))
				r.requireRunning(testID, 16, time.Second)
				f(r)
				r.waitForState(testID, jobs.Completed, 10*time.Second)
				require.Equal(t, 16, r.runners.Starts())
				require.Empty(t, r.runners.Faults())
			})
		})
	}
}

// TestCutReportOfNewLifetimeLosesNoTask guards against a second run of a task that a new owner knows by the former lifetime of its worker:
// the start reached the next lifetime, whose first report lists other ends.
func TestCutReportOfNewLifetimeLosesNoTask(t *testing.T) {
	runInRig(t, 1, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		r.submit(testID, taskStep(1))
		r.requireRunning(testID, 1, time.Second)
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		w, now := r.engine.workers["w0"], time.Now()
		u := r.engine.units[jobs.UnitKey{Job: testID}.String()]
		r.engine.handleReport(w, now, port.RunReport{Instance: "next", Clock: time.Second, IsCut: true}, func() {})
		require.Equal(t, phaseRunning, u.phase)
		end := port.RunEnd{Number: 1, Ref: u.ref(u.members[0]), Result: jobs.Done}
		r.engine.handleReport(w, now, port.RunReport{Instance: "next", Clock: 2 * time.Second, Ended: []port.RunEnd{end}}, func() {})
		require.Equal(t, jobs.Done, u.members[0].result)
	})
}
