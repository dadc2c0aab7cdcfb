package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/protocol/codec"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	dialTimeout  = 600 * time.Millisecond
	pingInterval = 400 * time.Millisecond
	pingTimeout  = 800 * time.Millisecond
	redialDelay  = 200 * time.Millisecond
	maxSends     = 3
)

// errSilent closes a connection whose peer no longer answers.
var errSilent = errors.New("connection is silent")

var errClosed = errors.New("link is closed")

// session is one connection with its calls.
type session struct {
	client *rpc.Client
	// broken is closed once the connection was found silent or closed.
	broken  chan struct{}
	once    sync.Once
	pending int
}

func (s *session) close() {
	s.once.Do(func() {
		close(s.broken)
		// Closing waits for a blocked write, so that the caller must not wait for it.
		go func() { _ = s.client.Close() }()
	})
}

// link holds the connection to one peer.
type link struct {
	addr   netip.AddrPort
	dial   func(context.Context, netip.AddrPort) (net.Conn, error)
	clock  clock.Clock
	silent func()
	mu     sync.Mutex
	cur    *session
	// failed and failure remember the last dial that failed, so that waiting calls do not each dial again.
	failed  time.Time
	failure error
	// dialling is closed after the dial under way; nil without one.
	dialling chan struct{}
	closed   bool
	// pingOff turns the search for silent connections off, for tests.
	pingOff bool
}

// call sends the request, again on a fresh connection when the first falls silent; every method is idempotent.
func (l *link) call(ctx context.Context, method string, request, reply proto.Message) error {
	sent := false
	var last error
	for range maxSends {
		s, err := l.session(ctx)
		if err != nil && !sent {
			return fmt.Errorf("call %s at %s: %w: %w", method, l.addr, port.ErrUnsent, err)
		}
		if err != nil {
			return fmt.Errorf("call %s at %s: %w", method, l.addr, err)
		}
		sent = true
		last = l.send(ctx, s, method, request, reply)
		if last == nil || !errors.Is(last, errSilent) {
			break
		}
	}
	if last != nil {
		return fmt.Errorf("call %s at %s: %w", method, l.addr, last)
	}
	return nil
}

// send waits for the reply, the end of ctx, or the loss of the connection.
func (l *link) send(ctx context.Context, s *session, method string, request, reply proto.Message) error {
	l.begin(s)
	defer l.end(s)
	// The reply goes to a message of its own, since an abandoned call may still fill it in.
	fresh := reply.ProtoReflect().New().Interface()
	c := s.client.Go(method, request, fresh, make(chan *rpc.Call, 1))
	select {
	case <-c.Done:
	case <-s.broken:
		return errSilent
	case <-ctx.Done():
		return ctx.Err()
	}
	var e rpc.ServerError
	if c.Error != nil && !errors.As(c.Error, &e) {
		l.drop(s)
		return fmt.Errorf("%w: %w", errSilent, c.Error)
	}
	if c.Error != nil {
		return remoteError(e)
	}
	proto.Reset(reply)
	proto.Merge(reply, fresh)
	return nil
}

func (l *link) begin(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.pending++
}

func (l *link) end(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.pending--
}

// session returns the open connection; all calls that find none wait for the same dial.
func (l *link) session(ctx context.Context) (*session, error) {
	for {
		s, dialled, err := l.current()
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-dialled:
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for connection: %w", ctx.Err())
		}
	}
}

// current returns the connection, or why the last dial failed, or a channel that is closed after the dial under way.
func (l *link) current() (*session, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cur != nil {
		return l.cur, nil, nil
	}
	if l.failure != nil && l.clock.Since(l.failed) < redialDelay {
		return nil, nil, l.failure
	}
	if l.dialling == nil {
		l.dialling = make(chan struct{})
		go l.connect(l.dialling)
	}
	return nil, l.dialling, nil
}

func (l *link) connect(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := l.dial(ctx, l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	l.dialling = nil
	if err != nil {
		l.failure = fmt.Errorf("dial: %w", err)
		l.failed = l.clock.Now()
		return
	}
	l.failure = nil
	if l.closed {
		_ = c.Close()
		l.failure = errClosed
		l.failed = l.clock.Now()
		return
	}
	l.cur = &session{
		client: rpc.NewClientWithCodec(codec.NewClient(c)),
		broken: make(chan struct{}),
	}
	go l.watch(l.cur)
}

// watch pings while calls are pending, and drops the connection when a ping stays unanswered.
func (l *link) watch(s *session) {
	for {
		select {
		case <-s.broken:
			return
		case <-l.clock.After(pingInterval):
		}
		if l.pingOff || !l.isPending(s) {
			continue
		}
		c := s.client.Go("Peer.Ping", &wire.Empty{}, &wire.Empty{}, make(chan *rpc.Call, 1))
		select {
		case <-s.broken:
			return
		case <-c.Done:
			if c.Error != nil {
				l.drop(s)
				return
			}
		case <-l.clock.After(pingTimeout):
			l.silent()
			l.drop(s)
			return
		}
	}
}

func (l *link) isPending(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.pending > 0
}

func (l *link) drop(s *session) {
	l.mu.Lock()
	if l.cur == s {
		l.cur = nil
	}
	l.mu.Unlock()
	s.close()
}

func (l *link) close() {
	l.mu.Lock()
	s := l.cur
	l.cur = nil
	l.closed = true
	l.mu.Unlock()
	if s != nil {
		s.close()
	}
}

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Text string
}

// Error returns the peer's text.
func (e RemoteError) Error() string {
	return e.Text
}

// IsRemote reports that the error was made by the peer's handler.
func (e RemoteError) IsRemote() bool {
	return true
}

// Is matches a sentinel whose text ends the peer's text, since net/rpc carries errors as text only.
func (e RemoteError) Is(target error) bool {
	return strings.HasSuffix(e.Text, target.Error())
}

func remoteError(e rpc.ServerError) error {
	return RemoteError{Text: string(e)}
}
