package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
)

const writeTimeout = 2 * time.Second

// Pool holds one connection for each peer that has been called.
type Pool struct {
	dial         func(context.Context, netip.AddrPort) (net.Conn, error)
	clock        clock.Clock
	unresponsive tally.Counter
	mu           sync.Mutex
	links        map[netip.AddrPort]*link
	closed       bool
}

// Option sets one property of a Pool.
type Option func(*Pool)

// WithDial replaces the function that opens connections.
func WithDial(f func(context.Context, netip.AddrPort) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = f }
}

// WithClock replaces the clock of the operating system.
func WithClock(c clock.Clock) Option {
	return func(p *Pool) { p.clock = c }
}

// WithScope sets the scope of the counter of unresponsive connections.
func WithScope(s tally.Scope) Option {
	return func(p *Pool) { p.unresponsive = s.Counter("peer_connections_silent") }
}

// NewPool returns a pool without connections.
func NewPool(opts ...Option) *Pool {
	p := &Pool{
		dial:         Dial,
		clock:        clock.System(),
		unresponsive: tally.NoopScope.Counter(""),
		links:        map[netip.AddrPort]*link{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Peers returns the pool as a port.Peers.
func (p *Pool) Peers() port.Peers {
	return port.Peers{Call: p.Call}
}

// Call calls a method of the peer at an address and fills in reply.
func (p *Pool) Call(ctx context.Context, to netip.AddrPort, method string, request, reply proto.Message) error {
	return p.link(to).call(ctx, method, request, reply)
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.links {
		l.close()
	}
}

// Retain closes the connections to all addresses for which keep returns false.
func (p *Pool) Retain(keep func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, l := range p.links {
		if !keep(a) {
			l.close()
			delete(p.links, a)
		}
	}
}

func (p *Pool) link(to netip.AddrPort) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[to]
	if !ok {
		l = &link{
			addr:           to,
			dial:           p.dial,
			clock:          p.clock,
			onUnresponsive: func() { p.unresponsive.Inc(1) },
			closed:         p.closed,
		}
		p.links[to] = l
	}
	return l
}
