package host

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/setup"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/guard"
	"github.com/oklog/run"
	"github.com/pkg/errors"
)

const (
	// clientMemoryDivisor and connectionMemoryDivisor give the parts of the memory of the machine that requests and
	// connections of clients may take.
	clientMemoryDivisor     = 8
	connectionMemoryDivisor = 4
	// jobMemoryDivisor gives the part that open jobs may take.
	jobMemoryDivisor = 2
	// connectionBytes is the memory that a connection takes: its buffers, its goroutine, and what it has received and the
	// process has not read.
	connectionBytes = 64 << 10
	// reservedFiles are open files that are kept for other uses than connections. The callers get half of the rest, and
	// the calls to the store, to workers and to other hosts the other half.
	reservedFiles  = 200
	minConnections = 16
	// maxProbes bounds the connections to each of the ready and the status address.
	maxProbes = 32
	// A connection without progress for this long may be closed for a new one. A probe sends its request at once.
	callerStalledAfter = time.Second
	probeStalledAfter  = 100 * time.Millisecond
)

// endpoint is an HTTP server with its address and the limits of its connections.
type endpoint struct {
	server       *http.Server
	addr         netip.AddrPort
	connections  int
	stalledAfter time.Duration
}

// endpoints holds the HTTP servers of a host, whose clients one guard bounds.
type endpoints struct {
	guard                  *guard.Guard
	callers, ready, status endpoint
}

func (h *Host) newEndpoints() endpoints {
	m, at := h.settings.Limits, h.settings.Listen
	budget := int64(m.CallerMemory)
	if budget == 0 {
		budget = int64(m.Memory) / clientMemoryDivisor
	}
	g := guard.New(guard.NewBudget(budget), int(m.Header), h.clock, h.log, h.scope)
	handler := h.deps.NewCallerHandler(CallerDeps{
		Serve: h.relay.Serve, Admit: h.intake.CheckPath, Guard: g, MaxBody: m.Body, Log: h.log,
	})
	return endpoints{
		guard:   g,
		callers: endpoint{g.NewServer(handler), at.Caller, h.maxCallers(), callerStalledAfter},
		ready:   endpoint{g.NewServer(guard.IgnoreBodies(http.HandlerFunc(h.serveReady))), at.Ready, maxProbes, probeStalledAfter},
		status:  endpoint{g.NewServer(guard.IgnoreBodies(h.statusServer().Handler())), at.Status, maxProbes, probeStalledAfter},
	}
}

// jobMemory returns the memory that open jobs may take.
func jobMemory(s *setup.Site) fleet.Bytes {
	if s.Limits.JobMemory > 0 {
		return s.Limits.JobMemory
	}
	return s.Limits.Memory / jobMemoryDivisor
}

// MaxConnections returns how many connections of all kinds the host may have open, and false if nothing limits them.
func MaxConnections(s *setup.Site) (int, bool) {
	files, ok := s.Limits.OpenFiles, true
	if files == 0 {
		files, ok = guard.MaxOpenFiles()
	}
	return files - reservedFiles, ok
}

// maxCallers returns the number of connections that callers may keep open.
func (h *Host) maxCallers() int {
	m := h.settings.Limits
	if m.Connections > 0 {
		return m.Connections
	}
	n := int(m.Memory / connectionMemoryDivisor / connectionBytes)
	if files, ok := MaxConnections(h.settings); ok {
		n = min(n, files/2)
	}
	return max(n, minConnections)
}

// addEndpoint listens at the address of an endpoint and serves it.
func (h *Host) addEndpoint(r *run.Group, g *guard.Guard, e endpoint) error {
	l, err := h.deps.Listen(e.addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", e.addr, err)
	}
	r.Add(func() error {
		if err := e.server.Serve(g.Listen(l, e.connections, e.stalledAfter)); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", e.addr, err)
		}
		<-h.drained
		return nil
	}, func(error) { _ = e.server.Close() })
	return nil
}
