package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/stretchr/testify/require"
)

// idleBound is how long an accepted job may have nothing running while the workers have room for it twice over.
const idleBound = 3 * time.Second

// requireStart makes passes every 50 ms until the job starts, and fails if that takes longer than idleBound.
func requireStart(t *testing.T, p *Planner, id string, at time.Time) {
	t.Helper()
	for now := at; !now.After(at.Add(idleBound)); now = now.Add(50 * time.Millisecond) {
		for _, s := range p.Pass(now).Starts {
			p.Started(s.Job.ID, now)
			if s.Job.ID == id {
				return
			}
		}
		require.True(t, p.FitsTwice(id), "%s no longer fits twice, %v after the first pass", id, now.Sub(at))
	}
	s, err := p.Status(id)
	require.NoError(t, err)
	t.Fatalf("%s is still queued after %v beside room for two of it: %s, %s", id, idleBound, p.WaitCause(id), s.Reason)
}

// TestJobDoesNotIdleBesideHeadroom guards against accepted jobs that run nothing for as long as the headroom for urgent work
// takes to decay.
func TestJobDoesNotIdleBesideHeadroom(t *testing.T) {
	p := planner(t, workers(6, 8), profiles(audit, urgent), WithHeadroom(10*time.Second, 1), WithIdleBound(2*time.Second))
	whole := shape(1, 8, fleet.LevelWorker)
	for i := range 30 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("long%02d", i), "Gear", "Audit", whole)))
	}
	for i := range 18 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("burst%02d", i), "CW", "Urgent", whole)))
	}
	d := p.Pass(start)
	require.Len(t, d.Starts, 48)
	run(p, d, start)
	at := start.Add(time.Second)
	for i := range 18 {
		p.Ended(Ended{Job: fmt.Sprintf("burst%02d", i), Result: ResultDone, At: at})
	}
	for i := range 8 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("late%02d", i), "Gear", "Audit", whole)))
	}
	d = p.Pass(at)
	require.Len(t, d.Starts, 8)
	run(p, d, at)
	j := volatile("small", "Audit", whole)
	j.Submitted = at
	require.NoError(t, p.Submit(j))
	requireStart(t, p, "small", at)
}

// TestGangDoesNotIdleBesideScatteredRoom guards against gangs that run nothing until a whole rack is free for them.
func TestGangDoesNotIdleBesideScatteredRoom(t *testing.T) {
	p := planner(t, workers(4, 4), profiles(audit), WithIdleBound(2*time.Second))
	for i := range 16 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("a%02d", i), "Gear", "Audit", shape(1, 8, fleet.LevelWorker))))
	}
	d := p.Pass(start)
	require.Len(t, d.Starts, 16)
	run(p, d, start)
	for i, s := range d.Starts {
		if i%2 == 0 {
			p.Ended(Ended{Job: s.Job.ID, Result: ResultDone, At: start})
		}
	}
	require.NoError(t, p.Submit(job("gang", "Gear", "Audit", shape(4, 8, fleet.LevelRack))))
	requireStart(t, p, "gang", start.Add(time.Millisecond))
}

// TestGangStartsInSeveralRacksOnceNoneHoldsIt guards against gangs that wait without end for a rack with enough workers for them, after
// one of its workers has gone; there is room for the gang once.
func TestGangStartsInSeveralRacksOnceNoneHoldsIt(t *testing.T) {
	ws := workers(2, 2)
	for i := range ws {
		ws[i].Labels = "fast"
	}
	p := planner(t, ws, profiles(audit), WithIdleBound(2*time.Second), WithPartialFleet())
	p.DropWorker(ws[0].Name)
	p.DropWorker(ws[2].Name)
	j := job("gang", "Gear", "Audit", shape(2, 8, fleet.LevelRack))
	j.Label = "fast"
	require.NoError(t, p.Submit(j))
	for now := start; now.Before(start.Add(idleBound)); now = now.Add(50 * time.Millisecond) {
		if len(p.Pass(now).Starts) > 0 {
			return
		}
	}
	t.Fatalf("the gang is still queued after %v: %s", idleBound, p.WaitCause("gang"))
}

