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

// TestRefusedStartExtendsLease guards against hidden faults of a host: its workers hold their tasks for longer after a start that they
// refuse, and so do the simulated ones.
func TestRefusedStartExtendsLease(t *testing.T) {
	const lease = time.Second
	first := port.RunRef{Job: "a", Run: 1}
	cases := map[string]struct {
		prepare func(r *standin.Runners, to netip.AddrPort)
		ref     port.RunRef
		want    error
	}{
		"no room": {func(r *standin.Runners, to netip.AddrPort) { r.SetFull(to, true) }, port.RunRef{Job: "b", Run: 1}, port.ErrNoRoom},
		"old run": {func(*standin.Runners, netip.AddrPort) {}, port.RunRef{Job: "old", Run: 1}, port.ErrRunEnded},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				plan := func(port.RunRef, string) standin.RunOutcome {
					return standin.RunOutcome{Work: time.Hour, Result: jobs.Done}
				}
				r := standin.NewRunners(clock.System(), standin.RunLimits{MaxHold: 3 * lease, StopTimeout: lease}, plan)
				w := fleet.Worker{Name: "w", Accelerators: 2, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
				r.Add(w)
				v := r.View("a")
				require.NoError(t, v.Stop(t.Context(), w.Addr, port.RunRef{Job: "old", Run: 1}, 1, w.Name))
				_, err := v.Start(t.Context(), w.Addr, port.RunStart{Ref: first, Until: lease, Token: 1, Worker: w.Name})
				require.NoError(t, err)
				x.prepare(r, w.Addr)
				_, err = v.Start(t.Context(), w.Addr, port.RunStart{Ref: x.ref, Until: time.Hour, Token: 1, Worker: w.Name})
				require.ErrorIs(t, err, x.want)
				time.Sleep(2 * lease)
				require.Equal(t, w.Name, r.FindWorker(first))
				time.Sleep(lease + 100*time.Millisecond)
				require.Empty(t, r.FindWorker(first))
			})
		})
	}
}

// TestRenewalCountsFromItsArrival guards against leases that last for longer than a worker holds: the deadline of a renewal that waits for
// an end is cut to the longest lease when it arrives.
func TestRenewalCountsFromItsArrival(t *testing.T) {
	const hold = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		plan := func(port.RunRef, string) standin.RunOutcome {
			return standin.RunOutcome{Work: time.Hour, Result: jobs.Done}
		}
		r := standin.NewRunners(clock.System(), standin.RunLimits{MaxHold: hold}, plan)
		w := fleet.Worker{Name: "w", Accelerators: 2, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
		r.Add(w)
		v := r.View("a")
		ref := port.RunRef{Job: "a", Run: 1}
		_, err := v.Start(t.Context(), w.Addr, port.RunStart{Ref: ref, Until: time.Second, Token: 1, Worker: w.Name})
		require.NoError(t, err)
		arrived := time.Now()
		_, err = v.Renew(t.Context(), w.Addr, port.LeaseRenewal{Token: 1, Worker: w.Name, Until: time.Hour, Wait: hold / 2})
		require.NoError(t, err)
		time.Sleep(time.Until(arrived.Add(hold + 100*time.Millisecond)))
		require.Empty(t, r.FindWorker(ref))
	})
}
