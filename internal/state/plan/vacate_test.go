package plan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// stopAllButLast stops a gang, of which all tasks but the last end.
func stopAllButLast(p *Planner, id string, tasks int) {
	p.Stopping(id)
	for i := range tasks - 1 {
		p.Vacate(id, i)
	}
}

// TestRoomOfEndedTasksIsUsed guards against jobs that wait beside free workers because one task of a gang that is being stopped has
// not ended.
func TestRoomOfEndedTasksIsUsed(t *testing.T) {
	p := planner(t, workers(2, 4), profiles(audit), WithIdleBound(2*time.Second))
	require.NoError(t, p.Submit(job("gang", "CW", "Audit", shape(8, 8, fleet.LevelDomain))))
	run(p, p.Pass(start), start)
	for i := range 4 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("small%d", i), "Gear", "Audit", shape(1, 8, fleet.LevelDomain))))
	}
	require.Empty(t, p.Pass(start).Starts)
	stopAllButLast(p, "gang", 8)
	require.Len(t, p.Pass(start).Starts, 4)
	require.Equal(t, map[string]int{"CW": 8, "Gear": 32}, p.UsedAccelerators())
	s, err := p.Status("gang")
	require.NoError(t, err)
	require.Len(t, s.Workers, 1)
	p.Ended(Ended{Job: "gang", Result: ResultLost, At: start, Requeue: true})
	require.Equal(t, map[string]int{"Gear": 32}, p.UsedAccelerators())
}

// TestTasksVacateOnceAndOnlyWhileStopping verifies that a task gives its room back once, and none does while its job runs.
func TestTasksVacateOnceAndOnlyWhileStopping(t *testing.T) {
	p := planner(t, workers(1, 1), profiles(audit))
	require.NoError(t, p.Submit(job("gang", "CW", "Audit", shape(4, 1, fleet.LevelDomain))))
	run(p, p.Pass(start), start)
	used := func() int { return p.ledger.Get("w000").Used.Slots }
	p.Vacate("gang", 0)
	p.Vacate("other", 0)
	require.Equal(t, 4, used())
	p.Stopping("gang")
	for _, task := range []int{0, 2, 0, -1, 4} {
		p.Vacate("gang", task)
	}
	require.Equal(t, 2, used())
	p.Ended(Ended{Job: "gang", Result: ResultStopped, At: start, Requeue: true})
	require.Zero(t, used())
	require.Len(t, p.Pass(start).Starts, 1)
	require.Equal(t, 4, used())
}

// TestVacatedPlacesStayReserved verifies that the guarantee of a gang keeps the places of its ended tasks from work that cannot be
// stopped, and lends them.
func TestVacatedPlacesStayReserved(t *testing.T) {
	firm := job("firm", "Gear", "", shape(1, 1, fleet.LevelWorker))
	for name, c := range map[string]struct {
		job    fleet.Job
		starts int
	}{
		"work that cannot be stopped":    {firm, 0},
		"work that can be stopped":       {job("lent", "Gear", "Audit", shape(1, 1, fleet.LevelWorker)), 1},
		"work of the same guarantee":     {job("own", "CW", "Recon", shape(8, 1, fleet.LevelRack)), 1},
		"too much of the same guarantee": {job("own", "CW", "Recon", shape(64, 1, fleet.LevelRack)), 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := planner(t, workers(1, 8), profiles(audit, recon), WithPartialFleet())
			require.NoError(t, p.Submit(job("gang", "CW", "Recon", shape(64, 1, fleet.LevelRack))))
			run(p, p.Pass(start), start)
			require.NoError(t, p.Submit(c.job))
			require.Empty(t, p.Pass(start).Starts)
			stopAllButLast(p, "gang", 64)
			require.Len(t, p.Pass(start).Starts, c.starts)
			require.Empty(t, p.UnkeptGuarantees())
			p.Ended(Ended{Job: "gang", Result: ResultStopped, At: start})
			p.Pass(start)
			require.Empty(t, p.UnkeptGuarantees())
		})
	}
}

// TestVacatedTaskHoldsNoExtraMemory guards against memory that stays booked for a task that has ended, or is booked by a report that
// comes late.
func TestVacatedTaskHoldsNoExtraMemory(t *testing.T) {
	p := planner(t, workers(1, 1), profiles(audit))
	require.NoError(t, p.Submit(job("gang", "CW", "Audit", shape(2, 1, fleet.LevelDomain))))
	run(p, p.Pass(start), start)
	u := Usage{Job: "gang", Worker: "w000", Memory: 11 * fleet.Gigabyte}
	p.RecordUsage(u)
	require.Equal(t, 12*fleet.Gigabyte, p.ledger.Get("w000").Used.Memory)
	stopAllButLast(p, "gang", 2)
	p.RecordUsage(u)
	require.Equal(t, fleet.Gigabyte, p.ledger.Get("w000").Used.Memory)
}

// TestVacatedTaskCountsNotForSpread guards against tasks that wait for the end of a task of their group on each worker, of which all
// but one have ended.
func TestVacatedTaskCountsNotForSpread(t *testing.T) {
	p := planner(t, workers(1, 2), profiles(audit))
	spread := func(id string, tasks int) fleet.Job {
		j := job(id, "CW", "Audit", shape(tasks, 1, fleet.LevelDomain))
		j.Group, j.PerWorker = "all", 1
		return j
	}
	require.NoError(t, p.Submit(spread("gang", 2)))
	run(p, p.Pass(start), start)
	require.NoError(t, p.Submit(spread("next", 1)))
	require.Empty(t, p.Pass(start).Starts)
	stopAllButLast(p, "gang", 2)
	require.Len(t, p.Pass(start).Starts, 1)
}

