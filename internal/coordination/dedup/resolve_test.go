package dedup

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// withOneWorker answers every inspection with the given report or error, and stores the term of the call in seen.
func withOneWorker(rep fleet.Report, err error, seen *fleet.Term) Option {
	inspect := func(_ context.Context, _ netip.AddrPort, t fleet.Term) (fleet.Report, error) {
		*seen = t
		return rep, err
	}
	return WithWorkers(port.Workers{Inspect: inspect}, func(string) (netip.AddrPort, bool) {
		return netip.AddrPort{}, true
	})
}

func TestResolveAsksTheWorkersOfTheClaim(t *testing.T) {
	task := func(s fleet.TaskState, started bool, attempt int) []fleet.TaskReport {
		ref := fleet.TaskRef{Job: "j1", Attempt: attempt}
		return []fleet.TaskReport{{Task: fleet.Task{Ref: ref}, State: s, Started: started}}
	}
	for _, c := range []struct {
		name  string
		tasks []fleet.TaskReport
		// since is when the worker's record of tasks begins, relative to the claim; zero for a worker that does not report it.
		since time.Duration
		err   error
		want  Finding
	}{
		{"never seen", nil, -time.Hour, nil, NotRun},
		{"prepared", task(fleet.TaskPrepared, false, 1), 0, nil, NotRun},
		{"stopped before it ran", task(fleet.TaskStopped, false, 1), 0, nil, NotRun},
		{"runs", task(fleet.TaskRunning, true, 1), 0, nil, Ran},
		{"done", task(fleet.TaskDone, true, 1), 0, nil, Ran},
		{"stopped after it ran", task(fleet.TaskStopped, true, 1), 0, nil, Ran},
		{"runs another attempt", task(fleet.TaskRunning, true, 2), -time.Hour, nil, NotRun},
		{"restarted since the claim", nil, time.Hour, nil, Unclear},
		{"does not say when it started", nil, 0, nil, Unclear},
		{"unresponsive", nil, -time.Hour, errors.New("timeout"), Unclear},
		{"holds a higher term", nil, -time.Hour, port.ErrFenced, Unclear},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				at := time.Now()
				rep := fleet.Report{Tasks: c.tasks}
				if c.since != 0 {
					rep.Since = at.Add(c.since)
				}
				var seen fleet.Term
				b := New(withOneWorker(rep, c.err, &seen))
				next := fleet.Term{Counter: 9, Host: "h9"}
				r, err := b.Resolve(t.Context(), next, Claimed{Job: "j1", Attempt: 1, At: at, Workers: []string{"w1"}})
				require.NoError(t, err)
				require.Equal(t, c.want, r.Finding)
				require.Equal(t, next, seen, "the inspection fences the older owner")
				require.Equal(t, c.want == Unclear, len(r.Silent) == 1)
			})
		})
	}
}

func TestResolveNeedsTheLease(t *testing.T) {
	lapsed := errors.New("lapsed")
	b := New(WithCheck(func() error { return lapsed }))
	_, err := b.Resolve(t.Context(), fleet.Term{}, Claimed{Workers: []string{"w1"}})
	require.ErrorIs(t, err, lapsed)
}
