package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func workers(racks, each int) []fleet.Worker {
	var ws []fleet.Worker
	for i := range racks * each {
		ws = append(ws, fleet.Worker{
			Name: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%02d", i/each), Domain: "north-quay",
			Slots: 8, Accelerators: 8, Processors: 64, Memory: 128 * fleet.Gigabyte,
		})
	}
	return ws
}

func shape(tasks, accs int, l fleet.Level) fleet.Shape {
	return fleet.Shape{Tasks: tasks, Accelerators: accs, Processors: 1, Memory: fleet.Gigabyte, Adjacent: l}
}

func profiles(ps ...config.Profile) config.Config {
	c := config.Config{Profiles: map[string]config.Profile{}}
	for _, p := range ps {
		c.Profiles[p.Name] = p
	}
	return c
}

func guarantee(org string, gangs int, s fleet.Shape) []config.Guarantee {
	return []config.Guarantee{{Organisation: org, Domain: "north-quay", Gangs: gangs, Shape: s}}
}

var (
	audit = config.Profile{
		Name: "Audit", Urgency: config.Quiet, WaitBound: time.Hour, Stoppable: true, ReclaimBound: 2 * time.Second,
	}
	recon = config.Profile{
		Name: "Recon", Urgency: config.Normal, WaitBound: 10 * time.Minute,
		Guarantees: guarantee("CW", 1, shape(64, 1, fleet.LevelRack)),
	}
)

func planner(t *testing.T, ws []fleet.Worker, c config.Config, opts ...Option) *Planner {
	t.Helper()
	p := New("north-quay", opts...)
	p.Configure(c)
	for _, w := range ws {
		p.PutWorker(w)
	}
	return p
}

func job(id, org, profile string, s fleet.Shape) fleet.Job {
	return fleet.Job{ID: id, Organisation: org, Profile: profile, Shape: s, RunTime: time.Minute, Submitted: start}
}

func run(p *Planner, d Decisions, at time.Time) {
	for _, s := range d.Starts {
		p.Started(s.Job.ID, at)
	}
}

func TestClaimStopsBorrowers(t *testing.T) {
	p := planner(t, workers(1, 8), profiles(audit, recon))
	for i := range 8 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("a%d", i), "Gear", "Audit", shape(8, 1, fleet.LevelWorker))))
	}
	d := p.Pass(start)
	require.Len(t, d.Starts, 8)
	run(p, d, start)

	require.NoError(t, p.Submit(job("big", "CW", "Recon", shape(64, 1, fleet.LevelRack))))
	d = p.Pass(start.Add(time.Second))
	require.Len(t, d.Stops, 8)
	require.Equal(t, 2*time.Second, d.Stops[0].Grace)
	s, err := p.Status("big")
	require.NoError(t, err)
	require.Equal(t, "waits for 64 accelerators in one rack; 1 rack with borrowed work of 8 jobs, reclaim under way", s.Reason)

	for _, x := range d.Stops {
		p.Ended(Ended{Job: x.Job, Result: ResultStopped, Progress: time.Second, Requeue: true})
	}
	d = p.Pass(start.Add(3 * time.Second))
	require.Len(t, d.Starts, 1)
	require.Equal(t, "big", d.Starts[0].Job.ID)
	require.Empty(t, p.UnkeptGuarantees())
}

func TestUnstoppableWorkLeavesGuarantees(t *testing.T) {
	cases := map[string]struct {
		racks int
		job   fleet.Job
		want  bool
	}{
		"the guarantee needs the only rack":     {1, job("j", "Gear", "", shape(1, 1, fleet.LevelWorker)), false},
		"two racks leave one":                   {2, job("j", "Gear", "", shape(64, 1, fleet.LevelRack)), true},
		"an idempotent job may not borrow":      {1, fleet.Job{ID: "j", Organisation: "Gear", Profile: "Audit", Key: "k", Shape: shape(1, 1, fleet.LevelWorker)}, false},
		"a preemptible job may borrow":          {1, job("j", "Gear", "Audit", shape(1, 1, fleet.LevelWorker)), true},
		"the organisation claims its guarantee": {1, job("j", "CW", "Recon", shape(64, 1, fleet.LevelRack)), true},
		"the organisation claims a part of it":  {1, job("j", "CW", "Recon", shape(3, 1, fleet.LevelRack)), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := planner(t, workers(c.racks, 8), profiles(audit, recon))
			err := p.Submit(c.job)
			if err != nil {
				require.ErrorIs(t, err, ErrNeverFits)
			}
			d := p.Pass(start)
			require.Equal(t, c.want, len(d.Starts) == 1)
			require.Empty(t, p.UnkeptGuarantees())
		})
	}
}

