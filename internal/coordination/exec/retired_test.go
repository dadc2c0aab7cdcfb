package exec

import (
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// TestRemovedQueueKeepsItsUrgency guards against urgent jobs that wait behind all others once their queue has been removed.
func TestRemovedQueueKeepsItsUrgency(t *testing.T) {
	runInRig(t, 1, runsTaking(time.Hour), func(r *rig) {
		borrower := taskStep(8)
		borrower.Checkpoints = true
		r.submit("0000000000000001", borrower)
		r.requireRunning("0000000000000001", 8, time.Second)
		x, err := jobs.JobRecord(&jobs.Job{
			ID: testID, Organisation: "Gear", Queue: "removed", Accepted: time.Now(), Steps: []jobs.Step{taskStep(8)},
			Terms: &jobs.Terms{Urgency: config.Urgent, MaxAttempts: 1, Stretch: 1.5, Objective: time.Second},
		})
		require.NoError(t, err)
		r.append(x)
		r.requireRunning(testID, 8, 5*time.Second)
	})
}
