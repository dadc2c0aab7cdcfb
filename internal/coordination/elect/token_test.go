package elect

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/stretchr/testify/require"
)

// join lets a host take part in the election until the test ends.
func join(t *testing.T, s *standin.Store, host string) *Election {
	e := New(s.View(host), host, host+"-1", netip.MustParseAddrPort("127.0.0.1:1"), clock.System(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx, func(ctx context.Context, _ Owner) { <-ctx.Done() })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return e
}

// TestTokensOfTermsDoNotOverlap guards against a token of an owner that is below its term, or not below the term of the next owner, also where
// the answers to its renewals were lost.
func TestTokensOfTermsDoNotOverlap(t *testing.T) {
	for name, isLossy := range map[string]bool{"answered": false, "lost answers": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore(clock.System(), time.Millisecond)
				a := join(t, s, "a")
				time.Sleep(3 * time.Second)
				first := a.NewestToken()
				require.GreaterOrEqual(t, first, a.Owner().Term)
				time.Sleep(2 * renewInterval)
				require.Greater(t, a.NewestToken(), first)
				b := join(t, s, "b")
				time.Sleep(time.Second)
				require.Zero(t, b.NewestToken())
				newest := a.NewestToken()
				s.SetLossy("a", isLossy, 50*time.Millisecond)
				for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
					newest = max(newest, a.NewestToken())
				}
				s.SetUnresponsive("a", true)
				time.Sleep(10 * time.Second)
				require.Equal(t, "b", b.Owner().Host)
				require.Greater(t, b.Owner().Term, max(newest, a.NewestToken()))
			})
		})
	}
}
