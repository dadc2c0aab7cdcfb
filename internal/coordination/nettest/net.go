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

// Errors of calls that the network does not deliver.
var (
	ErrCut     = errors.New("link is cut")
	ErrNoRoute = errors.New("no handler for the method")
)

// prefixBytes is the size of the two length prefixes that the codec writes before header and body.
const prefixBytes = 2

// Handler serves one method; New returns empty messages of its request and reply types.
type Handler struct {
	New   func() (req, reply proto.Message)
	Serve func(ctx context.Context, req, reply proto.Message) error
}

type link struct{ from, to netip.AddrPort }

// Net connects hosts in memory; its methods may be called concurrently.
type Net struct {
	// Delay returns the one-way delay of a message on a link.
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

// Handle registers h for a method of the host at addr.
func (n *Net) Handle(addr netip.AddrPort, method string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers[addr] == nil {
		n.handlers[addr] = make(map[string]Handler)
	}
	n.handlers[addr][method] = h
}

// Serve registers f for a method of the host at addr.
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

// Remove drops all handlers of the host at addr, so that calls to it fail.
func (n *Net) Remove(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, addr)
}

// SetCut sets whether all calls between the two hosts fail.
func (n *Net) SetCut(a, b netip.AddrPort, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{a, b}] = isCut
	n.cut[link{b, a}] = isCut
}

// Silence sets whether messages from a to b are lost, so that calls hang until their context is done.
func (n *Net) Silence(a, b netip.AddrPort, isSilent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[link{a, b}] = isSilent
}

// Bytes returns the number of bytes that the host at addr has sent and received, as framed by the codec.
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
	if err := n.deliver(ctx, l, method, req); err != nil {
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
	if err := n.deliver(ctx, link{l.to, l.from}, method, r); err != nil {
		return err
	}
	if err := n.Pause(l.from).Wait(ctx); err != nil {
		return err
	}
	proto.Merge(reply, r)
	return nil
}

// deliver counts one message and delays it, or fails or blocks it if the link is cut or silent.
func (n *Net) deliver(ctx context.Context, l link, method string, m proto.Message) error {
	n.mu.Lock()
	isCut, isSilent := n.cut[l], n.silent[l]
	size := int64(proto.Size(m) + proto.Size(&wire.Header{Method: method, Sequence: 1 << 14}) + prefixBytes)
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

// Pause blocks the timers and calls of one host, as SIGSTOP does to a process.
type Pause struct {
	mu      sync.Mutex
	resumed chan struct{}
}

// Stop pauses the host until Resume.
func (p *Pause) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

// Resume ends the pause.
func (p *Pause) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// Wait blocks while the host is paused; it returns the error of ctx.
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

// Clock returns a clock whose timers fire only while the host is not paused.
func (p *Pause) Clock() clock.Clock {
	base := clock.System()
	return clock.Clock{
		Now: base.Now,
		After: func(d time.Duration) <-chan time.Time {
			c := make(chan time.Time, 1)
			time.AfterFunc(d, func() { //nolint:forbidigo // implements the clock that replaces the time package
				_ = p.Wait(context.Background())
				c <- base.Now()
			})
			return c
		},
	}
}
