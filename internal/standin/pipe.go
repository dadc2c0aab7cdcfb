package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
)

// ErrNoListener is returned when no handler serves an address.
var ErrNoListener = errors.New("no handler serves the address")

// PipeDialer returns a dial function that opens in-memory connections to the handler of each address.
func PipeDialer(hs map[netip.AddrPort]http.Handler) func(context.Context, string, string) (net.Conn, error) {
	return func(_ context.Context, _, addr string) (net.Conn, error) {
		a, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, err
		}
		h, ok := hs[a]
		if !ok {
			return nil, ErrNoListener
		}
		client, server := net.Pipe()
		s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
		l := &singleListener{conn: make(chan net.Conn, 1)}
		l.conn <- server
		close(l.conn)
		go func() { _ = s.Serve(l) }()
		return client, nil
	}
}

// singleListener is a listener that accepts one connection.
type singleListener struct {
	conn chan net.Conn
}

func (s *singleListener) Accept() (net.Conn, error) {
	c, ok := <-s.conn
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (s *singleListener) Close() error   { return nil }
func (s *singleListener) Addr() net.Addr { return &net.TCPAddr{} }
