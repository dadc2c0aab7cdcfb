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

// silent swallows what is written once it is cut, as a path does that has forgotten the connection.
type silent struct {
	net.Conn
	cut *atomic.Bool
}

func (s silent) Write(b []byte) (int, error) {
	if s.cut.Load() {
		return len(b), nil
	}
	return s.Conn.Write(b)
}

func TestCallSurvivesSilentConnection(t *testing.T) {
	tests := []struct {
		name  string
		hedge bool
		want  time.Duration
		err   error
	}{
		{"idempotent calls go over a fresh connection", true, 400 * time.Millisecond, nil},
		{"others time out", false, 2 * time.Second, context.DeadlineExceeded},
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
						conn = silent{conn, &cut}
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
				// The silent connection is gone: the next call is answered at once.
				start = time.Now()
				synctest.Wait()
				require.NoError(t, c.JSON(t.Context(), q, nil))
				require.Zero(t, time.Since(start))
			})
		})
	}
}

func TestCallBoundsReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := standin.PipeDialer(map[netip.AddrPort]http.Handler{
			addr: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, 11))
			}),
		})
		c := rest.New(rest.WithDial(dial), rest.WithLimit(10))
		defer c.Close()
		_, err := c.Do(t.Context(), rest.Request{Method: http.MethodGet, Addr: addr, Path: "/"})
		require.ErrorIs(t, err, rest.ErrTooLong)
	})
}

// TestRefusalOfARepeatDoesNotSettleACall has the first attempt of a call hang, so that it may still be carried out, and
// the second one refused.
func TestRefusalOfARepeatDoesNotSettleACall(t *testing.T) {
	tests := []struct {
		name      string
		isCertain bool
		isRefused bool
	}{
		{"calls that change something stay undecided", true, false},
		{"others take the first answer", false, true},
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
