package gang

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var term = fleet.Term{Counter: 7, Host: "h1"}

func job(tasks int) fleet.Job {
	return fleet.Job{
		ID:      "j1",
		Attempt: 1,
		RunTime: time.Minute,
		Shape:   fleet.Shape{Tasks: tasks, Accelerators: 1, Adjacent: fleet.LevelDomain},
	}
}

func newGangs(f *fakeFleet, opts ...Option) *Gangs {
	base := []Option{WithWorkers(f.workersPort()), WithResolve(f.resolve)}
	return New(append(base, opts...)...)
}

func TestGangRunsUntilAnswerIsCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		g := newGangs(f)
		committed := 0
		a, err := g.Start(t.Context(), term, job(8), f.place(8, 2), func(context.Context) error {
			committed = f.started()
			return nil
		})
		require.NoError(t, err)
		require.Equal(t, Started, a.State)
		require.Zero(t, committed, "tasks started before the commit")
		require.Len(t, f.running(), 8)
		e, err := g.Watch(t.Context(), a)
		require.NoError(t, err)
		require.Equal(t, plan.ResultDone, e.Result)
		require.Len(t, e.Answers, 8)
		kept := ""
		b, err := g.Collect(t.Context(), a, func(_ context.Context, b []byte) error {
			kept = string(b)
			require.Equal(t, 8, f.heldTasks(), "tasks must be kept until the answer is stored")
			return nil
		})
		require.NoError(t, err)
		require.Equal(t, "j1-0;j1-1;j1-2;j1-3;j1-4;j1-5;j1-6;j1-7;", string(b))
		require.Equal(t, string(b), kept)
		require.Zero(t, f.heldTasks())
		require.Zero(t, g.RunCount())
	})
}
