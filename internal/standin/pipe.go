package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
)

// ErrNoListener says that no handler serves an address.
var ErrNoListener = errors.New("nothing listens on the address")

// Pipes returns a function that opens connections in memory to the handlers by address.
func Pipes(hs map[netip.AddrPort]http.Handler) func(context.Context, string, string) (net.Conn, error) {
	return func(_ context.Context, _, addr string) (net.Conn, error) {
		a, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, err
		}
		h, ok := hs[a]
		if !ok {
			return nil, ErrNoListener
		}
		near, far := net.Pipe()
		s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
		l := &single{conn: make(chan net.Conn, 1)}
		l.conn <- far
		close(l.conn)
		go func() { _ = s.Serve(l) }()
		return near, nil
	}
}

// single is a listener of one connection.
type single struct {
	conn chan net.Conn
}

func (s *single) Accept() (net.Conn, error) {
	c, ok := <-s.conn
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (s *single) Close() error   { return nil }
func (s *single) Addr() net.Addr { return &net.TCPAddr{} }