func TestPlannedStopTakesNoWorkThatOutlivesIt(t *testing.T) {
	c := profiles(audit)
	c.Stops = map[string]config.Stop{"s": {
		Name: "s", Kind: "Worker", Domain: "north-quay", Target: "w000",
		From: start.Add(2 * time.Minute), Until: start.Add(time.Hour),
	}}
	p := planner(t, workers(1, 1), c)
	long := job("long", "Gear", "Audit", shape(1, 1, fleet.LevelWorker))
	long.RunTime = time.Hour
	require.NoError(t, p.Submit(long))
	require.NoError(t, p.Submit(job("short", "Gear", "Audit", shape(1, 1, fleet.LevelWorker))))
	d := p.Pass(start)
	require.Len(t, d.Starts, 1)
	require.Equal(t, "short", d.Starts[0].Job.ID)
	require.Empty(t, p.Pass(start.Add(3*time.Minute)).Starts)
	require.Len(t, p.Pass(start.Add(2*time.Hour)).Starts, 1)
}

func TestLostRackNamesUnkeptGuarantees(t *testing.T) {
	p := planner(t, workers(2, 8), profiles(recon))
	require.Empty(t, p.UnkeptGuarantees())
	p.DropWorker("w000")
	require.Empty(t, p.UnkeptGuarantees(), "the reservation moves to the other rack")
	p.DropWorker("w008")
	us := p.UnkeptGuarantees()
	require.Len(t, us, 1)
	require.Equal(t, 1, us[0].Gangs)
	require.Contains(t, us[0].Reason, "at most 56")
}

func TestMemoryBeyondDeclared(t *testing.T) {
	firm := config.Profile{Name: "Firm", Urgency: config.Normal}
	cases := map[string]struct {
		profile string
		key     string
		used    fleet.Bytes
		stops   int
		share   float64
	}{
		"the worker can spare it":                     {"Audit", "", 100 * fleet.Gigabyte, 0, 0},
		"stoppable work moves":                        {"Audit", "", 127 * fleet.Gigabyte, 1, 0},
		"an idempotent job is throttled, not stopped": {"Audit", "k", 127 * fleet.Gigabyte, 0, throttledShare},
		"firm work is throttled":                      {"Firm", "", 127 * fleet.Gigabyte, 0, throttledShare},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := planner(t, workers(1, 1), profiles(audit, firm))
			big := shape(1, 1, fleet.LevelWorker)
			big.Memory = 20 * fleet.Gigabyte
			j := job("grows", "Gear", c.profile, big)
			j.Key = c.key
			require.NoError(t, p.Submit(j))
			require.NoError(t, p.Submit(job("neighbour", "Gear", "Firm", shape(2, 1, fleet.LevelWorker))))
			run(p, p.Pass(start), start)
			p.RecordUsage(Usage{Job: "grows", Worker: "w000", Memory: c.used})
			d := p.Pass(start.Add(time.Second))
			require.Len(t, d.Stops, c.stops)
			require.Equal(t, c.share > 0, len(d.Throttles) == 1)
			if c.share > 0 {
				require.InDelta(t, c.share, d.Throttles[0].Share, 0)
			}
			if c.stops == 0 && c.share == 0 {
				require.Equal(t, 102*fleet.Gigabyte, p.ledger.Get("w000").Used.Memory)
			}
			p.Ended(Ended{Job: "grows", Result: ResultDone})
			require.Equal(t, 2*fleet.Gigabyte, p.ledger.Get("w000").Used.Memory)
		})
	}
}

func TestQueueLimitsAndMassCancel(t *testing.T) {
	p := planner(t, workers(1, 1), profiles(audit, recon), WithQueueLimits(10_000, 12_000))
	var ids []string
	for i := range 11_000 {
		id := fmt.Sprintf("a%05d", i)
		err := p.Submit(job(id, "Gear", "Audit", shape(1, 1, fleet.LevelWorker)))
		if i < 10_000 {
			require.NoError(t, err)
			ids = append(ids, id)
			continue
		}
		var full ErrQueueRefused
		require.ErrorAs(t, err, &full)
		require.ErrorIs(t, err, ErrQueueFull)
		require.Positive(t, full.RetryAfter)
	}
	for i := range 3000 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("n%05d", i), "Press", "", shape(1, 1, fleet.LevelWorker))))
	}
	d := p.Pass(start)
	require.Len(t, d.Refusals, 1000, "the newest of the least urgent are shed for more urgent work")
	for _, x := range d.Refusals {
		require.Positive(t, x.RetryAfter)
		require.False(t, x.Ran)
	}
	require.Len(t, p.Cancel(ids), 9000)
	require.Empty(t, p.Cancel(ids), "cancelling again changes nothing")
	require.Len(t, p.jobs, 3000)
}

