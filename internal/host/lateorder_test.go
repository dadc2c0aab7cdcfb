package host

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

const (
	// darkTime is the time between two lifetimes of a worker, in which orders to it are not answered.
	darkTime = 600 * time.Millisecond
	// maxOrderDelay bounds the time from the sending of an order to its execution by a worker that does not answer.
	maxOrderDelay = 4 * time.Second
)

// restartLate starts workers that have ended again under their names; they also execute the orders to their former lifetimes.
func (r *roster) restartLate(ws []fleet.Worker, draw standin.DrawDelay) {
	for _, w := range ws {
		r.mu.Lock()
		r.removed[w.Name] = false
		r.mu.Unlock()
		r.s.runners.Restart(w, draw)
		r.list(w, false)
	}
}

// orderAfter returns a delay after the restart at which orders are executed that are not too old then.
func orderAfter(delay time.Duration) standin.DrawDelay {
	return func(age time.Duration) (time.Duration, bool) { return delay, age+delay <= maxOrderDelay }
}

// TestNoTaskRunsTwiceAfterDomainIsRestartedAndCutOff guards against two runs of one task at a time: the workers of a failure domain are back under
// their names, execute orders to their former lifetimes, and are cut off soon after, with and without a new owner in between.
func TestNoTaskRunsTwiceAfterDomainIsRestartedAndCutOff(t *testing.T) {
	for name, f := range map[string]func(x *mixedSite) []fleet.Worker{"renewals": (*mixedSite).workThenRestart, "starts": (*mixedSite).leaveStarts} {
		for _, isKilled := range []bool{false, true} {
			for delay := time.Duration(0); delay <= 2*time.Second; delay += time.Second {
				t.Run(fmt.Sprintf("%s owner killed %v after %s", name, isKilled, delay), func(t *testing.T) {
					runKnownSite(t, largeLimits, func(x *mixedSite) { x.recutDomain(isKilled, delay, f) })
				})
			}
		}
	}
}

// recutDomain ends the workers of a failure domain, which f returns, starts them again, and cuts them off, and requires that all tasks of the test
// job run again elsewhere, one run of each at a time.
func (x *mixedSite) recutDomain(isKilled bool, delay time.Duration, f func(x *mixedSite) []fleet.Worker) {
	x.lastForLong()
	ws := f(x)
	x.advance(darkTime)
	x.roster.restartLate(ws, orderAfter(delay))
	x.advance(1400 * time.Millisecond)
	if isKilled {
		x.endOwner()
	}
	x.advance(600 * time.Millisecond)
	x.cutOff(ws)
	x.advance(25 * time.Second)
	require.Empty(x.t, x.runners.Faults())
	running := map[int]bool{}
	for _, r := range x.runners.FindRunning() {
		if r.Job == testJobID {
			running[r.Task] = true
		}
	}
	require.Len(x.t, running, 2*len(x.workers)/3)
}

// lastForLong makes all runs last for an hour, and the entries of the workers name their lifetimes.
func (x *mixedSite) lastForLong() {
	x.runners.SetAdjust(func(_ string, o standin.RunOutcome) standin.RunOutcome {
		o.Work, o.Result = time.Hour, jobs.Done
		return o
	})
	x.roster.listLifetimes()
}

// endOwner ends the process of the owner without a warning.
func (x *mixedSite) endOwner() {
	o := x.owner()
	x.kill(o)
	x.stopHost(o)
}

// cutOff cuts all hosts off from some workers.
func (x *mixedSite) cutOff(ws []fleet.Worker) {
	for _, w := range ws {
		x.setWorkersCut(true, w.Name)
	}
}

// TestNoTaskRunsTwiceWhereReturnIsNotSeen guards against two runs of one task at a time: the workers of a failure domain are back under their names
// and execute starts that were sent to their former lifetimes, but are cut off before an answer or an entry of theirs has shown their return.
func TestNoTaskRunsTwiceWhereReturnIsNotSeen(t *testing.T) {
	for _, isKilled := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner killed %v", isKilled), func(t *testing.T) {
			runKnownSite(t, largeLimits, func(x *mixedSite) {
				x.lastForLong()
				ws := x.leaveStarts()
				x.advance(darkTime)
				x.cutOff(ws)
				for _, w := range ws {
					x.runners.Restart(w, orderAfter(time.Second))
				}
				if isKilled {
					x.endOwner()
				}
				x.advance(25 * time.Second)
				require.Empty(t, x.runners.Faults())
			})
		})
	}
}

// workThenRestart ends a third of the workers while the test job keeps two thirds at work.
func (x *mixedSite) workThenRestart() []fleet.Worker {
	x.submitKnown(testJobID, "quiet", time.Hour, jobs.Step{Tasks: 2 * len(x.workers) / 3, Accelerators: 8, Processors: 1, Estimate: time.Hour})
	x.advance(30 * time.Second)
	return x.endDomain()
}

// leaveStarts ends a third of the workers, which all are at work, before they have answered the starts of the test job.
func (x *mixedSite) leaveStarts() []fleet.Worker {
	x.submitKnown("00000000000000bb", "quiet", time.Hour, jobs.Step{Tasks: len(x.workers), PerWorker: 1, Accelerators: 2, Processors: 1, Estimate: time.Hour})
	x.advance(30 * time.Second)
	for _, w := range x.workers[:len(x.workers)/3] {
		x.runners.SetCommandDelay(w.Addr, maxOrderDelay)
	}
	x.submitKnown(testJobID, "quiet", time.Hour, jobs.Step{Tasks: 2 * len(x.workers) / 3, Accelerators: 3, Processors: 1, Estimate: time.Hour})
	x.advance(time.Second)
	return x.endDomain()
}

// endDomain ends the workers of the first of three failure domains.
func (x *mixedSite) endDomain() []fleet.Worker {
	ws := x.workers[:len(x.workers)/3]
	each(ws, x.roster.remove)
	return ws
}

// recutThird restarts a third of the workers, whose runs take longer then and which also execute orders to their former lifetimes, ends a host if
// that is asked for and another is left, cuts the third off from all hosts, and returns the function that ends that.
func (h *hunt) recutThird(isKilled bool) func() {
	names := h.pickThird()
	var ws []fleet.Worker
	for _, w := range h.workers {
		if slices.Contains(names, w.Name) && h.roster.isUsable(w.Name) {
			ws = append(ws, w)
		}
	}
	each(ws, h.roster.remove)
	h.load.advance(darkTime)
	h.adjust.set(nil, ws)
	h.roster.restartLate(ws, func(age time.Duration) (time.Duration, bool) {
		delay := max(h.drawTime(2*maxOrderDelay)-maxOrderDelay, 0)
		return delay, age+delay <= maxOrderDelay
	})
	h.load.advance(h.drawTime(2 * time.Second))
	end := nothing
	if isKilled && len(h.liveHosts()) > 1 {
		h.end(h.pickVictim())
		end = h.replace
	}
	h.load.advance(h.drawTime(time.Second))
	restore := h.cutLinks(h.liveHosts(), names)
	return func() {
		restore()
		h.adjust.set(nil, nil)
		end()
	}
}
