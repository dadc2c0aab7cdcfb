package daemon

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
)

var errRefused = errors.New("connection refused")

// network connects in-memory listeners by pipes. Each link can be delayed or cut.
type network struct {
	mu        sync.Mutex
	delay     func(from, to string) time.Duration
	listeners map[netip.AddrPort]*listener
	processes map[netip.AddrPort]string
	cut       map[[2]string]bool
	relays    map[*relay]struct{}
	closed    chan struct{}
	// sent is the number of bytes that each process has written.
	sent map[string]int64
}

func newNetwork() *network {
	return &network{
		delay:     func(string, string) time.Duration { return time.Millisecond },
		listeners: map[netip.AddrPort]*listener{},
		processes: map[netip.AddrPort]string{},
		cut:       map[[2]string]bool{},
		relays:    map[*relay]struct{}{},
		closed:    make(chan struct{}),
		sent:      map[string]int64{},
	}
}

type listener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }

// listen opens an address of the named process.
func (n *network) listen(name string, a netip.AddrPort) (net.Listener, error) {
	l := &listener{addr: net.TCPAddrFromAddrPort(a), conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[a] = l
	n.processes[a] = name
	return l, nil
}

// dial connects the named process to an address.
func (n *network) dial(ctx context.Context, from string, a netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[a]
	to := n.processes[a]
	cut := n.cut[[2]string{from, to}]
	n.mu.Unlock()
	if cut {
		// A cut link drops the connection request. The dial also fails when the network is closed, since some callers set no
		// deadline.
		select {
		case <-ctx.Done():
		case <-n.closed:
		}
		return nil, errRefused
	}
	if !ok {
		return nil, errRefused
	}
	dialerEnd, relayDialerEnd := net.Pipe()
	relayListenerEnd, listenerEnd := net.Pipe()
	r := &relay{net: n, from: from, to: to, near: relayDialerEnd, far: relayListenerEnd}
	select {
	case l.conns <- listenerEnd:
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.relays[r] = struct{}{}
	n.mu.Unlock()
	go r.pump(relayDialerEnd, relayListenerEnd, from, to)
	go r.pump(relayListenerEnd, relayDialerEnd, to, from)
	return dialerEnd, nil
}

// setCut cuts or restores the links between two processes in both directions. Open connections on a cut link stay open
// but carry no more data.
func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{a, b}]
}

// reset closes all connections and listeners of a process, as its crash would.
func (n *network) reset(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, o := range n.processes {
		if o == name {
			_ = n.listeners[a].Close()
			delete(n.listeners, a)
			delete(n.processes, a)
		}
	}
	for r := range n.relays {
		if r.from == name || r.to == name {
			r.close()
			delete(n.relays, r)
		}
	}
}

// close closes all listeners and connections.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.closed)
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for r := range n.relays {
		r.close()
	}
}

type relay struct {
	net        *network
	from, to   string
	near, far  net.Conn
	blackholed bool
}

const (
	relayReadSize = 8 << 10
	relayQueueLen = 1024
)

// chunk holds the data of one read and the time of its delivery.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

func (n *network) countSent(from string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[from] += int64(bytes)
}

func (n *network) bytesSentBy(name string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[name]
}

// pump forwards data with the delay of the link. Once data is sent over a cut link, the connection loses this and
// all later data in both directions, even if the link is restored.
//
// pump reads from the sender without waiting for the delay, as the buffer of a socket accepts data at once.
func (r *relay) pump(in, out net.Conn, from, to string) {
	chunks := make(chan chunk, relayQueueLen)
	defer close(chunks)
	go r.deliver(out, chunks)
	for {
		b := make([]byte, relayReadSize)
		m, err := in.Read(b)
		if err != nil {
			return
		}
		r.net.countSent(from, m)
		if r.isBlackholed(from, to) {
			continue
		}
		chunks <- chunk{data: b[:m], deliverAt: time.Now().Add(r.net.delay(from, to))}
	}
}

// deliver writes the chunks when they are due, and closes the connection after the last one.
func (r *relay) deliver(out net.Conn, chunks <-chan chunk) {
	defer r.close()
	for c := range chunks {
		select {
		case <-clock.System().After(time.Until(c.deliverAt)):
		case <-r.net.closed:
		}
		if _, err := out.Write(c.data); err != nil {
			for range chunks {
			}
			return
		}
	}
}

func (r *relay) isBlackholed(from, to string) bool {
	cut := r.net.isCut(from, to)
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	r.blackholed = r.blackholed || cut
	return r.blackholed
}

func (r *relay) close() {
	_ = r.near.Close()
	_ = r.far.Close()
}
