package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// TestNearlyDoneJobsAreFinished is the load under which some tasks of all jobs end and all tasks of none: a job that is late for its
// last tasks goes before one that could be in time, while one that has hardly begun does not.
func TestNearlyDoneJobsAreFinished(t *testing.T) {
	for _, isOn := range []bool{false, true} {
		p := planner(t, workers(1, 1), profiles(bulk))
		if isOn {
			With(DelayCost)(p)
		}
		add := func(key string, tasks int, at time.Time) {
			for i := range tasks {
				j := job(fmt.Sprintf("%s/%d", key, i), "CW", "Bulk", shape(1, 1, fleet.LevelDomain))
				j.Submission, j.RunTime, j.Objective, j.Stretch, j.Submitted = key, 4*time.Second, time.Second, 1, at
				require.NoError(t, p.Submit(j))
			}
		}
		add("begun", 10, start)
		d := p.Pass(start)
		run(p, d, start)
		at := start.Add(4 * time.Second)
		for _, s := range d.Starts {
			p.Ended(Ended{Job: s.Job.ID, Result: ResultDone, At: at})
		}
		add("fresh", 8, at)
		d = p.Pass(at)
		require.Len(t, d.Starts, 8)
		finished := 0
		for _, s := range d.Starts {
			if s.Job.Submission == "begun" {
				finished++
			}
		}
		require.Equal(t, map[bool]int{false: 0, true: 2}[isOn], finished)
	}
}