// TestJobDoesNotIdleBesideQuarantinedWorkers guards against jobs that run nothing because the only workers with room are in
// quarantine.
func TestJobDoesNotIdleBesideQuarantinedWorkers(t *testing.T) {
	p := planner(t, workers(1, 4), profiles(audit), WithIdleBound(2*time.Second))
	require.NoError(t, p.Submit(job("long", "Gear", "Audit", shape(2, 8, fleet.LevelDomain))))
	d := p.Pass(start)
	require.Len(t, d.Starts, 1)
	run(p, d, start)
	var idle []fleet.Worker
	for _, w := range workers(1, 4) {
		if p.ledger.Get(w.Name).Used.Accelerators == 0 {
			idle = append(idle, w)
		}
	}
	require.Len(t, idle, 2)
	for _, w := range idle {
		for i := range 3 {
			p.RecordCrash(w.Name, fmt.Sprintf("%s-%d", w.Name, i), start)
		}
	}
	require.Empty(t, p.Pass(start).Starts)
	for _, w := range idle {
		require.True(t, p.ledger.Get(w.Name).Closed)
	}
	require.NoError(t, p.Submit(job("next", "Gear", "Audit", shape(1, 8, fleet.LevelWorker))))
	requireStart(t, p, "next", start.Add(time.Millisecond))
}

// TestOverdueJobLeavesRoomForUrgentWork verifies that an idle submission takes kept accelerators only if room for it is left
// beside it, and only for one of its jobs.
func TestOverdueJobLeavesRoomForUrgentWork(t *testing.T) {
	for _, x := range []struct{ kept, starts int }{{1, 0}, {2, 1}, {4, 1}} {
		t.Run(fmt.Sprintf("%d workers kept", x.kept), func(t *testing.T) {
			p := planner(t, workers(2, 4), profiles(audit, urgent), WithHeadroom(time.Hour, 1), WithIdleBound(2*time.Second))
			whole := shape(1, 8, fleet.LevelWorker)
			for i := range x.kept {
				require.NoError(t, p.Submit(job(fmt.Sprintf("burst%d", i), "CW", "Urgent", whole)))
			}
			for i := range 8 - x.kept {
				require.NoError(t, p.Submit(job(fmt.Sprintf("long%d", i), "Gear", "Audit", whole)))
			}
			d := p.Pass(start)
			require.Len(t, d.Starts, 8)
			run(p, d, start)
			for i := range x.kept {
				p.Ended(Ended{Job: fmt.Sprintf("burst%d", i), Result: ResultDone, At: start})
			}
			for i := range 4 {
				j := volatile(fmt.Sprintf("part%d", i), "Audit", whole)
				j.Submission = "all"
				require.NoError(t, p.Submit(j))
			}
			n := 0
			for i := range 100 {
				d := p.Pass(start.Add(time.Duration(i) * 50 * time.Millisecond))
				run(p, d, p.now)
				n += len(d.Starts)
			}
			require.Equal(t, x.starts, n)
		})
	}
}

// TestJobDoesNotIdleBehindTaskOfLostWorker guards against submissions that run nothing while one of their tasks is being stopped
// on a worker that does not answer.
func TestJobDoesNotIdleBehindTaskOfLostWorker(t *testing.T) {
	p := planner(t, workers(2, 4), profiles(audit, urgent), WithHeadroom(time.Hour, 1), WithIdleBound(2*time.Second))
	whole := shape(1, 8, fleet.LevelWorker)
	for i := range 7 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("burst%d", i), "CW", "Urgent", whole)))
	}
	first := volatile("first", "Audit", whole)
	first.Submission = "all"
	require.NoError(t, p.Submit(first))
	d := p.Pass(start)
	require.Len(t, d.Starts, 8)
	run(p, d, start)
	for i := range 4 {
		p.Ended(Ended{Job: fmt.Sprintf("burst%d", i), Result: ResultDone, At: start})
	}
	next := volatile("next", "Audit", whole)
	next.Submission = "all"
	require.NoError(t, p.Submit(next))
	p.Stopping("first")
	requireStart(t, p, "next", start)
}

