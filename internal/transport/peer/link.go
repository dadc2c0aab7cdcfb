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
	maxAttempts  = 3
)

// errConnLost is returned for calls on a connection that failed or whose peer no longer answers. Other hosts match its text.
var errConnLost = errors.New("connection is silent")

var errClosed = errors.New("connection is closed")

// session is one connection with its pending calls.
type session struct {
	client *rpc.Client
	// lost is closed when the connection was closed or found unresponsive.
	lost    chan struct{}
	once    sync.Once
	pending int
}

func (s *session) close() {
	s.once.Do(func() {
		close(s.lost)
		// Close blocks while a write is blocked, so it runs in a goroutine.
		go func() { _ = s.client.Close() }()
	})
}

// link manages the connection to one peer.
type link struct {
	addr           netip.AddrPort
	dial           func(context.Context, netip.AddrPort) (net.Conn, error)
	clock          clock.Clock
	onUnresponsive func()
	mu             sync.Mutex
	active         *session
	// dialFailedAt and dialErr are the time and the error of the last failed dial. Calls within redialDelay of it return
	// the error instead of dialling again.
	dialFailedAt time.Time
	dialErr      error
	// dialDone is closed when the dial in progress ends; nil if there is none.
	dialDone chan struct{}
	closed   bool
	// pingDisabled turns off the detection of unresponsive connections, for tests.
	pingDisabled bool
}

// call sends the request, and retries it over a new connection if the connection is lost. It may retry since every method
// is idempotent.
func (l *link) call(ctx context.Context, method string, request, reply proto.Message) error {
	sent := false
	var last error
	for range maxAttempts {
		s, err := l.session(ctx)
		if err != nil && !sent {
			return fmt.Errorf("call %s at %s: %w: %w", method, l.addr, port.ErrUnsent, err)
		}
		if err != nil {
			return fmt.Errorf("call %s at %s: %w", method, l.addr, err)
		}
		sent = true
		last = l.attempt(ctx, s, method, request, reply)
		if last == nil || !errors.Is(last, errConnLost) {
			break
		}
	}
	if last != nil {
		return fmt.Errorf("call %s at %s: %w", method, l.addr, last)
	}
	return nil
}

// attempt sends the request once and waits for the reply, the end of ctx, or the loss of the connection.
func (l *link) attempt(ctx context.Context, s *session, method string, request, reply proto.Message) error {
	l.addPending(s)
	defer l.removePending(s)
	// The reply is decoded into a separate message, since net/rpc may still write to it after the call was abandoned.
	fresh := reply.ProtoReflect().New().Interface()
	c := s.client.Go(method, request, fresh, make(chan *rpc.Call, 1))
	select {
	case <-c.Done:
	case <-s.lost:
		return errConnLost
	case <-ctx.Done():
		return ctx.Err()
	}
	var e rpc.ServerError
	if c.Error != nil && !errors.As(c.Error, &e) {
		l.drop(s)
		return fmt.Errorf("%w: %w", errConnLost, c.Error)
	}
	if c.Error != nil {
		return newRemoteError(e)
	}
	proto.Reset(reply)
	proto.Merge(reply, fresh)
	return nil
}

func (l *link) addPending(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.pending++
}

func (l *link) removePending(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.pending--
}

// session returns the open connection; all calls without one wait for the same dial.
func (l *link) session(ctx context.Context) (*session, error) {
	for {
		s, dialled, err := l.currentOrDial()
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

// currentOrDial returns the open connection, the error of a recent dial, or a channel that is closed when the dial in
// progress ends. It starts a dial if necessary.
func (l *link) currentOrDial() (*session, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active != nil {
		return l.active, nil, nil
	}
	if l.dialErr != nil && l.clock.Since(l.dialFailedAt) < redialDelay {
		return nil, nil, l.dialErr
	}
	if l.dialDone == nil {
		l.dialDone = make(chan struct{})
		go l.connect(l.dialDone)
	}
	return nil, l.dialDone, nil
}

func (l *link) connect(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := l.dial(ctx, l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	l.dialDone = nil
	if err != nil {
		l.dialErr = fmt.Errorf("dial: %w", err)
		l.dialFailedAt = l.clock.Now()
		return
	}
	l.dialErr = nil
	if l.closed {
		_ = c.Close()
		l.dialErr = errClosed
		l.dialFailedAt = l.clock.Now()
		return
	}
	l.active = &session{
		client: rpc.NewClientWithCodec(codec.NewClient(c)),
		lost:   make(chan struct{}),
	}
	go l.monitor(l.active)
}

// monitor sends pings while calls are pending, and closes the connection if a ping is not answered within pingTimeout.
func (l *link) monitor(s *session) {
	for {
		select {
		case <-s.lost:
			return
		case <-l.clock.After(pingInterval):
		}
		if l.pingDisabled || !l.isPending(s) {
			continue
		}
		c := s.client.Go("Peer.Ping", &wire.Empty{}, &wire.Empty{}, make(chan *rpc.Call, 1))
		select {
		case <-s.lost:
			return
		case <-c.Done:
			if c.Error != nil {
				l.drop(s)
				return
			}
		case <-l.clock.After(pingTimeout):
			l.onUnresponsive()
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
	if l.active == s {
		l.active = nil
	}
	l.mu.Unlock()
	s.close()
}

func (l *link) close() {
	l.mu.Lock()
	s := l.active
	l.active = nil
	l.closed = true
	l.mu.Unlock()
	if s != nil {
		s.close()
	}
}

// RemoteError is an error that the handler of the peer returned.
type RemoteError struct {
	Text string
}

// Error returns the text that the peer sent.
func (e RemoteError) Error() string {
	return e.Text
}

// IsRemote distinguishes errors of the peer's handler from those of the connection; it returns true.
func (e RemoteError) IsRemote() bool {
	return true
}

// Is matches a sentinel error whose text is a suffix of the peer's text, since net/rpc transmits only the text of errors.
func (e RemoteError) Is(target error) bool {
	return strings.HasSuffix(e.Text, target.Error())
}

func newRemoteError(e rpc.ServerError) error {
	return RemoteError{Text: string(e)}
}
