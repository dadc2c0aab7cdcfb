package nettest

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// Errors of a call that the network fails.
var (
	ErrCut     = errors.New("link is cut")
	ErrNoRoute = errors.New("no such method")
)

// lengthBytes is the room of the two length prefixes that the codec writes before header and body.
const lengthBytes = 2

// Handler serves one method; req and reply hold messages of its types.
type Handler struct {
	New   func() (req, reply proto.Message)
	Serve func(ctx context.Context, req, reply proto.Message) error
}

type link struct{ from, to netip.AddrPort }

// Net connects hosts in memory; all its methods may be called at any time.
type Net struct {
	// Delay returns how long one message takes on a link.
	Delay func(from, to netip.AddrPort) time.Duration

	mu       sync.Mutex
	handlers map[netip.AddrPort]map[string]Handler
	cut      map[link]bool
	silent   map[link]bool
	bytes    map[netip.AddrPort]int64
	pauses   map[netip.AddrPort]*Pause
}

// New returns a network without delay.
func New() *Net {
	return &Net{
		Delay:    func(netip.AddrPort, netip.AddrPort) time.Duration { return 0 },
		handlers: make(map[netip.AddrPort]map[string]Handler),
		cut:      make(map[link]bool),
		silent:   make(map[link]bool),
		bytes:    make(map[netip.AddrPort]int64),
		pauses:   make(map[netip.AddrPort]*Pause),
	}
}

// Handle makes h serve a method of the host at addr.
func (n *Net) Handle(addr netip.AddrPort, method string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers[addr] == nil {
		n.handlers[addr] = make(map[string]Handler)
	}
	n.handlers[addr][method] = h
}

// Serve makes f serve a method of the host at addr.
func Serve[Q, R proto.Message](n *Net, addr netip.AddrPort, method string, f func(context.Context, Q, R) error) {
	n.Handle(addr, method, Handler{
		New: func() (proto.Message, proto.Message) {
			var q Q
			var r R
			return q.ProtoReflect().New().Interface(), r.ProtoReflect().New().Interface()
		},
		Serve: func(ctx context.Context, q, r proto.Message) error { return f(ctx, q.(Q), r.(R)) },
	})
}

// Remove ends the host at addr: all calls to it fail.
func (n *Net) Remove(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, addr)
}

// Cut fails all calls between the two hosts, or heals the link.
func (n *Net) Cut(a, b netip.AddrPort, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{a, b}] = isCut
	n.cut[link{b, a}] = isCut
}

// Silence lets calls from a to b hang until their context ends.
func (n *Net) Silence(a, b netip.AddrPort, isSilent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[link{a, b}] = isSilent
}

// Bytes returns what the host at addr has sent and received so far, as the codec would frame it.
func (n *Net) Bytes(addr netip.AddrPort) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[addr]
}

// Pause returns the pause of the host at addr.
func (n *Net) Pause(addr netip.AddrPort) *Pause {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pauses[addr] == nil {
		n.pauses[addr] = &Pause{}
	}
	return n.pauses[addr]
}

// Peers returns the port through which the host at from calls others.
func (n *Net) Peers(from netip.AddrPort) port.Peers {
	return port.Peers{
		Call: func(ctx context.Context, to netip.AddrPort, method string, req, reply proto.Message) error {
			return n.call(ctx, link{from, to}, method, req, reply)
		},
	}
}

func (n *Net) call(ctx context.Context, l link, method string, req, reply proto.Message) error {
	if err := n.Pause(l.from).Wait(ctx); err != nil {
		return err
	}
	if err := n.travel(ctx, l, method, req); err != nil {
		return err
	}
	if err := n.Pause(l.to).Wait(ctx); err != nil {
		return err
	}
	n.mu.Lock()
	h, ok := n.handlers[l.to][method]
	n.mu.Unlock()
	if !ok {
		return ErrNoRoute
	}
	q, r := h.New()
	proto.Merge(q, req)
	if err := h.Serve(ctx, q, r); err != nil {
		return err
	}
	if err := n.travel(ctx, link{l.to, l.from}, method, r); err != nil {
		return err
	}
	if err := n.Pause(l.from).Wait(ctx); err != nil {
		return err
	}
	proto.Merge(reply, r)
	return nil
}

// travel carries one message over a link.
func (n *Net) travel(ctx context.Context, l link, method string, m proto.Message) error {
	n.mu.Lock()
	isCut, isSilent := n.cut[l], n.silent[l]
	size := int64(proto.Size(m) + proto.Size(&wire.Header{Method: method, Sequence: 1 << 14}) + lengthBytes)
	n.bytes[l.from] += size
	n.bytes[l.to] += size
	n.mu.Unlock()
	if isCut {
		return ErrCut
	}
	if isSilent {
		<-ctx.Done()
		return ctx.Err()
	}
	return clock.System().Sleep(ctx, n.Delay(l.from, l.to))
}

// Pause holds back the timers and calls of one host, as a stopped process would.
type Pause struct {
	mu      sync.Mutex
	resumed chan struct{}
}

// Stop holds the host back until Resume.
func (p *Pause) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

// Resume lets the host go on.
func (p *Pause) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// Wait returns once the host is not paused, or the error of ctx.
func (p *Pause) Wait(ctx context.Context) error {
	p.mu.Lock()
	c := p.resumed
	p.mu.Unlock()
	if c == nil {
		return ctx.Err()
	}
	select {
	case <-c:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// Clock returns a clock whose timers fire late when the host is paused.
func (p *Pause) Clock() clock.Clock {
	base := clock.System()
	return clock.Clock{
		Now: base.Now,
		After: func(d time.Duration) <-chan time.Time {
			c := make(chan time.Time, 1)
			time.AfterFunc(d, func() { //nolint:forbidigo // this is the seam's other side
				_ = p.Wait(context.Background())
				c <- base.Now()
			})
			return c
		},
	}
}
