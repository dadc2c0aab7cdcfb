package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// TestRepeatedConfigureKeepsQueueBounded guards against a growing list of newest jobs: each new configuration
// applies the profiles to all queued jobs again, and must not list them once more, which would slow down submission.
func TestRepeatedConfigureKeepsQueueBounded(t *testing.T) {
	const queued = 200
	p := planner(t, workers(1, 1), profiles(audit, urgent))
	for i := range queued {
		require.NoError(t, p.Submit(job(fmt.Sprintf("q%03d", i), "Gear", "Audit", shape(1, 1, fleet.LevelWorker))))
	}
	for i := range 100 {
		x := audit
		x.WaitBound = time.Hour + time.Duration(i)*time.Second
		p.Configure(profiles(x, urgent))
	}
	require.Equal(t, queued, len(p.newestByRank[audit.Urgency.Rank()]))
	require.Equal(t, queued, p.queuedTotal)
}

// TestConfigurationChangesUrgencyOfWaitingWork moves queued jobs to another urgency and back with their profile, after
// which the newest must still be shed first.
func TestConfigurationChangesUrgencyOfWaitingWork(t *testing.T) {
	p := planner(t, workers(1, 1), profiles(audit, urgent), WithQueueLimits(100, 4))
	for i := range 4 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("q%d", i), "Gear", "Audit", shape(1, 1, fleet.LevelWorker))))
	}
	x := audit
	x.Urgency = config.Normal
	p.Configure(profiles(x, urgent))
	p.Configure(profiles(audit, urgent))
	require.NoError(t, p.Submit(job("now", "CW", "Urgent", shape(1, 1, fleet.LevelWorker))))
	d := p.Pass(start)
	require.Len(t, d.Refusals, 1)
	require.Equal(t, "q3", d.Refusals[0].Job)
}
