package guard

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// pipeListener accepts the server's ends of pipes.
type pipeListener struct {
	net.Listener
	ends chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.ends
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serve serves a handler within a budget and returns the function that connects a client.
func serve(t *testing.T, budget int64, connections int, h http.Handler) (*Guard, func() net.Conn) {
	g := New(NewBudget(budget), 16<<10, clock.System(), slog.New(slog.DiscardHandler), tally.NoopScope)
	l := &pipeListener{ends: make(chan net.Conn)}
	s := g.NewServer(h)
	go func() { _ = s.Serve(g.Listen(l, connections, time.Second)) }()
	t.Cleanup(func() {
		close(l.ends)
		_ = s.Close()
		synctest.Wait()
	})
	return g, func() net.Conn {
		client, server := net.Pipe()
		l.ends <- server
		t.Cleanup(func() { _ = client.Close() })
		return client
	}
}

// send writes in the background, as a pipe has no buffer, and returns a channel with the status of the response, or zero.
func send(c net.Conn, text string) chan int {
	go func() { _, _ = io.WriteString(c, text) }()
	return receive(c)
}

func receive(c net.Conn) chan int {
	status := make(chan int, 1)
	go func() {
		p, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			status <- 0
			return
		}
		status <- p.StatusCode
	}()
	return status
}

// readAll is a handler that reads the body and reports whether that failed.
var readAll = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
	}
})

// TestStoppedBodyEndsAndSlowOneGoesOn guards against clients that stop within a body and stay connected, and against a limit
// of the whole time, which a slow honest client would meet.
func TestStoppedBodyEndsAndSlowOneGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, connect := serve(t, 1<<20, 4, readAll)
		const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n"
		stopped := send(connect(), head+"x")
		c := connect()
		slow := receive(c)
		go func() {
			_, _ = io.WriteString(c, head)
			for range 64 {
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, strings.Repeat("x", 1024))
			}
		}()
		require.Equal(t, http.StatusRequestTimeout, <-stopped)
		require.Equal(t, http.StatusOK, <-slow)
	})
}

// TestStalledConnectionGivesWay guards against clients that take all connections and send nothing, or a byte from time to
// time: a new client is served, and a request that is being executed is not broken off for it.
func TestStalledConnectionGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		_, connect := serve(t, 1<<20, 2, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				<-release
			}
		}))
		long := send(connect(), "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
		drip := connect()
		var dripping sync.WaitGroup
		dripping.Go(func() {
			for _, x := range "GET / HTTP/1.1" {
				if _, err := drip.Write([]byte(string(x))); err != nil {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
		time.Sleep(1100 * time.Millisecond)
		require.Equal(t, http.StatusOK, <-send(connect(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		require.Zero(t, <-receive(drip))
		close(release)
		require.Equal(t, http.StatusOK, <-long)
		dripping.Wait()
	})
}

// TestExecutedRequestWithUnreadBodyIsAnswered guards against the eviction of a request that is being executed while its body,
// which nobody reads, is still under way: its caller could not tell whether it took effect.
func TestExecutedRequestWithUnreadBodyIsAnswered(t *testing.T) {
	leave := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			LeaveBody(w, r)
			next.ServeHTTP(w, r)
		})
	}
	for name, wrap := range map[string]func(http.Handler) http.Handler{"left": leave, "ignored": IgnoreBodies} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				execute := func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Second) }
				_, connect := serve(t, 1<<20, 1, wrap(http.HandlerFunc(execute)))
				long := send(connect(), "DELETE / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
				time.Sleep(2 * time.Second)
				require.Zero(t, <-send(connect(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"), "there is no connection for it")
				require.Equal(t, http.StatusOK, <-long)
			})
		})
	}
}

// TestVictimDoesNotBeginExecution guards against a connection that is chosen to be closed and receives the rest of a request
// before it is closed: the request would be executed and its caller would not hear of it.
func TestVictimDoesNotBeginExecution(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(NewBudget(1<<20), 16<<10, clock.System(), slog.New(slog.DiscardHandler), tally.NoopScope)
		l := g.Listen(&pipeListener{}, 1, time.Second)
		_, end := net.Pipe()
		c, ok := l.admit(end)
		require.True(t, ok)
		require.True(t, c.beginRequest(http.Header{}))
		time.Sleep(2 * time.Second)
		require.Same(t, c, l.takeVictim(time.Now()))
		b := body{ReadCloser: http.NoBody, conn: c}
		_, err := b.Read(make([]byte, 1))
		require.ErrorIs(t, err, net.ErrClosed)
		require.False(t, c.beginRequest(http.Header{}))
		require.Nil(t, l.takeVictim(time.Now()), "it is taken once")
	})
}

// TestHeadersTakeMemoryFromTheBudget guards against many requests whose headers consist of very many short fields: beyond
// the budget connections are closed, and their memory is free again afterwards.
func TestHeadersTakeMemoryFromTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, connect := serve(t, 800<<10, 16, readAll)
		fields := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3500)
		var held []net.Conn
		var statuses []chan int
		for range 4 {
			c := connect()
			held, statuses = append(held, c), append(statuses, send(c, fields))
			synctest.Wait()
		}
		require.LessOrEqual(t, g.budget.Used(), int64(800<<10))
		require.Zero(t, <-statuses[3], "the last one has no room")
		for _, c := range held {
			_ = c.Close()
		}
		synctest.Wait()
		require.Zero(t, g.budget.Used())
		require.Equal(t, http.StatusOK, <-send(connect(), fields+"\r\n"))
	})
}

// TestLargeLoansLeaveRoomForSmallOnes guards against clients with large bodies that keep all others out.
func TestLargeLoansLeaveRoomForSmallOnes(t *testing.T) {
	b := NewBudget(1 << 20)
	large := 0
	for l := (loan{budget: b}); l.resize(256 << 10); l = (loan{budget: b}) {
		large++
	}
	require.Equal(t, 3, large)
	small := loan{budget: b}
	require.True(t, small.resize(smallBytes))
	require.True(t, small.resize(0))
	require.EqualValues(t, 3*256<<10, b.Used())
}
