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
	"google.golang.org/protobuf/proto"
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

// TestGoneElsewhereSettlesCancel guards against a cancel that is answered as unknown, so that its caller has to repeat it, though another host
// has stored it for a job that nobody knows; and against a submission that is answered as refused while it may have been stored.
func TestGoneElsewhereSettlesCancel(t *testing.T) {
	for verb, want := range map[intake.Verb]error{intake.Cancel: intake.ErrNoJob, intake.Submit: intake.ErrOutcomeUnknown} {
		t.Run(verb.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := port.Peers{Call: func(_ context.Context, _ netip.AddrPort, _ string, _, reply proto.Message) error {
					encodeReply(intake.Reply{}, intake.ErrNoJob, reply.(*wire.TakeReply))
					return nil
				}}
				addr := netip.MustParseAddrPort("127.0.0.2:1")
				r := New(&intake.Intake{}, peers, func() []netip.AddrPort { return []netip.AddrPort{addr} }, clock.System(),
					slog.New(slog.DiscardHandler), tally.NoopScope)
				for _, took := range []time.Duration{0, 2 * time.Second} {
					r.serve = func(context.Context, intake.Request) (intake.Reply, error) {
						time.Sleep(took)
						return intake.Reply{}, intake.ErrOutcomeUnknown
					}
					_, err := r.Serve(t.Context(), intake.Request{Verb: verb, Path: "/p", Timeout: 3 * time.Second})
					require.ErrorIs(t, err, want)
				}
				time.Sleep(3 * time.Second)
			})
		})
	}
}
