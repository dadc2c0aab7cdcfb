package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// burstLoad counts what happens to the work of each profile.
type burstLoad struct {
	*overload
	done, stopped map[string]int
	profile       map[string]string
	// lastWork is when a submission last had something running, and longestIdle the longest time that one had nothing.
	lastWork    map[string]time.Time
	longestIdle time.Duration
}

func newBurstLoad(workers int, opts ...Option) *burstLoad {
	b := &burstLoad{
		overload: newOverload(workers), done: map[string]int{}, stopped: map[string]int{}, profile: map[string]string{},
		lastWork: map[string]time.Time{},
	}
	for _, o := range opts {
		o(b.Planner)
	}
	return b
}

// add submits the units of a job; those of the quiet ones checkpoint.
func (b *burstLoad) add(profile string, s fleet.Shape, units int, run time.Duration) {
	b.jobs++
	key := fmt.Sprintf("%04d", b.jobs)
	for i := range units {
		id := fmt.Sprintf("%s/%d", key, i)
		b.runs[id] = run
		b.profile[id] = profile
		err := b.Submit(fleet.Job{
			ID: id, Submission: key, Organisation: "org" + key[3:], Profile: profile, Shape: s, RunTime: run, Submitted: b.at,
			LosesProgress: profile != "Bulk", Objective: 3 * time.Second, Stretch: 3,
		})
		if err != nil {
			panic(err)
		}
	}
	if profile == "Bulk" {
		b.lastWork[key] = b.at
	}
}

// advance makes one step and counts.
func (b *burstLoad) advance() {
	for id, at := range b.ends {
		if !b.at.Add(simStep).Before(at) {
			b.done[b.profile[id]]++
		}
	}
	d := b.step(simStep)
	for _, s := range d.Stops {
		b.stopped[b.profile[s.Job]]++
	}

	for id := range b.ends {
		key := id[:4]
		if _, ok := b.lastWork[key]; ok {
			b.lastWork[key] = b.at
		}
	}
	queued := map[string]bool{}
	for _, e := range b.Planner.jobs {
		if e.isQueued() {
			queued[e.job.Submission] = true
		}
	}
	for key, at := range b.lastWork {
		if queued[key] {
			b.longestIdle = max(b.longestIdle, b.at.Sub(at))
		}
	}
}

// burstTime is how long a burst of urgent gangs takes.
const burstTime = 2500 * time.Millisecond

// play runs bulk tasks, enough to fill the workers at any time, beside bursts of urgent gangs: every four seconds four gangs,
// which together take nearly half of the workers.
func (b *burstLoad) play(d time.Duration) {
	for t := time.Duration(0); t < d; t += simStep {
		if t%(4*time.Second) == 0 {
			for range 4 {
				b.add("Urgent", shape(4, 8, fleet.LevelDomain), 1, burstTime)
			}
		}
		if t%(3*time.Second) == 0 {
			b.add("Bulk", shape(1, 1, fleet.LevelDomain), 200, 4*time.Second)
		}
		b.advance()
	}
}

// TestBorrowersStartOnlyWhereTheyLikelyKeepTheirRoom is the load of the least urgent tasks that start in the pauses between urgent
// bursts and are stopped at the next one. With the mechanism hardly any is started in vain, nearly as many end, no urgent gang ends
// later, and no submission has nothing running for much longer than a burst lasts.
func TestBorrowersStartOnlyWhereTheyLikelyKeepTheirRoom(t *testing.T) {
	off, on := newBurstLoad(36), newBurstLoad(36, With(DelayCost))
	off.play(30 * time.Second)
	on.play(30 * time.Second)
	require.Greater(t, 2*off.stopped["Bulk"], off.done["Bulk"], "the load is one that stops much work")
	require.Less(t, 20*on.stopped["Bulk"], on.done["Bulk"])
	require.Greater(t, 10*on.done["Bulk"], 9*off.done["Bulk"])
	require.GreaterOrEqual(t, on.done["Urgent"], off.done["Urgent"])
	require.LessOrEqual(t, on.longestIdle, burstTime+2*time.Second)
}

