package rest

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIdleConnectionsAreBounded guards against a host that has called many workers and keeps so many connections to them that it has no
// file left for another.
func TestIdleConnectionsAreBounded(t *testing.T) {
	var open atomic.Int32
	c := New(WithMaxIdleConnections(3))
	defer c.Close()
	for range 12 {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
		s.Config.ConnState = func(_ net.Conn, x http.ConnState) {
			switch x {
			case http.StateNew:
				open.Add(1)
			case http.StateClosed:
				open.Add(-1)
			default:
			}
		}
		s.Start()
		defer s.Close()
		_, err := c.Do(t.Context(), Request{Method: http.MethodGet, Addr: netip.MustParseAddrPort(s.Listener.Addr().String()), Path: "/"})
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return open.Load() <= 3 }, 10*time.Second, 10*time.Millisecond, "%d connections are open", open.Load())
}
