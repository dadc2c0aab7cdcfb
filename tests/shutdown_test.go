package tests

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/transport/entry"
	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

const (
	// drainTimeout bounds the time until a terminated host reports that it is not ready.
	drainTimeout = 3 * time.Second
	// largeAnswer is the size of the answer of one task in bytes; the job's answer exceeds the buffers of a connection.
	largeAnswer = 1 << 20
	largeTasks  = 4
	// readBuffer is the receive buffer of the client in bytes, small so that an unread answer blocks the host.
	readBuffer = 16 << 10
	ioTimeout  = 40 * time.Second
)

func TestTerminatedOwnerFinishesItsRequestsAndGetsNoNewWork(t *testing.T) {
	f := newFleet(t, domain{"east", 3}, domain{"west", 1})
	f.start()
	old := f.awaitOwner("east")
	q := f.pinnedJob("east", largeTasks, 100*time.Millisecond)
	q.Work = encodeWork(100*time.Millisecond, largeAnswer)
	job := f.submitAccepted(old, q)
	f.requireDone(old, job, largeTasks)
	answer := f.openAnswer(old, job)
	create := f.openCreate(old, registrationJob(f.keyWithHome("east", 9)))

	p := f.procs[old]
	f.signal(old, syscall.SIGTERM)
	f.eventually(drainTimeout, "not ready", func() bool {
		return f.get(f.hostAddr(old, statusPort), "/readyz", nil) != http.StatusOK
	})
	f.eventually(outcomeTimeout, "next owner", func() bool {
		o := f.owner("west-1", "east")
		return o != "" && o != old
	})
	later := f.submitAccepted("west-1", registrationJob(f.keyWithHome("east", 8)))
	f.requireDone("west-1", later, 2)
	require.NotEqual(t, old, f.placedBy(later))

	// The old owner still has both requests in flight.
	f.requireCreated(create)
	requireCompleteAnswer(t, answer)
	code := f.wait(p, shutdownTimeout+drainTimeout)
	require.Zero(t, code, p.output())
	delete(f.procs, old)
	f.requireOnce(job, largeTasks)
}

func TestSecondSignalDoesNotInterruptShutdown(t *testing.T) {
	f := newFleet(t, domain{"east", 2})
	f.start()
	create := f.openCreate("east-2", auditJob(1, 100*time.Millisecond))
	p := f.procs["east-2"]
	f.signal("east-2", syscall.SIGTERM)
	f.eventually(drainTimeout, "not ready", func() bool {
		return f.get(f.hostAddr("east-2", statusPort), "/readyz", nil) != http.StatusOK
	})
	f.signal("east-2", syscall.SIGTERM)
	f.requireCreated(create)
	require.Zero(t, f.wait(p, shutdownTimeout+drainTimeout), p.output())
	delete(f.procs, "east-2")
}

func TestJoiningHostExitsWithZeroOnSIGTERM(t *testing.T) {
	// No platform runs, so the host never becomes ready.
	f := newFleet(t, domain{"east", 1})
	p := f.startHost("east-1")
	f.eventually(readyTimeout, "status", func() bool {
		return f.get(f.hostAddr("east-1", statusPort), "/readyz", nil) == http.StatusServiceUnavailable
	})
	f.signal("east-1", syscall.SIGTERM)
	require.Zero(t, f.wait(p, shutdownTimeout+drainTimeout), p.output())
	delete(f.procs, "east-1")
}

// partialRequest is an HTTP request of which the body is not sent or the response not read yet.
type partialRequest struct {
	conn   net.Conn
	reader *bufio.Reader
	body   []byte
}

func (f *testFleet) connect(name string) *partialRequest {
	f.t.Helper()
	c, err := net.Dial("tcp", netip.AddrPortFrom(f.hosts[name].ip, callerPort).String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	require.NoError(f.t, c.(*net.TCPConn).SetReadBuffer(readBuffer))
	require.NoError(f.t, c.SetDeadline(time.Now().Add(ioTimeout)))
	return &partialRequest{conn: c, reader: bufio.NewReader(c)}
}

// openAnswer requests an answer and reads only the start of the response.
func (f *testFleet) openAnswer(name, job string) *partialRequest {
	f.t.Helper()
	s := f.connect(name)
	_, err := fmt.Fprintf(s.conn, "GET /v1/jobs/%s/answer HTTP/1.1\r\nHost: a\r\n\r\n", job)
	require.NoError(f.t, err)
	_, err = s.reader.Peek(1)
	require.NoError(f.t, err)
	return s
}

// openCreate sends the header of a job submission and waits for the status 100 Continue.
func (f *testFleet) openCreate(name string, q entry.JobRequest) *partialRequest {
	f.t.Helper()
	s := f.connect(name)
	b, err := json.Marshal(q)
	require.NoError(f.t, err)
	s.body = b
	_, err = fmt.Fprintf(s.conn, "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(b))
	require.NoError(f.t, err)
	p, err := http.ReadResponse(s.reader, nil)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusContinue, p.StatusCode)
	return s
}

// requireCreated sends the body of a job submission and requires that the job is accepted.
func (f *testFleet) requireCreated(s *partialRequest) {
	f.t.Helper()
	_, err := s.conn.Write(s.body)
	require.NoError(f.t, err)
	p, err := http.ReadResponse(s.reader, nil)
	require.NoError(f.t, err, "request in flight was aborted")
	b, err := io.ReadAll(p.Body)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusAccepted, p.StatusCode, "%s", b)
}

// requireCompleteAnswer reads an answer to its end and checks its size and digest.
func requireCompleteAnswer(t *testing.T, s *partialRequest) {
	t.Helper()
	p, err := http.ReadResponse(s.reader, nil)
	require.NoError(t, err)
	b, err := io.ReadAll(p.Body)
	require.NoError(t, err, "answer in flight was truncated")
	require.Equal(t, largeTasks*largeAnswer, len(b))
	require.Equal(t, fmt.Sprintf("%016x", xxhash.Sum64(b)), p.Header.Get("Answer-Digest"))
}

// placedBy returns the host that placed a job.
func (f *testFleet) placedBy(job string) string {
	for _, e := range f.timeline() {
		if e.GetJob() == job && e.GetKind() == string(events.JobPlaced) {
			return e.GetHost()
		}
	}
	return ""
}