// TestBorrowersDoNotHoldBackMoreUrgentWork is the load that keeps a gang waiting behind less urgent tasks: room is kept for urgent
// work, the gang may not take it, and tasks that checkpoint fill all the room up to it. The room that they have borrowed is there for
// the urgent work, so that the gang may start.
func TestBorrowersDoNotHoldBackMoreUrgentWork(t *testing.T) {
	for _, isOn := range []bool{false, true} {
		p := planner(t, workers(1, 8), profiles(bulk, normal, urgent), WithHeadroom(10*time.Second, 1))
		if isOn {
			With(DelayCost)(p)
		}
		require.NoError(t, p.Submit(job("burst", "CW", "Urgent", shape(4, 8, fleet.LevelRack))))
		d := p.Pass(start)
		run(p, d, start)
		at := start.Add(time.Second)
		p.Ended(Ended{Job: "burst", Result: ResultDone, At: at})
		for i := range 40 {
			require.NoError(t, p.Submit(job(fmt.Sprintf("task%02d", i), "Gear", "Bulk", shape(1, 1, fleet.LevelDomain))))
		}
		run(p, p.Pass(at), at)
		require.NoError(t, p.Submit(volatile("gang", "Normal", shape(2, 8, fleet.LevelRack))))
		d = p.Pass(at.Add(time.Second))
		require.Equal(t, isOn, len(d.Starts) == 1, "%v", p.FindStatus()[0])
	}
}

// TestRoomIsCountedThroughPasses guards against work that is held back, or started, by a count of the room that drifts in a pass: what
// a pass has counted at its end is what a new count finds. Some jobs start in a guarantee.
func TestRoomIsCountedThroughPasses(t *testing.T) {
	b := newBurstLoad(36, With(DelayCost))
	guaranteed := normal
	guaranteed.Guarantees = []config.Guarantee{{Organisation: "org1", Shape: shape(2, 8, fleet.LevelDomain), Gangs: 2}}
	b.Configure(profiles(bulk, guaranteed, urgent))
	counted, reserved := 0, 0
	for at := time.Duration(0); at < 12*time.Second; at += simStep {
		if at%(2*time.Second) == 0 {
			b.add("Urgent", shape(4, 8, fleet.LevelDomain), 1, burstTime)
			b.add("Normal", shape(2, 8, fleet.LevelDomain), 1, burstTime)
			b.add("Normal", shape(1, 1, fleet.LevelDomain), 20, burstTime)
			b.add("Bulk", shape(1, 3, fleet.LevelDomain), 60, 3*time.Second)
		}
		d := b.step(simStep)
		s := b.pass.scarcity
		if s.awaited > 0 || len(d.Stops) > 0 {
			continue
		}
		for _, x := range d.Starts {
			if b.Planner.jobs[x.Job.ID].gang != nil {
				reserved++
			}
		}
		fresh := scarcity{shapes: s.shapes}
		b.addUsable(&fresh)
		counted++
		require.Equal(t, b.freeAccelerators(), s.free, "at %v", at)
		for rank := 1; rank < rankCount; rank++ {
			require.InDelta(t, fresh.usable[rank], s.usable[rank], 1e-6, "rank %d at %v", rank, at)
		}
	}
	require.Greater(t, counted, 20)
	require.Positive(t, reserved)
}

// TestHeldBackCountsWaitingJobs guards against a count of held back jobs that has such as do start, or that an urgent pass resets: more
// urgent work comes and goes, and of two like tasks one is overdue.
func TestHeldBackCountsWaitingJobs(t *testing.T) {
	p := planner(t, workers(1, 8), profiles(bulk, normal, urgent), WithIdleBound(2*time.Second), With(DelayCost))
	require.NoError(t, p.Submit(job("full", "CW", "Bulk", shape(4, 8, fleet.LevelRack))))
	run(p, p.Pass(start), start)
	at := start
	for i := range 60 {
		at = at.Add(200 * time.Millisecond)
		for rank := 1; rank < rankCount; rank++ {
			p.demand[rank].Observe(at, 64*(i%2))
		}
	}
	submit := func(id string) {
		p.PassUrgent(at)
		j := job(id, "Gear", "Bulk", shape(1, 8, fleet.LevelDomain))
		j.Submission, j.Submitted = id, at
		require.NoError(t, p.Submit(j))
	}
	heldBack := func() int {
		c, ok := p.Competition(time.Second)
		require.True(t, ok)
		return c.HeldBack
	}
	submit("old")
	require.Empty(t, p.Pass(at).Starts)
	require.Equal(t, 1, heldBack())
	p.PassUrgent(at)
	require.Equal(t, 1, heldBack(), "an urgent pass leaves the count")
	at = at.Add(2500 * time.Millisecond)
	submit("new")
	d := p.Pass(at)
	require.Len(t, d.Starts, 1)
	require.Equal(t, "old", d.Starts[0].Job.ID)
	require.Equal(t, 1, heldBack(), "old starts and only new waits")
}
