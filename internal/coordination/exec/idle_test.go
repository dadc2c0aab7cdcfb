package exec

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// readGauges returns the gauges about idle jobs after a new report.
func (r *rig) readGauges() map[string]float64 {
	s := tally.NewTestScope("", nil)
	e := r.engine
	e.mu.Lock()
	e.scope = s
	e.logIdleJobs(e.clock.Now())
	e.mu.Unlock()
	out := map[string]float64{}
	for _, g := range s.Snapshot().Gauges() {
		out[g.Name()] = g.Value()
	}
	return out
}

// TestIdleJobsAreReported checks which jobs count as idle, as idle beside room and as unknown to the engine.
func TestIdleJobsAreReported(t *testing.T) {
	labelled, later := taskStep(1), taskStep(1)
	labelled.Label = "none"
	later.After = []int{0}
	lasting := taskStep(20)
	lasting.Lasts = true
	large := taskStep(1)
	large.Accelerators = 16
	cases := map[string]struct {
		steps []jobs.Step
		// lose makes the engine forget the units of the job.
		lose               bool
		idle, room, unseen float64
	}{
		"running":                 {steps: []jobs.Step{taskStep(2)}},
		"running beside waiting":  {steps: []jobs.Step{taskStep(40)}},
		"lasting beside waiting":  {steps: []jobs.Step{lasting}, idle: 4},
		"waiting for a label":     {steps: []jobs.Step{labelled}, idle: 1},
		"waiting as impossible":   {steps: []jobs.Step{large}, idle: 1},
		"waiting, later step too": {steps: []jobs.Step{labelled, later}, idle: 1},
		"unknown to the engine":   {steps: []jobs.Step{taskStep(1)}, lose: true, unseen: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runInRig(t, 2, runsTaking(time.Hour), func(r *rig) {
				r.advance(time.Second)
				r.submit(testID, c.steps...)
				r.advance(minIdleTime / 2)
				require.Equal(t, map[string]float64{"jobs_idle": 0, "jobs_idle_beside_room": 0, "jobs_unknown": 0}, r.readGauges())
				if c.lose {
					r.engine.mu.Lock()
					for _, u := range r.engine.units {
						delete(r.engine.units, u.name)
					}
					r.engine.mu.Unlock()
				}
				r.advance(minIdleTime)
				require.Equal(t, map[string]float64{"jobs_idle": c.idle, "jobs_idle_beside_room": c.room, "jobs_unknown": c.unseen}, r.readGauges())
			})
		})
	}
}

// TestJobIdleBesideRoomIsReported checks the report of a queued job that no pass looks at.
func TestJobIdleBesideRoomIsReported(t *testing.T) {
	runInRig(t, 2, runsTaking(time.Hour), func(r *rig) {
		r.advance(time.Second)
		r.engine.mu.Lock()
		r.engine.nextFullPass = time.Now().Add(time.Hour)
		r.engine.mu.Unlock()
		for i := range 3 {
			r.submit(fmt.Sprintf("%016x", i), taskStep(1))
		}
		r.advance(minIdleTime + checkInterval)
		require.Equal(t, map[string]float64{"jobs_idle": 3, "jobs_idle_beside_room": 3, "jobs_unknown": 0}, r.readGauges())
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		idle := r.engine.findIdleUnits(time.Now())
		require.Len(t, idle, 3)
		require.Equal(t, plan.WaitPass, r.engine.planner.WaitCause(idle[0].name))
		require.GreaterOrEqual(t, time.Since(r.engine.idleSince(idle[0])), minIdleTime)
	})
}
