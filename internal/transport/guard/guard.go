package guard

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/uber-go/tally/v4"
)

// Causes for which clients are refused, as they appear in metrics and logs.
const (
	causeHeader      = "header_memory"
	causeMemory      = "memory"
	causeConnections = "connections"
	causeEvicted     = "evicted"
	causeSlow        = "slow"
	causeTooLarge    = "too_large"
)

const (
	// logInterval is the shortest time between two log lines about refused clients.
	logInterval   = 10 * time.Second
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// drainTimeout bounds the time for the rest of a body that nobody reads.
	drainTimeout = time.Second
)

// Guard bounds what the clients of several servers make the process hold.
type Guard struct {
	budget      *Budget
	headerBytes int
	clock       clock.Clock
	log         *slog.Logger
	scope       tally.Scope

	mu sync.Mutex
	// refused counts the refusals by cause since the last log line, which was written at loggedAt.
	refused  map[string]int
	loggedAt time.Time
}

// New returns a guard with a budget for all clients and a limit for the header of a request.
func New(b *Budget, headerBytes int, c clock.Clock, l *slog.Logger, s tally.Scope) *Guard {
	return &Guard{budget: b, headerBytes: headerBytes, clock: c, log: l, scope: s, refused: map[string]int{}}
}

// NewServer returns a server whose clients are bounded; it serves on a listener of the same guard.
func (g *Guard) NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: g.wrap(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: g.headerBytes,
		ConnContext: connContext, ConnState: noteState,
	}
}

// Listen returns a listener that keeps at most a number of the connections of l open. When there are as many, one without
// progress for stalledAfter may be closed for a new one.
func (g *Guard) Listen(l net.Listener, connections int, stalledAfter time.Duration) *Listener {
	limitReceiveBuffers(l)
	return &Listener{Listener: l, guard: g, max: connections, stalledAfter: stalledAfter, conns: map[*conn]struct{}{}}
}

func noteState(n net.Conn, s http.ConnState) {
	if c, ok := n.(*conn); ok && s == http.StateIdle {
		c.becomeIdle()
	}
}

// wrap bounds the requests of a handler.
func (g *Guard) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer func() {
			c.setPhase(answering)
			_ = c.SetReadDeadline(clock.Deadline(drainTimeout))
		}()
		if !c.beginRequest(r.Header) {
			g.RefuseBusy(w, r)
			return
		}
		q := r.WithContext(r.Context())
		q.Body = &body{ReadCloser: r.Body, conn: c}
		if r.ContentLength == 0 {
			c.setPhase(executing)
		}
		next.ServeHTTP(w, q)
	})
}

// Hold adds n bytes, which may be negative, to the memory that the client of a request makes the process hold. It returns
// false if there is no room. All is returned after the response.
func Hold(ctx context.Context, n int64) bool {
	c := connOf(ctx)
	return c == nil || c.grow(n)
}

// RefuseBusy answers that nothing was done, since the memory for clients is used up.
func (g *Guard) RefuseBusy(w http.ResponseWriter, r *http.Request) {
	g.count(causeMemory)
	w.Header().Set("Retry-After", "1")
	LeaveBody(w, r)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// RefuseLarge answers that the body is too large.
func (g *Guard) RefuseLarge(w http.ResponseWriter, r *http.Request) {
	g.count(causeTooLarge)
	LeaveBody(w, r)
	w.WriteHeader(http.StatusRequestEntityTooLarge)
}

// RefuseSlow answers that the body came too slowly.
func (g *Guard) RefuseSlow(w http.ResponseWriter) {
	g.count(causeSlow)
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusRequestTimeout)
}

// LeaveBody begins to execute a request that is answered before the rest of its body is read. The connection is closed after
// a body that is large or of unknown length; the rest of a small one is read and discarded.
func LeaveBody(w http.ResponseWriter, r *http.Request) {
	beginExecution(r)
	if r.ContentLength < 0 || r.ContentLength > smallBytes {
		w.Header().Set("Connection", "close")
	}
}

// beginExecution keeps the connection of a request from being closed for a new one until the handler returns.
func beginExecution(r *http.Request) {
	if c := connOf(r.Context()); c != nil {
		c.setPhase(executing)
	}
}

// IgnoreBodies returns a handler that answers requests with a body before the body is read.
func IgnoreBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		beginExecution(r)
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// count counts a refusal, and logs the counts from time to time.
func (g *Guard) count(cause string) {
	g.scope.Tagged(map[string]string{"Cause": cause}).Counter("clients_refused").Inc(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused[cause]++
	now := g.clock.Now()
	if now.Sub(g.loggedAt) < logInterval {
		return
	}
	g.loggedAt = now
	g.log.Warn("clients refused", "Causes", g.refused, "Memory", g.budget.Used())
	g.refused = map[string]int{}
}
