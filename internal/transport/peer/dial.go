package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// unackedTimeout is how long sent data may stay unacknowledged before the kernel closes the connection.
const unackedTimeout = 2 * time.Second

// Dial opens a TCP connection with timeouts for unacknowledged data and for blocked writes.
func Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Control: setUserTimeout}
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", to, err)
	}
	return &boundedConn{Conn: c}, nil
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", failed)
	}
	return nil
}

// boundedConn sets a deadline for every write, so that a peer that stops reading cannot block the writer.
type boundedConn struct {
	net.Conn
}

// Write writes b within writeTimeout.
func (c *boundedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(clock.Deadline(writeTimeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	return c.Conn.Write(b)
}
