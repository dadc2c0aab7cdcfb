package guard

import (
	"io"
	"net"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
)

const (
	// A client sends at least progressBytes of a body, or the rest of it, in each progressTime.
	progressBytes = 4 << 10
	progressTime  = 10 * time.Second
)

// body is the body of a request, whose client has to make progress.
type body struct {
	io.ReadCloser
	conn *conn
	// received counts the bytes since the deadline was set.
	received  int
	isStarted bool
}

// Read reads from the body; it fails with a timeout when the client sends too slowly.
func (b *body) Read(p []byte) (int, error) {
	if !b.isStarted || b.received >= progressBytes {
		b.isStarted, b.received = true, 0
		_ = b.conn.SetReadDeadline(clock.Deadline(progressTime))
	}
	n, err := b.ReadCloser.Read(p)
	b.received += n
	if err != io.EOF {
		return n, err
	}
	_ = b.conn.SetReadDeadline(time.Time{})
	if !b.conn.beginExecution() {
		return n, net.ErrClosed
	}
	return n, io.EOF
}
