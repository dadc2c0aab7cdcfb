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

// blackholeConn reports writes as successful but discards them once discards is set, so that no reply arrives.
type blackholeConn struct {
	net.Conn
	discards *atomic.Bool
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.discards.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// network connects a pool to a server over pipes; discardWrites makes all open connections unresponsive.
type network struct {
	server   *Server
	dials    int
	refuse   bool
	discards []*atomic.Bool
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
	n.discards = append(n.discards, m)
	n.server.ServeConn(b)
	return &blackholeConn{Conn: a, discards: m}, nil
}

func (n *network) discardWrites() {
	for _, m := range n.discards {
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

func TestUnresponsiveConnectionIsReplacedWithoutFailingTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, awaitHandlers())
		p := NewPool(WithDial(n.dial))
		defer n.server.Close()
		defer p.Close()
		var r wire.AwaitReply
		require.NoError(t, p.Call(t.Context(), testAddr, "Owner.Await", &wire.AwaitRequest{}, &r))

		n.discardWrites()
		start := time.Now()
		require.NoError(t, p.Call(t.Context(), testAddr, "Owner.Await", &wire.AwaitRequest{}, &r))
		require.True(t, r.GetEnded())
		require.Less(t, time.Since(start), 2*time.Second)
		require.Equal(t, 2, n.dials)
	})
}

func TestUnresponsiveConnectionBlocksTheCallWithoutPings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, awaitHandlers())
		p := NewPool(WithDial(n.dial))
		defer n.server.Close()
		defer p.Close()
		p.link(testAddr).pingDisabled = true
		var r wire.AwaitReply
		require.NoError(t, p.Call(t.Context(), testAddr, "Owner.Await", &wire.AwaitRequest{}, &r))

		n.discardWrites()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.ErrorIs(t, p.Call(ctx, testAddr, "Owner.Await", &wire.AwaitRequest{}, &r), context.DeadlineExceeded)
	})
}

func TestCallDistinguishesUnsentFromLost(t *testing.T) {
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

		n.discardWrites()
		n.refuse = true
		err = p.Call(t.Context(), testAddr, "Owner.Await", &wire.AwaitRequest{}, &r)
		require.Error(t, err)
		require.NotErrorIs(t, err, port.ErrUnsent)
	})
}

func TestHandlerErrorMatchesItsSentinel(t *testing.T) {
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