// TestStartThatFailsDoesNotMakeJobOverdue guards against jobs that take kept room because a start failed beside a run that has
// just ended.
func TestStartThatFailsDoesNotMakeJobOverdue(t *testing.T) {
	p := planner(t, workers(1, 4), profiles(audit), WithIdleBound(2*time.Second))
	for _, id := range []string{"a", "b"} {
		j := job(id, "Gear", "Audit", shape(1, 8, fleet.LevelWorker))
		j.Submission = "all"
		require.NoError(t, p.Submit(j))
	}
	d := p.Pass(start)
	require.Len(t, d.Starts, 2)
	p.Started("a", start)
	at := start.Add(time.Minute)
	p.Pass(at)
	p.Ended(Ended{Job: "a", Result: ResultStopped, At: at, Requeue: true})
	p.Ended(Ended{Job: "b", Result: ResultStopped, At: at, Requeue: true})
	require.Equal(t, at, p.IdleSince("a"))
}

// fullOfLongRuns returns a planner in which the accelerators of kept workers are free and kept for urgent work. All other
// workers run the given jobs, each of which takes a whole worker, and long jobs.
func fullOfLongRuns(t *testing.T, ws []fleet.Worker, kept int, running ...fleet.Job) *Planner {
	t.Helper()
	p := planner(t, ws, profiles(audit, urgent), WithHeadroom(time.Hour, 1), WithIdleBound(2*time.Second))
	whole := shape(1, 8, fleet.LevelWorker)
	for i := range kept {
		require.NoError(t, p.Submit(job(fmt.Sprintf("burst%02d", i), "CW", "Urgent", whole)))
	}
	for i := range len(ws) - kept - len(running) {
		running = append(running, job(fmt.Sprintf("long%02d", i), "Gear", "Audit", whole))
	}
	for _, j := range running {
		require.NoError(t, p.Submit(j))
	}
	d := p.Pass(start)
	require.Len(t, d.Starts, len(ws))
	run(p, d, start)
	for i := range kept {
		p.Ended(Ended{Job: fmt.Sprintf("burst%02d", i), Result: ResultDone, At: start})
	}
	return p
}

// parts returns n jobs of one submission, each for a whole worker.
func parts(n int) []fleet.Job {
	out := make([]fleet.Job, n)
	for i := range out {
		out[i] = volatile(fmt.Sprintf("part%d", i), "Audit", shape(1, 8, fleet.LevelWorker))
		out[i].Submission = "all"
	}
	return out
}

// TestLastingTaskDoesNotIdleBehindOthersOfItsSubmission guards against tasks that last and run nothing because another task of
// their submission runs.
func TestLastingTaskDoesNotIdleBehindOthersOfItsSubmission(t *testing.T) {
	p := fullOfLongRuns(t, workers(1, 8), 4)
	for _, j := range parts(2) {
		j.Lasts = true
		require.NoError(t, p.Submit(j))
	}
	requireStart(t, p, "part1", start)
}

// TestJobDoesNotIdleBehindRunOnSilentWorker guards against submissions that run nothing because one of their tasks counts as
// running on a worker that no longer answers.
func TestJobDoesNotIdleBehindRunOnSilentWorker(t *testing.T) {
	js := parts(2)
	p := fullOfLongRuns(t, workers(1, 8), 4, js[0])
	s, err := p.Status(js[0].ID)
	require.NoError(t, err)
	w := p.ledger.Get(s.Workers[0]).Worker
	w.Leaving = true
	p.PutWorker(w)
	require.NoError(t, p.Submit(js[1]))
	requireStart(t, p, js[1].ID, start)
}

// TestJobDoesNotIdleBehindStartThatHangs guards against submissions that run nothing for as long as the start of one of their
// tasks has no outcome.
func TestJobDoesNotIdleBehindStartThatHangs(t *testing.T) {
	p := fullOfLongRuns(t, workers(1, 8), 4)
	js := parts(2)
	require.NoError(t, p.Submit(js[0]))
	at := start.Add(2 * time.Second)
	require.Len(t, p.Pass(at).Starts, 1)
	require.NoError(t, p.Submit(js[1]))
	requireStart(t, p, js[1].ID, at)
}

