package guard

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// receiveBufferBytes is the size of the receive buffer of a connection, which holds what the process has not read.
const receiveBufferBytes = 32 << 10

// limitReceiveBuffers bounds the receive buffers of the connections that a listener accepts, also before they are accepted. A
// system that refuses it keeps its own size.
func limitReceiveBuffers(l net.Listener) {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
}

// Listener keeps at most a number of connections open. For a new one beyond them it closes an idle or a stalled one; if
// there is none it closes the new one, so that no connection waits unaccepted.
type Listener struct {
	net.Listener
	guard        *Guard
	max          int
	stalledAfter time.Duration

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Accept returns the next connection that there is room for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		x, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.admit(x); ok {
			return c, nil
		}
		l.guard.count(causeConnections)
		_ = x.Close()
	}
}

// admit adds a connection, and closes another one if there are too many.
func (l *Listener) admit(x net.Conn) (*conn, bool) {
	now := l.guard.clock.Now()
	if l.isFull() {
		v := l.takeVictim(now)
		if v == nil {
			return nil, false
		}
		l.guard.count(causeEvicted)
		_ = v.Close()
	}
	c := &conn{Conn: x, listener: l, progressAt: now, isInHeader: true, loan: loan{budget: l.guard.budget}}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, true
}

func (l *Listener) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) >= l.max
}

// takeVictim returns the connection to close, which begins to execute no further request.
func (l *Listener) takeVictim(now time.Time) *conn {
	for {
		v := l.findVictim(now)
		if v == nil || v.beginEviction(now) {
			return v
		}
	}
}

// findVictim returns the connection that has been idle for longest, or else the one that has been stalled for longest.
func (l *Listener) findVictim(now time.Time) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var victim *conn
	var victimRank int
	var victimSince time.Time
	for c := range l.conns {
		rank, since, ok := c.evictionRank(now)
		if !ok {
			continue
		}
		if victim == nil || rank < victimRank || rank == victimRank && since.Before(victimSince) {
			victim, victimRank, victimSince = c, rank, since
		}
	}
	return victim
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
