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

// network joins in-memory listeners by pipes; each link can be delayed, silenced or cut.
type network struct {
	mu        sync.Mutex
	delay     func(from, to string) time.Duration
	listeners map[netip.AddrPort]*listener
	owners    map[netip.AddrPort]string
	cut       map[[2]string]bool
	relays    map[*relay]struct{}
	closed    chan struct{}
	// sent counts the bytes that each process has written.
	sent map[string]int64
}

func newNetwork() *network {
	return &network{
		delay:     func(string, string) time.Duration { return time.Millisecond },
		listeners: map[netip.AddrPort]*listener{},
		owners:    map[netip.AddrPort]string{},
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
	n.owners[a] = name
	return l, nil
}

// dial connects the named process to an address.
func (n *network) dial(ctx context.Context, from string, a netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[a]
	to := n.owners[a]
	cut := n.cut[[2]string{from, to}]
	n.mu.Unlock()
	if cut {
		// A cut swallows the request to connect; some callers wait for it without a bound of their own.
		select {
		case <-ctx.Done():
		case <-n.closed:
		}
		return nil, errRefused
	}
	if !ok {
		return nil, errRefused
	}
	mine, near := net.Pipe()
	far, theirs := net.Pipe()
	r := &relay{n: n, from: from, to: to, near: near, far: far}
	select {
	case l.conns <- theirs:
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.relays[r] = struct{}{}
	n.mu.Unlock()
	go r.pump(near, far, from, to)
	go r.pump(far, near, to, from)
	return mine, nil
}

// setCut cuts or heals the links between two processes in both directions; open connections fall silent.
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

// reset breaks all connections of a process, as its death does, and closes its addresses.
func (n *network) reset(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, o := range n.owners {
		if o == name {
			_ = n.listeners[a].Close()
			delete(n.listeners, a)
			delete(n.owners, a)
		}
	}
	for r := range n.relays {
		if r.from == name || r.to == name {
			r.close()
			delete(n.relays, r)
		}
	}
}

// close breaks everything.
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
	n         *network
	from, to  string
	near, far net.Conn
	silent    bool
}

const (
	relayBuffer = 8 << 10
	relayChunks = 1024
)

// chunk is what one read took in, and when it is due at the other end.
type chunk struct {
	data []byte
	due  time.Time
}

func (n *network) count(from string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[from] += int64(bytes)
}

func (n *network) bytesOf(name string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[name]
}

// pump moves bytes with the link's delay; bytes sent over a link that was ever cut are lost for good.
//
// Reading never waits for the delay, as a socket's buffer takes what is written at once.
func (r *relay) pump(in, out net.Conn, from, to string) {
	chunks := make(chan chunk, relayChunks)
	defer close(chunks)
	go r.deliver(out, chunks)
	for {
		b := make([]byte, relayBuffer)
		m, err := in.Read(b)
		if err != nil {
			return
		}
		r.n.count(from, m)
		if r.isSilent(from, to) {
			continue
		}
		chunks <- chunk{data: b[:m], due: time.Now().Add(r.n.delay(from, to))}
	}
}

// deliver closes the connection once all that was read has arrived.
func (r *relay) deliver(out net.Conn, chunks <-chan chunk) {
	defer r.close()
	for c := range chunks {
		select {
		case <-clock.System().After(time.Until(c.due)):
		case <-r.n.closed:
		}
		if _, err := out.Write(c.data); err != nil {
			for range chunks {
			}
			return
		}
	}
}

func (r *relay) isSilent(from, to string) bool {
	cut := r.n.isCut(from, to)
	r.n.mu.Lock()
	defer r.n.mu.Unlock()
	r.silent = r.silent || cut
	return r.silent
}

func (r *relay) close() {
	_ = r.near.Close()
	_ = r.far.Close()
}