// TestJobDoesNotIdleBehindBackoff guards against jobs that run nothing for up to maxBackoff after runs that failed.
func TestJobDoesNotIdleBehindBackoff(t *testing.T) {
	p := planner(t, workers(1, 8), profiles(audit), WithIdleBound(2*time.Second))
	require.NoError(t, p.Submit(job("fails", "Gear", "Audit", shape(1, 8, fleet.LevelWorker))))
	at := start
	for range 7 {
		requireStart(t, p, "fails", at)
		at = p.now.Add(50 * time.Millisecond)
		p.Ended(Ended{Job: "fails", Result: ResultFailed, At: at, Requeue: true})
	}
	require.Greater(t, p.jobs["fails"].backoff, idleBound)
	requireStart(t, p, "fails", at)
}

// TestClaimDoesNotIdleBehindStopThatHangs guards against guaranteed gangs that run nothing while the stop of a borrower on a
// worker that does not answer has no outcome.
func TestClaimDoesNotIdleBehindStopThatHangs(t *testing.T) {
	claims := recon
	claims.Guarantees = guarantee("CW", 1, shape(2, 8, fleet.LevelRack))
	p := planner(t, workers(5, 2), profiles(audit, claims), WithIdleBound(2*time.Second))
	for i := range 10 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("a%02d", i), "Gear", "Audit", shape(1, 8, fleet.LevelWorker))))
	}
	d := p.Pass(start)
	require.Len(t, d.Starts, 10)
	run(p, d, start)
	for _, s := range d.Starts {
		if p.ledger.Get(s.Placement[0].Worker).Rack().Sites[0].Worker.Name == s.Placement[0].Worker {
			p.Ended(Ended{Job: s.Job.ID, Result: ResultDone, At: start})
		}
	}
	require.NoError(t, p.Submit(job("gang", "CW", "Recon", shape(2, 8, fleet.LevelRack))))
	d = p.Pass(start)
	require.Empty(t, d.Starts)
	require.Len(t, d.Stops, 1)
	requireStart(t, p, "gang", start.Add(time.Millisecond))
	require.Empty(t, p.UnkeptGuarantees())
}

// TestJobDoesNotIdleBesideAwaitedRoom guards against jobs that run nothing beside free workers for which an urgent gang waits until
// a stop ends that hangs.
func TestJobDoesNotIdleBesideAwaitedRoom(t *testing.T) {
	p := planner(t, workers(1, 4), profiles(audit, urgent), WithIdleBound(2*time.Second))
	whole := shape(1, 8, fleet.LevelWorker)
	require.NoError(t, p.Submit(job("long", "Gear", "Audit", whole)))
	d := p.Pass(start)
	run(p, d, start)
	require.NoError(t, p.Submit(job("gang", "CW", "Urgent", shape(4, 8, fleet.LevelDomain))))
	require.NoError(t, p.Submit(job("small", "Gear", "Audit", whole)))
	d = p.Pass(start.Add(time.Millisecond))
	require.Empty(t, d.Starts)
	require.Len(t, d.Stops, 1)
	requireStart(t, p, "small", start.Add(2*time.Millisecond))
}

// TestJobDoesNotIdleAsItIsSubmittedAgain guards against jobs that run nothing because each time that they leave a full queue begins
// their idle time anew.
func TestJobDoesNotIdleAsItIsSubmittedAgain(t *testing.T) {
	p := fullOfLongRuns(t, workers(1, 8), 4)
	j := volatile("j", "Audit", shape(1, 8, fleet.LevelWorker))
	for at := start; at.Before(start.Add(idleBound)); at = at.Add(50 * time.Millisecond) {
		p.Cancel([]string{j.ID})
		require.NoError(t, p.Submit(j))
		if len(p.Pass(at).Starts) > 0 {
			return
		}
	}
	t.Fatal("the job has not started")
}

