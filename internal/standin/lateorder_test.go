package standin_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/stretchr/testify/require"
)

// TestRestartedWorkerExecutesUnansweredOrders guards against simulated workers that hide two runs at a time: a start that was sent while a worker
// was away is executed by its next instance, whose lease ends by its own clock; one that was answered is not executed again.
func TestRestartedWorkerExecutesUnansweredOrders(t *testing.T) {
	const hold = 3 * time.Second
	const late = time.Second
	synctest.Test(t, func(t *testing.T) {
		plan := func(port.RunRef, string) standin.RunOutcome {
			return standin.RunOutcome{Work: time.Hour, Result: jobs.Done}
		}
		r := standin.NewRunners(clock.System(), standin.RunLimits{MaxHold: hold, StopTimeout: hold}, plan)
		w := fleet.Worker{Name: "w", Accelerators: 2, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
		r.Add(w)
		v := r.View("a")
		answered, unanswered := port.RunRef{Job: "a", Run: 1}, port.RunRef{Job: "b", Run: 1}
		start := func(ref port.RunRef) error {
			_, err := v.Start(t.Context(), w.Addr, port.RunStart{Ref: ref, Until: time.Hour, Token: 1, Worker: w.Name})
			return err
		}
		require.NoError(t, start(answered))
		r.Remove(w.Addr)
		require.ErrorIs(t, start(unanswered), standin.ErrNoAnswer)
		r.Restart(w, func(time.Duration) (time.Duration, bool) { return late, true })
		time.Sleep(late - time.Millisecond)
		require.Empty(t, r.FindRunning())
		time.Sleep(2 * time.Millisecond)
		require.Equal(t, []port.RunRef{unanswered}, r.FindRunning())
		time.Sleep(hold - 10*time.Millisecond)
		require.Equal(t, []port.RunRef{unanswered}, r.FindRunning())
		time.Sleep(20 * time.Millisecond)
		require.Empty(t, r.FindRunning())
		require.Empty(t, r.Faults())
	})
}
