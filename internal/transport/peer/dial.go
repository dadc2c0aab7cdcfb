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

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package syscall does not name.
const tcpUserTimeout = 18

const unackedTimeout = 2 * time.Second

// Dial connects over TCP with bounds on unacknowledged data and blocked writes.
func Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Control: control}
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", to, err)
	}
	return &boundedConn{Conn: c}, nil
}

func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", failed)
	}
	return nil
}

// boundedConn gives every write a deadline, so that a peer that stops reading blocks nobody for long.
type boundedConn struct {
	net.Conn
}

// Write sends b within the write timeout.
func (c *boundedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(clock.Deadline(writeTimeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	return c.Conn.Write(b)
}
