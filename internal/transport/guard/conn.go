package guard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/pkg/errors"
)

// errNoRoom reports that the budget has no room for the header of a request.
var errNoRoom = errors.New("no memory left for clients")

const (
	// freeHeaderBytes of a header are part of the fixed cost of a connection. headerFactor is the memory that a parsed
	// header takes for each byte beyond them, at most: one entry of a map for the shortest line.
	freeHeaderBytes = 2 << 10
	headerFactor    = 24
	// fieldBytes is the memory that one field of a parsed header takes beside its text.
	fieldBytes = 120
	// writePieceBytes have to be taken by the client within writeTimeout.
	writePieceBytes = 16 << 10
	writeTimeout    = 10 * time.Second
	// markBytes received are progress; fewer may come from a client that sends byte by byte to keep its connection.
	markBytes = 512
)

// phase is what a connection is doing.
type phase int

const (
	// reading receives a request, from its first byte to the last of its body.
	reading phase = iota
	// executing serves a request that was received in full, or whose body is not read.
	executing
	// answering sends the response.
	answering
	// idle waits for the next request.
	idle
)

// conn is a connection with the memory that its client makes the process hold.
type conn struct {
	net.Conn
	listener *Listener
	once     sync.Once

	mu    sync.Mutex
	phase phase
	// progressAt is the time of the last progress, and unmarked the number of bytes received since.
	progressAt time.Time
	unmarked   int64
	isInHeader bool
	// headerBytes is the number of bytes received since the last request.
	headerBytes int64
	loan        loan
	// isClosed is set when the connection is closed, or chosen to be closed.
	isClosed bool
}

type connKey struct{}

// connContext stores a connection in the context of its requests.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Read reads from the client, and fails if there is no memory for the header that it sends.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.recordRead(int64(n)) {
		c.listener.guard.count(causeHeader)
		// Without this the server could answer with 400, as it takes what it has read of a line for the whole line.
		_ = c.Close()
		return 0, errNoRoom
	}
	return n, err
}

func (c *conn) recordRead(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unmarked += n
	if c.phase == idle || c.unmarked >= markBytes {
		c.mark()
	}
	if c.phase == idle {
		c.phase = reading
	}
	if !c.isInHeader {
		return true
	}
	c.headerBytes += n
	return c.resize(max(c.headerBytes-freeHeaderBytes, 0) * headerFactor)
}

// mark records progress.
func (c *conn) mark() {
	c.progressAt, c.unmarked = c.listener.guard.clock.Now(), 0
}

// resize changes the memory that the connection holds; a closed connection holds none.
func (c *conn) resize(n int64) bool {
	return !c.isClosed && c.loan.resize(n)
}

// Write writes b in pieces, each within writeTimeout.
func (c *conn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		if err := c.SetWriteDeadline(clock.Deadline(writeTimeout)); err != nil {
			return sent, fmt.Errorf("set write deadline: %w", err)
		}
		n, err := c.Conn.Write(b[sent:min(sent+writePieceBytes, len(b))])
		sent += n
		if err != nil {
			return sent, err
		}
		c.mu.Lock()
		c.mark()
		c.mu.Unlock()
	}
	return sent, nil
}

// CloseWrite ends what the client receives. The server reads on for a moment, so that the client can receive a refusal.
func (c *conn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns its memory.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.listener.remove(c)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.loan.resize(0)
		c.isClosed = true
	})
	return err
}

// beginRequest replaces the estimate for the header by what it takes; it returns false if there is no memory for it.
func (c *conn) beginRequest(h http.Header) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isInHeader, c.headerBytes = false, 0
	// Whether the body is read is decided at once; until then the connection is not closed for a new one.
	c.mark()
	return c.resize(headerCost(h))
}

// headerCost returns the memory that a parsed header takes beyond the fixed cost of a connection.
func headerCost(h http.Header) int64 {
	n := int64(0)
	for k, vs := range h {
		n += fieldBytes + int64(len(k))
		for _, v := range vs {
			n += int64(len(v)) + fieldBytes
		}
	}
	return max(n-freeHeaderBytes, 0)
}

// grow adds to the memory that the connection holds.
func (c *conn) grow(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resize(max(c.loan.held+n, 0))
}

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	c.mark()
}

// beginExecution sets the phase to executing; it returns false if the connection is closed.
func (c *conn) beginExecution() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return false
	}
	c.phase = executing
	c.mark()
	return true
}

// becomeIdle returns the memory of the last request.
func (c *conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.isInHeader, c.headerBytes = idle, true, 0
	c.mark()
	c.resize(0)
}

// evictionRank returns the order in which connections are closed for new ones, and whether the connection may be closed.
func (c *conn) evictionRank(now time.Time) (rank int, since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isEvictable(now) {
		return 0, time.Time{}, false
	}
	if c.phase == idle {
		return 0, c.progressAt, true
	}
	return 1, c.progressAt, true
}

// beginEviction marks the connection as closed, unless it may no longer be closed for a new one.
func (c *conn) beginEviction(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isEvictable(now) {
		return false
	}
	c.isClosed = true
	return true
}

func (c *conn) isEvictable(now time.Time) bool {
	switch {
	case c.isClosed, c.phase == executing:
		return false
	case c.phase == idle:
		return true
	default:
		return now.Sub(c.progressAt) >= c.listener.stalledAfter
	}
}
