package replay

import (
	"strconv"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
)

// unevenLoad is a load of urgent gangs that leave little time, beside gangs with time to spare, with room for both.
func unevenLoad(seed uint64, length time.Duration) Trace {
	c := newTraceBuilder(seed)
	c.profile(config.Profile{Name: "Clip", Urgency: config.Urgent, WaitBound: time.Minute, Stoppable: true, ReclaimBound: time.Second})
	c.profile(config.Profile{Name: "Film", Urgency: config.Quiet, WaitBound: time.Hour, Stoppable: true, ReclaimBound: time.Second})
	c.configure()
	c.fleet(4, 15, 64, 128*fleet.Gigabyte)
	gang := func(profile string, accelerators int, stretch float64, lo, hi time.Duration) func(time.Duration) {
		return func(at time.Duration) {
			s := fleet.Shape{Tasks: 2 + c.r.IntN(4), Accelerators: accelerators, Processors: 1, Memory: fleet.Gigabyte, Adjacent: fleet.LevelDomain}
			run := c.randomDuration(lo, hi).Round(time.Second)
			c.job(at, "Reels", profile, s, run, GroundTruth{Ran: run})
			e := &c.events[len(c.events)-1]
			e.Text += " Stretch=" + strconv.FormatFloat(stretch, 'f', -1, 64)
		}
	}
	c.stream(0, length, 4*time.Second, gang("Clip", 8, 1.5, 10*time.Second, 30*time.Second))
	c.stream(0, length, 12*time.Second, gang("Film", 4, 4, 30*time.Second, 2*time.Minute))
	return c.trace("uneven")
}

func byTurns(worker string, speeds ...float64) float64 {
	i, _ := strconv.Atoi(worker[1:])
	return speeds[i%len(speeds)]
}

// TestUnevenWorkers answers urgent gangs on workers of which a third is too slow for them: with learned speeds more of them are in
// time, also if the speeds change halfway and if the owner does. An estimate that is wrong by one factor does no harm.
func TestUnevenWorkers(t *testing.T) {
	steady := func(w string, _ time.Time) float64 { return byTurns(w, 0.6, 1, 1.6) }
	changing := func(w string, at time.Time) float64 {
		if at.Before(epoch.Add(10 * time.Minute)) {
			return byTurns(w, 0.6, 1, 1.6)
		}
		return byTurns(w, 1.6, 0.6, 1)
	}
	alike := func(string, time.Time) float64 { return 1 }
	cases := map[string]struct {
		speedOf func(string, time.Time) float64
		length  time.Duration
		factor  float64
		// gain is the least increase of the share of jobs in time.
		gain float64
	}{
		"steady":             {steady, 10 * time.Minute, 1, 0.3},
		"changing halfway":   {changing, 20 * time.Minute, 1, 0.2},
		"alike":              {alike, 10 * time.Minute, 1, 0},
		"all taken for slow": {steady, 10 * time.Minute, 1.5, 0},
		"all taken for fast": {steady, 10 * time.Minute, 1 / 1.5, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				share := func(opts ...plan.Option) float64 {
					x, err := Run(unevenLoad(seed, c.length), func() Policy {
						p := PlannerPolicy("north-quay", opts...)
						set := p.SetSlowness
						p.SetSlowness = func(w string, slowness float64) { set(w, c.factor*slowness) }
						return p
					}, WithSpeeds(c.speedOf))
					require.NoError(t, err)
					require.Empty(t, x.Unfinished)
					return float64(x.InTime) / float64(x.Timed)
				}
				without, with := share(), share(plan.With(plan.Speeds))
				t.Logf("seed %d: %.3f of the jobs in time without speeds, %.3f with", seed, without, with)
				require.GreaterOrEqual(t, with, without+c.gain)
			}
		})
	}
}