// TestSubmissionsAreForgotten verifies that the planner keeps no submission without jobs for long.
func TestSubmissionsAreForgotten(t *testing.T) {
	p := fullOfLongRuns(t, workers(1, 8), 4)
	kept := len(p.submissions)
	for i := range 100 {
		j := volatile(fmt.Sprintf("j%d", i%10), "Audit", shape(1, 8, fleet.LevelWorker))
		require.NoError(t, p.Submit(j))
		p.Pass(start.Add(time.Duration(i) * 50 * time.Millisecond))
		p.Cancel([]string{j.ID})
		p.Ended(Ended{Job: j.ID, Result: ResultDone, At: p.now})
	}
	require.Greater(t, len(p.submissions), kept-4)
	require.LessOrEqual(t, len(p.emptied), 2+int(submissionKeep/(50*time.Millisecond)))
	p.Pass(p.now.Add(submissionKeep))
	require.Len(t, p.submissions, kept-4)
	require.Empty(t, p.emptied)
}

// TestSpreadJobDoesNotIdleBesideOneWorker guards against jobs with a limit of tasks per worker that run nothing because only one of
// two tasks that have room could have it at a time.
func TestSpreadJobDoesNotIdleBesideOneWorker(t *testing.T) {
	p := fullOfLongRuns(t, workers(1, 2), 1)
	j := volatile("spread", "Audit", shape(1, 4, fleet.LevelDomain))
	j.Group, j.PerWorker = "all", 1
	require.NoError(t, p.Submit(j))
	requireStart(t, p, "spread", start)
}

// TestOverdueJobKeepsToPlannedStops verifies that an overdue job takes a worker in quarantine rather than one with a planned stop
// that it would outlive.
func TestOverdueJobKeepsToPlannedStops(t *testing.T) {
	c := profiles(audit)
	c.Stops = map[string]config.Stop{"s": {
		Name: "s", Kind: "Worker", Domain: "north-quay", Target: "w000", From: start.Add(30 * time.Second), Until: start.Add(time.Hour),
	}}
	p := planner(t, workers(1, 4), c, WithIdleBound(2*time.Second))
	for _, w := range []string{"w002", "w003"} {
		for i := range 3 {
			p.RecordCrash(w, fmt.Sprintf("%s-%d", w, i), start)
		}
	}
	require.NoError(t, p.Submit(job("long", "Gear", "Audit", shape(1, 8, fleet.LevelWorker))))
	run(p, p.Pass(start), start)
	require.Equal(t, 8, p.ledger.Get("w001").Used.Accelerators)
	require.NoError(t, p.Submit(job("next", "Gear", "Audit", shape(1, 8, fleet.LevelWorker))))
	requireStart(t, p, "next", start.Add(time.Millisecond))
	require.Zero(t, p.ledger.Get("w000").Used.Accelerators)
}

// TestEveryOverdueJobIsLookedAt guards against jobs that run nothing because many idle jobs of other shapes come before them in the
// queue.
func TestEveryOverdueJobIsLookedAt(t *testing.T) {
	p := fullOfLongRuns(t, workers(1, 8), 4)
	for i := range 200 {
		j := volatile(fmt.Sprintf("large%03d", i), "Audit", shape(8, 8, fleet.LevelDomain))
		j.Shape.Memory += fleet.Bytes(i)
		require.NoError(t, p.Submit(j))
	}
	require.NoError(t, p.Submit(volatile("small", "Audit", shape(1, 8, fleet.LevelWorker))))
	requireStart(t, p, "small", start)
}

// TestOverdueJobsLeaveRoomForOneMore guards against jobs that take the last room that is kept for urgent work because there was
// room for two at the beginning of the pass.
func TestOverdueJobsLeaveRoomForOneMore(t *testing.T) {
	p := fullOfLongRuns(t, workers(1, 8), 3)
	for i := range 3 {
		require.NoError(t, p.Submit(volatile(fmt.Sprintf("idle%d", i), "Audit", shape(1, 8, fleet.LevelWorker))))
	}
	require.Empty(t, p.Pass(start).Starts)
	require.Len(t, p.Pass(start.Add(2*time.Second)).Starts, 2)
	require.Empty(t, p.Pass(start.Add(3*time.Second)).Starts)
}

