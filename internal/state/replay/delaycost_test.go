package replay

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
)

// TestDelayCostKeepsExpectedOutcomes replays each trace with work held back for the cost of a delay: guarantees and outcomes are those
// that are expected without it.
func TestDelayCostKeepsExpectedOutcomes(t *testing.T) {
	for _, tr := range loadTraces(t) {
		t.Run(tr.Name, func(t *testing.T) {
			b, err := os.ReadFile(filepath.Join("testdata", tr.Name+".json"))
			require.NoError(t, err)
			var want Outcome
			require.NoError(t, json.Unmarshal(b, &want))
			domain := domainName(t, tr)
			r, err := Run(tr, func() Policy { return PlannerPolicy(domain, plan.With(plan.DelayCost)) })
			require.NoError(t, err)
			require.LessOrEqual(t, r.Late, want.Late)
			require.LessOrEqual(t, r.GuaranteedWait, parseDuration(t, want.GuaranteedWait))
			require.LessOrEqual(t, r.Large.Wait, parseDuration(t, want.LargeWait))
			require.Equal(t, want.Outcomes, r.Outcomes)
			require.Empty(t, r.Unfinished)
		})
	}
}

// TestDelayCostUnderBursts is the load of quiet tasks that fill the workers beside urgent gangs in bursts, 3 s of every 8: they
// start in each pause and are stopped at each burst. With the mechanism less than a tenth of them is stopped and of the work repeated,
// urgent gangs wait no longer, and all tasks end.
func TestDelayCostUnderBursts(t *testing.T) {
	c := newTraceBuilder(11)
	c.profile(config.Profile{Name: "Alarm", Urgency: config.Urgent, WaitBound: time.Minute, Stoppable: true, ReclaimBound: 400 * time.Millisecond})
	c.profile(config.Profile{Name: "Sweep", Urgency: config.Quiet, WaitBound: time.Hour, Stoppable: true, ReclaimBound: 400 * time.Millisecond})
	c.config.Organisations["Registry"] = config.Organisation{Name: "Registry", Weight: 1}
	c.configure()
	c.fleet(1, 8, 128, 512*fleet.Gigabyte)
	for at := time.Duration(0); at < 96*time.Second; at += 8 * time.Second {
		for range 2 {
			c.job(at, "Registry", "Alarm", gang(2, 8, 8, 16*fleet.Gigabyte, fleet.LevelRack), 3*time.Second, GroundTruth{Ran: 3 * time.Second})
		}
		for range 85 {
			c.job(at, "Registry", "Sweep", gang(1, 1, 8, 16*fleet.Gigabyte, fleet.LevelDomain), 6*time.Second, GroundTruth{Ran: 6 * time.Second})
		}
	}
	tr := c.trace("bursts")
	off, err := Run(tr, func() Policy { return PlannerPolicy("north-quay") })
	require.NoError(t, err)
	on, err := Run(tr, func() Policy { return PlannerPolicy("north-quay", plan.With(plan.DelayCost)) })
	require.NoError(t, err)
	require.Greater(t, off.Stops, 100, "the load is one that stops much work")
	require.Less(t, 10*on.Stops, off.Stops)
	require.Less(t, 10*on.LostSeconds, off.LostSeconds)
	require.LessOrEqual(t, on.Urgencies[config.Urgent].Wait, off.Urgencies[config.Urgent].Wait)
	require.Empty(t, on.Unfinished)
}
