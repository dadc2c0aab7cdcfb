package rest_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

var addr = netip.MustParseAddrPort("127.0.0.1:9")

// blackholeConn discards writes once discards is set, like a network path that has dropped the state of the connection.
type blackholeConn struct {
	net.Conn
	discards *atomic.Bool
}

func (s blackholeConn) Write(b []byte) (int, error) {
	if s.discards.Load() {
		return len(b), nil
	}
	return s.Conn.Write(b)
}

func TestCallOverUnresponsiveConnection(t *testing.T) {
	tests := []struct {
		name  string
		hedge bool
		want  time.Duration
		err   error
	}{
		{"idempotent calls are hedged over a new connection", true, 400 * time.Millisecond, nil},
		{"other calls time out", false, 2 * time.Second, context.DeadlineExceeded},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cut atomic.Bool
				dial := standin.PipeDialer(map[netip.AddrPort]http.Handler{
					addr: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						_, _ = w.Write([]byte(`{}`))
					}),
				})
				first := true
				c := rest.New(rest.WithDial(func(ctx context.Context, n, a string) (net.Conn, error) {
					conn, err := dial(ctx, n, a)
					if first {
						first = false
						conn = blackholeConn{conn, &cut}
					}
					return conn, err
				}))
				defer c.Close()
				q := rest.Request{Method: http.MethodGet, Addr: addr, Path: "/", Hedge: x.hedge}
				require.NoError(t, c.JSON(t.Context(), q, nil))
				synctest.Wait()
				cut.Store(true)
				start := time.Now()
				err := c.JSON(t.Context(), q, nil)
				require.ErrorIs(t, err, x.err)
				require.Equal(t, x.want, time.Since(start))
				// The unresponsive connection has been closed, so the next call is answered immediately.
				start = time.Now()
				synctest.Wait()
				require.NoError(t, c.JSON(t.Context(), q, nil))
				require.Zero(t, time.Since(start))
			})
		})
	}
}

func TestCallLimitsReplySize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := standin.PipeDialer(map[netip.AddrPort]http.Handler{
			addr: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, 11))
			}),
		})
		c := rest.New(rest.WithDial(dial), rest.WithMaxReplyBytes(10))
		defer c.Close()
		_, err := c.Do(t.Context(), rest.Request{Method: http.MethodGet, Addr: addr, Path: "/"})
		require.ErrorIs(t, err, rest.ErrReplyTooLarge)
	})
}

// TestRefusedHedgeDoesNotSettleTheCall guards against reporting a refusal while another attempt may take effect: the first
// attempt hangs and the hedged one is refused.
func TestRefusedHedgeDoesNotSettleTheCall(t *testing.T) {
	tests := []struct {
		name      string
		isCertain bool
		isRefused bool
	}{
		{"with Certain the result is undecided", true, false},
		{"without Certain the first answer is returned", false, true},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls atomic.Int32
				dial := standin.PipeDialer(map[netip.AddrPort]http.Handler{
					addr: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if calls.Add(1) == 1 {
							<-r.Context().Done()
							return
						}
						w.WriteHeader(http.StatusServiceUnavailable)
					}),
				})
				c := rest.New(rest.WithDial(dial))
				defer c.Close()
				q := rest.Request{Method: http.MethodPost, Addr: addr, Path: "/", Hedge: true, Certain: x.isCertain}
				_, err := c.Do(t.Context(), q)
				require.Error(t, err)
				var s *rest.ErrStatus
				require.Equal(t, x.isRefused, errors.As(err, &s), err)
			})
		})
	}
}
