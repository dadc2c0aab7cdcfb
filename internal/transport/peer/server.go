package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"

	"github.com/auburncleat/auburncleat/internal/protocol/codec"
	"github.com/pkg/errors"
)

// MaxConnections is the maximum number of connections that a server keeps open.
const MaxConnections = 256

// Server serves the calls of other hosts, with one goroutine per connection.
type Server struct {
	rpc   *rpc.Server
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	done  sync.WaitGroup
}

// NewServer returns a server that calls the handlers with ctx.
func NewServer(ctx context.Context, h Handlers) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName("Peer", &Peer{ctx: ctx, h: h}); err != nil {
		return nil, fmt.Errorf("register service Peer: %w", err)
	}
	if err := s.rpc.RegisterName("Owner", &Owner{ctx: ctx, h: h}); err != nil {
		return nil, fmt.Errorf("register service Owner: %w", err)
	}
	return s, nil
}

// Serve accepts connections until l is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}
		s.ServeConn(c)
	}
}

// ServeConn serves one connection in a new goroutine, or closes it if MaxConnections are open.
func (s *Server) ServeConn(c net.Conn) {
	if !s.add(c) {
		_ = c.Close()
		return
	}
	s.done.Go(func() {
		defer s.remove(c)
		s.rpc.ServeCodec(codec.NewServer(c))
	})
}

// Close ends all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= MaxConnections {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close()
}
