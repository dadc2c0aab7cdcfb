package exec

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// maxCountAge is how old the number of pending jobs may be.
const maxCountAge = 2 * time.Second

// silence loses answers of the workers, which execute what they are sent.
type silence struct {
	// starts loses the answers to starts, and reports those to renewals; refusal turns starts away.
	starts, reports, refusal atomic.Bool
}

// apply puts the losses between the engines of a rig and the workers.
func (x *silence) apply(d *Deps) {
	start, renew := d.Runners.Start, d.Runners.Renew
	d.Runners.Start = func(ctx context.Context, to netip.AddrPort, s port.RunStart) (time.Duration, error) {
		if x.refusal.Load() {
			return 0, port.ErrNoRoom
		}
		at, err := start(ctx, to, s)
		if x.starts.Load() {
			return 0, standin.ErrNoAnswer
		}
		return at, err
	}
	d.Runners.Renew = func(ctx context.Context, to netip.AddrPort, h port.LeaseRenewal) (port.RunReport, error) {
		if x.reports.Load() {
			time.Sleep(100 * time.Millisecond)
			return port.RunReport{}, standin.ErrNoAnswer
		}
		return renew(ctx, to, h)
	}
}

// waitForPending waits until a table that is loaded from the store alone counts pending jobs.
func (r *rig) waitForPending(want int, limit time.Duration) {
	r.t.Helper()
	until := time.Now().Add(limit)
	for {
		t := jobs.NewTable()
		p, err := r.store.View("c").Newest(r.t.Context(), testJobs, "")
		require.NoError(r.t, err)
		for _, e := range p.Entries {
			require.NoError(r.t, t.Apply(e.Offset, jobs.Record{Key: e.Key, Value: e.Value}))
		}
		n := t.CountPending("quiet")
		if n == want {
			return
		}
		require.True(r.t, time.Now().Before(until), "%d jobs are pending, not %d", n, want)
		r.advance(10 * time.Millisecond)
	}
}

// TestBegunJobIsNotPending guards against jobs that count as pending for long though they have begun: the start was executed and its answer is
// lost, or the owner is before it has stored that.
func TestBegunJobIsNotPending(t *testing.T) {
	steps := map[string]jobs.Step{"task": taskStep(1), "tasks": taskStep(3), "gang": {Tasks: 2, Gang: true, Accelerators: 8, Estimate: time.Second}}
	cases := map[string]struct {
		isUnanswered bool
		do           func(r *rig, x *silence)
	}{
		"answered": {false, func(*rig, *silence) {}},
		"listed":   {true, func(*rig, *silence) {}},
		"owner lost after the answer": {false, func(r *rig, _ *silence) {
			for r.phases(testID)[phaseRunning] == 0 {
				r.advance(time.Millisecond)
			}
			r.restart()
			r.advance(time.Second)
		}},
		"owner lost without an answer": {true, func(r *rig, _ *silence) {
			r.advance(100 * time.Millisecond)
			r.restart()
			r.advance(time.Second)
		}},
		"lapsed before it was listed": {true, func(r *rig, x *silence) {
			x.reports.Store(true)
			r.advance(500 * time.Millisecond)
			x.refusal.Store(true)
			r.advance(20 * time.Second)
			require.Zero(r.t, r.phases(testID)[phaseRunning])
			x.reports.Store(false)
		}},
	}
	for kind, step := range steps {
		for name, c := range cases {
			t.Run(kind+", "+name, func(t *testing.T) {
				runInRig(t, 4, runsTaking(time.Hour), func(r *rig) {
					var x silence
					r.stop()
					r.change = x.apply
					r.start(2)
					r.advance(time.Second)
					x.starts.Store(c.isUnanswered)
					r.submit(testID, step)
					c.do(r, &x)
					r.waitForPending(0, maxCountAge)
					x.refusal.Store(true)
					r.restart()
					r.advance(20 * time.Second)
					r.waitForPending(0, 0)
				})
			})
		}
	}
}

// TestLateEndOfUnansweredRunEndsJob guards against a job that stays pending, or runs again, though the run whose start had no answer has
// completed.
func TestLateEndOfUnansweredRunEndsJob(t *testing.T) {
	runInRig(t, 1, runsTaking(time.Second), func(r *rig) {
		var x silence
		r.stop()
		r.change = x.apply
		r.start(2)
		r.advance(time.Second)
		x.starts.Store(true)
		x.reports.Store(true)
		after := taskStep(1)
		after.After = []int{0}
		r.submit(testID, taskStep(1), after)
		r.advance(500 * time.Millisecond)
		x.refusal.Store(true)
		r.advance(10 * time.Second)
		r.waitForPending(1, 0)
		x.reports.Store(false)
		r.waitForPending(0, maxCountAge)
		require.EqualValues(t, jobs.Open, r.state(testID))
		x.starts.Store(false)
		x.refusal.Store(false)
		r.waitForState(testID, jobs.Completed, 10*time.Second)
	})
}
