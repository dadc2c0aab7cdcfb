package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

var testAddr = netip.MustParseAddrPort("127.0.0.1:7000")

var errTest = errors.New("test error of the handler")

// mutedConn swallows all that is written and delivers nothing once it is muted.
type mutedConn struct {
	net.Conn
	muted *atomic.Bool
}

func (c *mutedConn) Write(b []byte) (int, error) {
	if c.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// network serves a pool over pipes; mute silences all connections that are open.
type network struct {
	server *Server
	dials  int
	refuse bool
	muted  []*atomic.Bool
}

func newNetwork(t *testing.T, h Handlers) *network {
	s, err := NewServer(t.Context(), h)
	require.NoError(t, err)
	return &network{server: s}
}

func (n *network) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	if n.refuse {
		return nil, errors.New("connection refused")
	}
	n.dials++
	a, b := net.Pipe()
	m := &atomic.Bool{}
	n.muted = append(n.muted, m)
	n.server.ServeConn(b)
	return &mutedConn{Conn: a, muted: m}, nil
}

func (n *network) mute() {
	for _, m := range n.muted {
		m.Store(true)
	}
}

func awaitHandlers() Handlers {
	return Handlers{
		Await: func(_ context.Context, q *wire.AwaitRequest, r *wire.AwaitReply) error {
			if q.GetJob() == "bad" {
				return errTest
			}
			r.Ended = true
			return nil
		},
	}
}

func TestSilentConnectionIsReplacedWithoutFailingTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, awaitHandlers())
		p := NewPool(WithDial(n.dial))
		defer n.server.Close()
		defer p.Close()
		var r wire.AwaitReply
		require.NoError(t, p.Call(t.Context(), testAddr, "Owner.Await", &wire.AwaitRequest{}, &r))

		n.mute()
		start := time.Now()
		require.NoError(t, p.Call(t.Context(), testAddr, "Owner.Await", &wire.AwaitRequest{}, &r))
		require.True(t, r.GetEnded())
		require.Less(t, time.Since(start), 2*time.Second)
		require.Equal(t, 2, n.dials)
	})
}

func TestSilentConnectionHoldsTheCallWithoutPings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, awaitHandlers())
		p := NewPool(WithDial(n.dial))
		defer n.server.Close()
		defer p.Close()
		p.link(testAddr).pingOff = true
		var r wire.AwaitReply
		require.NoError(t, p.Call(t.Context(), testAddr, "Owner.Await", &wire.AwaitRequest{}, &r))

		n.mute()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.ErrorIs(t, p.Call(ctx, testAddr, "Owner.Await", &wire.AwaitRequest{}, &r), context.DeadlineExceeded)
	})
}

func TestCallTellsUnsentFromLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, awaitHandlers())
		p := NewPool(WithDial(n.dial))
		defer n.server.Close()
		defer p.Close()
		var r wire.AwaitReply
		n.refuse = true
		err := p.Call(t.Context(), testAddr, "Owner.Await", &wire.AwaitRequest{}, &r)
		require.ErrorIs(t, err, port.ErrUnsent)

		time.Sleep(redialDelay)
		n.refuse = false
		require.NoError(t, p.Call(t.Context(), testAddr, "Owner.Await", &wire.AwaitRequest{}, &r))

		n.mute()
		n.refuse = true
		err = p.Call(t.Context(), testAddr, "Owner.Await", &wire.AwaitRequest{}, &r)
		require.Error(t, err)
		require.NotErrorIs(t, err, port.ErrUnsent)
	})
}

func TestHandlerErrorKeepsItsIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, awaitHandlers())
		p := NewPool(WithDial(n.dial))
		defer n.server.Close()
		defer p.Close()
		var r wire.AwaitReply
		err := p.Call(t.Context(), testAddr, "Owner.Await", &wire.AwaitRequest{Job: "bad"}, &r)
		require.ErrorIs(t, err, errTest)
		require.Equal(t, 1, n.dials)
	})
}