// TestJobDoesNotIdleBehindStartToBeStopped guards against submissions that run nothing because a start without outcome for long
// succeeds, only to be stopped at once for other work.
func TestJobDoesNotIdleBehindStartToBeStopped(t *testing.T) {
	p := fullOfLongRuns(t, workers(1, 8), 4)
	js := parts(2)
	require.NoError(t, p.Submit(js[0]))
	at := start.Add(2 * time.Second)
	require.Len(t, p.Pass(at).Starts, 1)
	require.NoError(t, p.Submit(js[1]))
	p.requestStop(p.jobs[js[0].ID], "more urgent work takes its capacity")
	at = at.Add(maxStartTime - time.Millisecond)
	p.Started(js[0].ID, at)
	d := p.Pass(at)
	require.Len(t, d.Stops, 1)
	require.Len(t, d.Starts, 1)
	require.Equal(t, js[1].ID, d.Starts[0].Job.ID)
}

// TestStoppedJobHasNoBackoff guards against jobs that wait out the backoff of an earlier attempt after they were stopped.
func TestStoppedJobHasNoBackoff(t *testing.T) {
	p := planner(t, workers(1, 4), profiles(audit), WithIdleBound(2*time.Second))
	require.NoError(t, p.Submit(job("j", "Gear", "Audit", shape(1, 8, fleet.LevelWorker))))
	at := start
	for range 7 {
		requireStart(t, p, "j", at)
		at = p.now.Add(50 * time.Millisecond)
		p.Ended(Ended{Job: "j", Result: ResultLost, At: at, Requeue: true})
	}
	requireStart(t, p, "j", at)
	at = p.now.Add(50 * time.Millisecond)
	require.True(t, p.jobs["j"].notBefore.After(at))
	p.Ended(Ended{Job: "j", Result: ResultStopped, At: at, Requeue: true})
	require.Len(t, p.Pass(at).Starts, 1)
}

// TestRefusedLastResortIsNotRepeatedAtOnce guards against starts with every pass on the only worker with room, which refuses them.
func TestRefusedLastResortIsNotRepeatedAtOnce(t *testing.T) {
	p := planner(t, workers(1, 4), profiles(audit), WithIdleBound(2*time.Second))
	for i := range 3 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("long%d", i), "Gear", "Audit", shape(1, 8, fleet.LevelWorker))))
	}
	run(p, p.Pass(start), start)
	require.NoError(t, p.Submit(job("j", "Gear", "Audit", shape(1, 1, fleet.LevelWorker))))
	n := 0
	for at := start; at.Before(start.Add(6 * time.Second)); at = at.Add(20 * time.Millisecond) {
		for _, s := range p.Pass(at).Starts {
			n++
			p.Ended(Ended{Job: "j", Result: ResultStopped, Refused: []string{s.Placement[0].Worker}, At: at, Requeue: true})
		}
	}
	require.Greater(t, n, 6, "the worker may take the job again")
	require.Less(t, n, 14)
}

// TestUrgentGangGetsRoomBeforeOverdueJobs guards against urgent gangs that never start, because overdue jobs take the workers on
// which their stops have ended while other stops are under way.
func TestUrgentGangGetsRoomBeforeOverdueJobs(t *testing.T) {
	p := planner(t, workers(1, 8), profiles(audit, urgent), WithIdleBound(2*time.Second))
	whole := shape(1, 8, fleet.LevelWorker)
	for i := range 40 {
		require.NoError(t, p.Submit(job(fmt.Sprintf("a%02d", i), "Gear", "Audit", whole)))
	}
	run(p, p.Pass(start), start)
	at := start.Add(10 * time.Second)
	require.Empty(t, p.Pass(at).Starts)
	require.NoError(t, p.Submit(job("gang", "CW", "Urgent", shape(8, 8, fleet.LevelDomain))))
	d := p.Pass(at)
	require.Len(t, d.Stops, 8)
	for _, s := range d.Stops {
		at = at.Add(100 * time.Millisecond)
		p.Ended(Ended{Job: s.Job, Result: ResultStopped, At: at, Requeue: true})
		d = p.Pass(at)
	}
	require.Len(t, d.Starts, 1)
	require.Equal(t, "gang", d.Starts[0].Job.ID)
}