func TestNeverFitsNamesTheNearest(t *testing.T) {
	cases := map[string]struct {
		shape, want fleet.Shape
	}{
		"too large for a worker":   {shape(9, 1, fleet.LevelWorker), shape(9, 1, fleet.LevelRack)},
		"too large for a rack":     {shape(65, 1, fleet.LevelRack), shape(65, 1, fleet.LevelDomain)},
		"too large for the domain": {shape(129, 1, fleet.LevelDomain), shape(128, 1, fleet.LevelDomain)},
		"too large a task":         {shape(1, 9, fleet.LevelWorker), shape(1, 8, fleet.LevelWorker)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := planner(t, workers(2, 8), profiles(audit))
			var e ErrShapeNeverFits
			require.ErrorAs(t, p.Submit(job("j", "Gear", "Audit", c.shape)), &e)
			require.Equal(t, c.want, e.Nearest)
			require.ErrorIs(t, e, ErrNeverFits)
		})
	}
}

func TestJobThatNeverRunsIsRefused(t *testing.T) {
	p := planner(t, workers(2, 8), profiles(audit))
	require.NoError(t, p.Submit(job("bad", "Gear", "Audit", shape(1, 1, fleet.LevelWorker))))
	seen := map[string]bool{}
	for i := range 10 {
		at := start.Add(time.Duration(i) * time.Minute)
		d := p.Pass(at)
		if len(d.Refusals) > 0 {
			require.Contains(t, d.Refusals[0].Reason, "different workers")
			require.True(t, d.Refusals[0].Ran)
			require.Len(t, seen, 3)
			return
		}
		run(p, d, at)
		w := d.Starts[0].Placement[0].Worker
		require.False(t, seen[w], "another worker each time")
		seen[w] = true
		p.Ended(Ended{Job: "bad", Result: ResultFailed, Workers: []string{w}, At: at, Requeue: true})
	}
	t.Fatal("never refused")
}

func TestNoStartBacksOffToAnotherWorker(t *testing.T) {
	p := planner(t, workers(1, 4), profiles(audit))
	require.NoError(t, p.Submit(job("j", "Gear", "Audit", shape(1, 1, fleet.LevelWorker))))
	d := p.Pass(start)
	first := d.Starts[0].Placement[0].Worker
	p.Ended(Ended{Job: "j", Result: ResultNoStart, Workers: []string{first}, At: start, Requeue: true})
	require.Empty(t, p.Pass(start.Add(minBackoff/2)).Starts)
	require.Equal(t, start.Add(minBackoff), p.Next(start))
	d = p.Pass(start.Add(minBackoff))
	require.Len(t, d.Starts, 1)
	require.NotEqual(t, first, d.Starts[0].Placement[0].Worker)
}

// gangWait returns how long a gang of a whole rack waits while small jobs of another organisation keep arriving.
func gangWait(t *testing.T, greedy bool) time.Duration {
	p := planner(t, workers(1, 8), profiles(config.Profile{Name: "Firm", Urgency: config.Normal, WaitBound: 10 * time.Minute}))
	p.noReservations = greedy
	ends := map[string]time.Time{}
	for i := range 240 {
		at := start.Add(time.Duration(i) * 30 * time.Second)
		for id, end := range ends {
			if !at.Before(end) {
				p.Ended(Ended{Job: id, Result: ResultDone, At: at})
				delete(ends, id)
			}
		}
		for k := range 3 {
			j := job(fmt.Sprintf("s%d-%d", i, k), "Gear", "Firm", shape(2, 1, fleet.LevelWorker))
			j.Submitted, j.RunTime = at, 5*time.Minute
			require.NoError(t, p.Submit(j))
		}
		if i == 20 {
			j := job("gang", "Press", "Firm", shape(64, 1, fleet.LevelRack))
			j.Submitted = at
			require.NoError(t, p.Submit(j))
		}
		d := p.Pass(at)
		run(p, d, at)
		for _, s := range d.Starts {
			if s.Job.ID == "gang" {
				return at.Sub(s.Job.Submitted)
			}
			ends[s.Job.ID] = at.Add(5 * time.Minute)
		}
	}
	return time.Hour
}

func TestLargeGangIsNotStarved(t *testing.T) {
	require.LessOrEqual(t, gangWait(t, false), 15*time.Minute)
	require.Equal(t, time.Hour, gangWait(t, true), "without a reservation it never starts")
}

func TestReturningWorkerStillKeepsGuarantees(t *testing.T) {
	p := planner(t, workers(1, 8), profiles(audit, recon))
	p.Pass(start)
	p.DropWorker("w000")
	p.Pass(start.Add(2 * time.Minute))
	require.Len(t, p.UnkeptGuarantees(), 1)
	p.PutWorker(workers(1, 8)[0])
	require.NoError(t, p.Submit(job("big", "CW", "Recon", shape(64, 1, fleet.LevelRack))))
	d := p.Pass(start.Add(3 * time.Minute))
	require.Equal(t, WorkerProbation, p.FindWorkers()[0].State)
	require.Empty(t, p.UnkeptGuarantees())
	require.Len(t, d.Starts, 1)
}