// TestUrgentGangStartsOnVacatedRoom guards against urgent gangs that wait for the last task of the gang that is stopped for them,
// though the others had all the room that they need.
func TestUrgentGangStartsOnVacatedRoom(t *testing.T) {
	p := planner(t, workers(1, 4), profiles(audit, urgent))
	require.NoError(t, p.Submit(job("gang", "Gear", "Audit", shape(4, 8, fleet.LevelDomain))))
	run(p, p.Pass(start), start)
	require.NoError(t, p.Submit(job("small", "Gear", "Audit", shape(1, 8, fleet.LevelDomain))))
	require.NoError(t, p.Submit(job("big", "CW", "Urgent", shape(3, 8, fleet.LevelDomain))))
	at := start.Add(time.Second)
	require.Len(t, p.Pass(at).Stops, 1)
	p.Stopping("gang")
	p.Vacate("gang", 0)
	p.Vacate("gang", 1)
	require.Empty(t, p.Pass(at).Starts, "the urgent gang waits for the room of three tasks")
	p.Vacate("gang", 2)
	d := p.Pass(at)
	require.Len(t, d.Starts, 1)
	require.Equal(t, "big", d.Starts[0].Job.ID)
}

// TestVacatedRoomCountsOnce guards against urgent jobs that wait for room which is counted both as free and as that of a gang that is
// being stopped.
func TestVacatedRoomCountsOnce(t *testing.T) {
	p := planner(t, workers(1, 1), profiles(audit, urgent))
	require.NoError(t, p.Submit(job("gang", "Gear", "Audit", shape(2, 3, fleet.LevelDomain))))
	require.NoError(t, p.Submit(job("other", "Gear", "Audit", shape(1, 2, fleet.LevelDomain))))
	run(p, p.Pass(start), start)
	stopAllButLast(p, "gang", 2)
	require.NoError(t, p.Submit(job("big", "CW", "Urgent", shape(1, 8, fleet.LevelDomain))))
	d := p.Pass(start.Add(time.Second))
	require.Len(t, d.Stops, 1)
	require.Equal(t, "other", d.Stops[0].Job)
}

// TestLostWorkerHasNoVacatedTask verifies that a gang is not among the jobs of a worker on which its task has ended.
func TestLostWorkerHasNoVacatedTask(t *testing.T) {
	p := planner(t, workers(1, 2), profiles(audit))
	require.NoError(t, p.Submit(job("gang", "CW", "Audit", shape(2, 8, fleet.LevelDomain))))
	d := p.Pass(start)
	run(p, d, start)
	stopAllButLast(p, "gang", 2)
	require.Empty(t, p.DropWorker(d.Starts[0].Placement[0].Worker))
	require.Equal(t, []string{"gang"}, p.DropWorker(d.Starts[0].Placement[1].Worker))
}

// TestGuaranteeIsPlacedOnVacatedRoom guards against guarantees that stay unkept until the last task of a gang has ended, though its
// other tasks had the room.
func TestGuaranteeIsPlacedOnVacatedRoom(t *testing.T) {
	p := planner(t, workers(2, 8), profiles(recon))
	p.Adopt(job("firm", "Gear", "", shape(2, 1, fleet.LevelDomain)), []fleet.Assignment{{Task: 0, Worker: "w000"}, {Task: 1, Worker: "w008"}}, start)
	p.Pass(start)
	require.Len(t, p.UnkeptGuarantees(), 1)
	stopAllButLast(p, "firm", 2)
	require.Empty(t, p.UnkeptGuarantees())
}

// TestHeadroomForUrgentGangThatIsStopped verifies that room which the tasks of an urgent gang had counts as room that urgent work
// needs.
func TestHeadroomForUrgentGangThatIsStopped(t *testing.T) {
	p := planner(t, workers(2, 4), profiles(audit, urgent), WithHeadroom(10*time.Second, 1))
	require.NoError(t, p.Submit(job("gang", "CW", "Urgent", shape(4, 8, fleet.LevelDomain))))
	require.NoError(t, p.Submit(job("long", "Gear", "Audit", shape(4, 8, fleet.LevelDomain))))
	d := p.Pass(start)
	require.Len(t, d.Starts, 2)
	run(p, d, start)
	stopAllButLast(p, "gang", 4)
	require.NoError(t, p.Submit(volatile("small", "Audit", shape(1, 8, fleet.LevelDomain))))
	require.Empty(t, p.Pass(start).Starts)
	require.Equal(t, WaitHeadroom, p.WaitCause("small"))
}

// vacate ends the last task of a job that runs several, as part of its stop.
func (g *guaranteeModel) vacate(t *rapid.T) {
	var ids []string
	for id, ws := range g.running {
		if len(ws) > 1 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "vacates")
	last := len(g.running[id]) - 1
	g.p.Stopping(id)
	g.p.Vacate(id, last)
	g.running[id] = g.running[id][:last]
}

// TestGuaranteesHoldBesideVacatedPlaces drives planners with random actions, as TestGuaranteesHoldAtEveryStep does, in which
// the tasks of gangs also end one by one.
func TestGuaranteesHoldBesideVacatedPlaces(t *testing.T) {
	safe := 0
	rapid.Check(t, func(t *rapid.T) {
		g := newGuaranteeModel(t)
		actions := g.actions()
		actions["vacate"] = g.vacate
		t.Repeat(actions)
		safe += g.safe
		if g.unsafe != "" {
			t.Fatal(g.unsafe)
		}
	})
	require.Positive(t, safe)
}
