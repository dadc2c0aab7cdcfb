package standin_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/stretchr/testify/require"
)

// readCountingConn counts the bytes read.
type readCountingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c readCountingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func TestUnchangedHostListIsNotSentAgain(t *testing.T) {
	a := netip.MustParseAddrPort("127.0.0.1:7000")
	p := standin.NewPlatform(standin.WithListLag(0))
	var q standin.Registration
	for i := range 500 {
		w := store.Worker{Name: string(rune('a'+i%26)) + netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i % 250)}).String()}
		q.Workers = append(q.Workers, w)
	}
	p.Register(q)
	var n atomic.Int64
	dial := standin.PipeDialer(map[netip.AddrPort]http.Handler{a: p.Handler()})
	c := rest.New(rest.WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
		x, err := dial(ctx, network, addr)
		return readCountingConn{Conn: x, n: &n}, err
	}))
	defer c.Close()
	h := store.NewHosts(c, a)

	first, err := h.List(t.Context())
	require.NoError(t, err)
	require.Len(t, first.Workers, 500)
	whole := n.Swap(0)
	again, err := h.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, first, again)
	t.Logf("full list: %d bytes, unchanged list: %d bytes", whole, n.Load())
	require.Less(t, n.Load(), int64(300))

	p.Register(standin.Registration{Workers: []store.Worker{{Name: "new"}}})
	changed, err := h.List(t.Context())
	require.NoError(t, err)
	require.Len(t, changed.Workers, 501)
}
