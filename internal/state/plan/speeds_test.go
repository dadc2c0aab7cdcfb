package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/place"
	"github.com/stretchr/testify/require"
)

// unevenPlanner returns a planner with one rack of workers, whose slowness is given for each; zero stands for unknown.
func unevenPlanner(t *testing.T, slowness ...float64) *Planner {
	t.Helper()
	ws := workers(1, len(slowness))
	p := planner(t, ws, profiles(audit, urgent), With(Speeds))
	for i, x := range slowness {
		p.SetSlowness(ws[i].Name, x)
	}
	return p
}

// timedJob returns a job with a run time and a turnaround target relative to it.
func timedJob(id, profile string, s fleet.Shape, stretch float64) fleet.Job {
	j := job(id, "CW", profile, s)
	j.Submitted, j.RunTime, j.Stretch = start, 2*time.Second, stretch
	return j
}

// placedOn returns the workers of each start.
func placedOn(d Decisions) map[string][]string {
	out := map[string][]string{}
	for _, s := range d.Starts {
		for _, a := range s.Placement {
			out[s.Job.ID] = append(out[s.Job.ID], a.Worker)
		}
	}
	return out
}

// TestUrgentGangsEndInTime answers a load of urgent gangs whose targets leave little room, on workers of which some are too slow
// for them: a gang avoids those while there is other room, and takes them if there is none.
func TestUrgentGangsEndInTime(t *testing.T) {
	p := unevenPlanner(t, 1.6, 1, 0, 0.6)
	for i := range 4 {
		require.NoError(t, p.Submit(timedJob(fmt.Sprint(i), "Urgent", shape(1, 8, fleet.LevelDomain), 1.5)))
	}
	require.Equal(t, map[string][]string{"0": {"w003"}, "1": {"w001"}, "2": {"w002"}, "3": {"w000"}}, placedOn(p.Pass(start)))
}

// TestPatientWorkLeavesFastWorkers answers a long queue of work with time to spare that comes before urgent work: it takes the
// slow workers first and the fast ones last.
func TestPatientWorkLeavesFastWorkers(t *testing.T) {
	p := unevenPlanner(t, 0.6, 1, 1.6)
	for i := range 3 {
		require.NoError(t, p.Submit(timedJob(fmt.Sprint(i), "Audit", shape(1, 8, fleet.LevelDomain), 3)))
	}
	require.Equal(t, map[string][]string{"0": {"w002"}, "1": {"w001"}, "2": {"w000"}}, placedOn(p.Pass(start)))
}

// TestPatientWorkAvoidsWorkersThatMakeItLate guards against patient work that goes to slow workers although it would miss its
// target there.
func TestPatientWorkAvoidsWorkersThatMakeItLate(t *testing.T) {
	p := unevenPlanner(t, 1.6, 1)
	require.NoError(t, p.Submit(timedJob("0", "Audit", shape(1, 8, fleet.LevelDomain), 1.5)))
	require.Equal(t, map[string][]string{"0": {"w001"}}, placedOn(p.Pass(start)))
}

// TestLastingWorkTakesNoSlowWorkersFirst guards tasks that serve callers for as long as they run against a place on slow workers, as
// they would never be done there.
func TestLastingWorkTakesNoSlowWorkersFirst(t *testing.T) {
	p := unevenPlanner(t, 1, 1.6)
	j := timedJob("0", "Audit", shape(1, 8, fleet.LevelDomain), 0)
	j.Lasts = true
	require.NoError(t, p.Submit(j))
	require.Equal(t, map[string][]string{"0": {"w000"}}, placedOn(p.Pass(start)))
}

// TestGangsAreAlikeInSpeed guards against gangs spread over fast and slow workers, of which the fast ones then wait.
func TestGangsAreAlikeInSpeed(t *testing.T) {
	p := unevenPlanner(t, 1.6, 1, 1.6, 1)
	for i := range 2 {
		require.NoError(t, p.Submit(timedJob(fmt.Sprint(i), "Audit", shape(2, 8, fleet.LevelDomain), 3)))
	}
	require.Equal(t, map[string][]string{"0": {"w000", "w002"}, "1": {"w001", "w003"}}, placedOn(p.Pass(start)))
}

// TestHeadroomCountsFastWorkers answers patient work that would lose its progress, with room on slow workers beside the room that
// is kept for urgent work: it may start there, but not on the last workers that are fast enough.
func TestHeadroomCountsFastWorkers(t *testing.T) {
	p := unevenPlanner(t, 1, 1, 1.6)
	p.headroom = headroomSettings{decay: time.Minute, share: 1}
	require.NoError(t, p.Submit(timedJob("urgent", "Urgent", shape(2, 8, fleet.LevelDomain), 1.5)))
	run(p, p.Pass(start), start)
	p.Ended(Ended{Job: "urgent", Result: ResultDone, At: start.Add(time.Second)})
	for i := range 2 {
		j := timedJob(fmt.Sprint(i), "Audit", shape(1, 8, fleet.LevelDomain), 3)
		j.LosesProgress = true
		require.NoError(t, p.Submit(j))
	}
	require.Equal(t, map[string][]string{"0": {"w002"}}, placedOn(p.Pass(start.Add(2*time.Second))))
}

// TestRunTimesAreLearnedApartFromSpeed guards against run times learned on slow workers that make all later work seem late.
func TestRunTimesAreLearnedApartFromSpeed(t *testing.T) {
	p := unevenPlanner(t, 1.6, 1)
	for i := range 8 {
		require.NoError(t, p.Submit(timedJob(fmt.Sprint(i), "Audit", shape(1, 8, fleet.LevelDomain), 3)))
		now := start.Add(time.Duration(i) * time.Minute)
		d := p.Pass(now)
		run(p, d, now)
		p.Ended(Ended{Job: fmt.Sprint(i), Result: ResultDone, At: now.Add(3200 * time.Millisecond)})
	}
	require.NoError(t, p.Submit(timedJob("next", "Audit", shape(1, 8, fleet.LevelDomain), 3)))
	require.InDelta(t, 2, p.runTime(p.jobs["next"]).Seconds(), 0.01)
	require.InDelta(t, 3.2, p.runTimeOn(p.jobs["next"], []*place.Site{p.ledger.Get("w000"), p.ledger.Get("w001")}).Seconds(), 0.01)
}

// TestAlikeWorkersArePlacedAsBefore guards deployments with alike workers against any change by the mechanism.
func TestAlikeWorkersArePlacedAsBefore(t *testing.T) {
	with, without := newOverload(60), newOverload(60)
	With(Speeds)(with.Planner)
	for _, r := range with.ledger.Racks() {
		for _, s := range r.Sites {
			with.SetSlowness(s.Worker.Name, 1)
		}
	}
	for _, o := range []*overload{with, without} {
		o.fill(300)
		for range 30 {
			o.urgentBurst(1)
			o.step(100 * time.Millisecond)
		}
	}
	require.Equal(t, without.ends, with.ends)
}
