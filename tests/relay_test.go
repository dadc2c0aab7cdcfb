package tests

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// relay forwards TCP connections and injects network faults into them.
type relay struct {
	at          netip.AddrPort
	to          netip.AddrPort
	mu          sync.Mutex
	listener    net.Listener
	links       []*link
	isClosed    atomic.Bool
	connections sync.WaitGroup
	// blocked stops the traffic from the clients (0) and to the clients (1).
	blocked [2]atomic.Bool
	// delay is added to each forwarded chunk, in nanoseconds.
	delay atomic.Int64
}

// blockPollInterval is the interval at which a blocked direction is checked.
const blockPollInterval = 20 * time.Millisecond

// block sets which directions are blocked; blocked bytes are kept and forwarded later.
func (r *relay) block(toward, back bool) {
	r.blocked[0].Store(toward)
	r.blocked[1].Store(back)
}

// unblock forwards the blocked bytes and ends the delay.
func (r *relay) unblock() {
	r.block(false, false)
	r.delay.Store(0)
}

// awaitUnblocked waits for the delay, and until a direction is not blocked or the relay is closed.
func (r *relay) awaitUnblocked(direction int) {
	if d := r.delay.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
	for r.blocked[direction].Load() && !r.isClosed.Load() {
		time.Sleep(blockPollInterval)
	}
}

// link is one connection through a relay.
type link struct {
	relay        *relay
	in, out      net.Conn
	isBlackholed atomic.Bool
	// hasDropped is set once a byte was dropped.
	hasDropped atomic.Bool
}

// newRelay forwards connections from one address to another until the test ends.
func newRelay(t *testing.T, at, to netip.AddrPort) *relay {
	r := &relay{at: at, to: to}
	r.listen(t)
	t.Cleanup(r.close)
	return r
}

// listen accepts connections.
func (r *relay) listen(t *testing.T) {
	l, err := net.Listen("tcp", r.at.String())
	require.NoError(t, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener = l
	r.connections.Go(func() { r.accept(l) })
}

// refuse closes all connections and refuses new ones until listen is called.
func (r *relay) refuse() {
	r.mu.Lock()
	_ = r.listener.Close()
	r.mu.Unlock()
	r.closeLinks()
}

func (r *relay) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		if r.isClosed.Load() {
			_ = in.Close()
			continue
		}
		r.connections.Go(func() { r.forward(in) })
	}
}

func (r *relay) forward(in net.Conn) {
	defer in.Close()
	var d net.Dialer
	out, err := d.DialContext(context.Background(), "tcp", r.to.String())
	if err != nil {
		return
	}
	defer out.Close()
	l := &link{relay: r, in: in, out: out}
	r.mu.Lock()
	r.links = append(r.links, l)
	r.mu.Unlock()
	var g sync.WaitGroup
	g.Go(func() { l.copy(out, in, 0) })
	g.Go(func() { l.copy(in, out, 1) })
	g.Wait()
}

// copy forwards bytes; on a blackholed link it drops them, and does not forward the close of the connection.
func (l *link) copy(to, from net.Conn, direction int) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if l.isBlackholed.Load() {
			if n > 0 {
				l.hasDropped.Store(true)
			}
			if err != nil {
				return
			}
			continue
		}
		l.relay.awaitUnblocked(direction)
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// blackhole drops all further bytes of the open connections and returns their number; new connections work.
func (r *relay) blackhole() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.isBlackholed.Store(true)
	}
	return len(r.links)
}

// countDropped returns the number of blackholed connections that have dropped any byte.
func (r *relay) countDropped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.links {
		if l.hasDropped.Load() {
			n++
		}
	}
	return n
}

func (r *relay) closeLinks() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		_ = l.in.Close()
		_ = l.out.Close()
	}
	r.links = nil
}

func (r *relay) close() {
	r.isClosed.Store(true)
	r.refuse()
	r.connections.Wait()
}
