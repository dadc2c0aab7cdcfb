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

// relay forwards TCP connections, and can let those that are open fall silent while new ones work.
type relay struct {
	to       netip.AddrPort
	listener net.Listener
	mu       sync.Mutex
	links    []*link
	cut      atomic.Bool
	running  sync.WaitGroup
	// held keeps what comes from the callers (0) or goes back to them (1) until it is let go.
	held [2]atomic.Bool
	// delay is added to everything that is passed on, in nanoseconds.
	delay atomic.Int64
}

// holdPoll is how often a held direction is looked at again.
const holdPoll = 20 * time.Millisecond

// hold keeps the bytes of both directions, or of one, until release.
func (r *relay) hold(toward, back bool) {
	r.held[0].Store(toward)
	r.held[1].Store(back)
}

// release lets go of what was held and delays nothing any more.
func (r *relay) release() {
	r.hold(false, false)
	r.delay.Store(0)
}

// await returns once bytes of a direction may be passed on, or the relay is closed.
func (r *relay) await(direction int) {
	if d := r.delay.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
	for r.held[direction].Load() && !r.cut.Load() {
		time.Sleep(holdPoll)
	}
}

// link is one connection through a relay.
type link struct {
	relay   *relay
	in, out net.Conn
	silent  atomic.Bool
	// swallowed is set once a byte was dropped.
	swallowed atomic.Bool
}

// newRelay forwards connections from one address to the other until the test ends.
func newRelay(t *testing.T, at, to netip.AddrPort) *relay {
	l, err := net.Listen("tcp", at.String())
	require.NoError(t, err)
	r := &relay{to: to, listener: l}
	r.running.Go(r.accept)
	t.Cleanup(r.close)
	return r
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.cut.Load() {
			_ = in.Close()
			continue
		}
		r.running.Go(func() { r.forward(in) })
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

// copy passes bytes on; on a silent link it swallows them, and the end of the connection too.
func (l *link) copy(to, from net.Conn, direction int) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if l.silent.Load() {
			if n > 0 {
				l.swallowed.Store(true)
			}
			if err != nil {
				return
			}
			continue
		}
		l.relay.await(direction)
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

// silence makes all open connections swallow what they get; it returns their number.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.silent.Store(true)
	}
	return len(r.links)
}

// swallowed counts the silent connections that have lost something.
func (r *relay) swallowed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.links {
		if l.swallowed.Load() {
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
	r.cut.Store(true)
	_ = r.listener.Close()
	r.closeLinks()
	r.running.Wait()
}
