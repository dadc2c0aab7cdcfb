package relay

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/intake"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestPanicFailsOnlyTheRequestThatCausedIt guards against a panic in the handling of one request, which comes from a caller
// or is forwarded by another host. The panic must neither end the process nor be reported as if the request had not been
// executed.
func TestPanicFailsOnlyTheRequestThatCausedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		panics := true
		r := New(&intake.Intake{}, port.Peers{}, func() []netip.AddrPort { return nil }, clock.System(),
			slog.New(slog.DiscardHandler), tally.NoopScope)
		r.serve = func(context.Context, intake.Request) (intake.Reply, error) {
			if panics {
				panic("no such step")
			}
			return intake.Reply{}, nil
		}
		q := intake.Request{Verb: intake.Submit, Path: "/p", Timeout: time.Second}
		_, err := r.Serve(t.Context(), q)
		require.ErrorIs(t, err, intake.ErrOutcomeUnknown)
		var p wire.TakeReply
		require.NoError(t, r.Take(t.Context(), encodeRequest(q), &p))
		_, err = decodeReply(&p)
		require.ErrorIs(t, err, intake.ErrOutcomeUnknown)
		panics = false
		_, err = r.Serve(t.Context(), q)
		require.NoError(t, err)
	})
}
