package rest

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/stretchr/testify/require"
)

// TestCallWithoutConnectionIsUnsent guards against a call to an address that does not answer which counts as possibly executed, as the
// call ends no later than the attempts to connect.
func TestCallWithoutConnectionIsUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(WithDial(func(ctx context.Context, network, _ string) (net.Conn, error) {
			x, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			<-x.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: x.Err()}
		}))
		r := Request{Method: http.MethodPost, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Path: "/x", Hedge: true, Certain: true}
		_, err := c.Do(t.Context(), r)
		require.ErrorIs(t, err, port.ErrUnsent)
		time.Sleep(dialTimeout)
	})
}
