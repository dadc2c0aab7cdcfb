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
	// leavingBound is the time after which a leaving host gets no new work.
	leavingBound = 3 * time.Second
	// largeAnswer is the answer of each task, in bytes; all tasks together exceed what the buffers of a connection hold.
	largeAnswer = 1 << 20
	largeTasks  = 4
	// readBuffer is the receive buffer of a caller that reads slowly, in bytes.
	readBuffer = 16 << 10
	ioBound    = 40 * time.Second
)

func TestTerminatedOwnerFinishesItsRequestsAndGetsNoNewWork(t *testing.T) {
	f := newFleet(t, domain{"east", 3}, domain{"west", 1})
	f.start()
	old := f.awaitOwner("east")
	q := f.pinned("east", largeTasks, 100*time.Millisecond)
	q.Work = work(100*time.Millisecond, largeAnswer)
	job := f.accept(old, q)
	f.requireDone(old, job, largeTasks)
	answer := f.openAnswer(old, job)
	create := f.openCreate(old, registration(f.keyOf("east", 9)))

	p := f.procs[old]
	f.signal(old, syscall.SIGTERM)
	f.eventually(leavingBound, "not ready", func() bool {
		return f.get(f.at(old, statusPort), "/readyz", nil) != http.StatusOK
	})
	f.eventually(outcomeBound, "next owner", func() bool {
		o := f.owner("west-1", "east")
		return o != "" && o != old
	})
	later := f.accept("west-1", registration(f.keyOf("east", 8)))
	f.requireDone("west-1", later, 2)
	require.NotEqual(t, old, f.placedBy(later))

	// Both requests are still in flight in the old owner.
	f.requireCreated(create)
	requireWhole(t, answer)
	code := f.wait(p, shutdownBound+leavingBound)
	require.Zero(t, code, p.output())
	delete(f.procs, old)
	f.requireOnce(job, largeTasks)
}

func TestSecondSignalDoesNotCutTheFirstShutdown(t *testing.T) {
	f := newFleet(t, domain{"east", 2})
	f.start()
	create := f.openCreate("east-2", audit(1, 100*time.Millisecond))
	p := f.procs["east-2"]
	f.signal("east-2", syscall.SIGTERM)
	f.eventually(leavingBound, "not ready", func() bool {
		return f.get(f.at("east-2", statusPort), "/readyz", nil) != http.StatusOK
	})
	f.signal("east-2", syscall.SIGTERM)
	f.requireCreated(create)
	require.Zero(t, f.wait(p, shutdownBound+leavingBound), p.output())
	delete(f.procs, "east-2")
}

func TestHostThatIsStillJoiningEndsWell(t *testing.T) {
	// Nothing listens for the platform, so that the host never becomes ready.
	f := newFleet(t, domain{"east", 1})
	p := f.startHost("east-1")
	f.eventually(readyBound, "status", func() bool {
		return f.get(f.at("east-1", statusPort), "/readyz", nil) == http.StatusServiceUnavailable
	})
	f.signal("east-1", syscall.SIGTERM)
	require.Zero(t, f.wait(p, shutdownBound+leavingBound), p.output())
	delete(f.procs, "east-1")
}

// stream is a request of which a part is still to come.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	rest   []byte
}

func (f *fleetRun) connect(name string) *stream {
	f.t.Helper()
	c, err := net.Dial("tcp", netip.AddrPortFrom(f.hosts[name].ip, callerPort).String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	require.NoError(f.t, c.(*net.TCPConn).SetReadBuffer(readBuffer))
	require.NoError(f.t, c.SetDeadline(time.Now().Add(ioBound)))
	return &stream{conn: c, reader: bufio.NewReader(c)}
}

// openAnswer asks for an answer and reads none of it beyond the first bytes.
func (f *fleetRun) openAnswer(name, job string) *stream {
	f.t.Helper()
	s := f.connect(name)
	_, err := fmt.Fprintf(s.conn, "GET /v1/jobs/%s/answer HTTP/1.1\r\nHost: a\r\n\r\n", job)
	require.NoError(f.t, err)
	_, err = s.reader.Peek(1)
	require.NoError(f.t, err)
	return s
}

// openCreate sends the head of a request, and waits until the host asks for the body.
func (f *fleetRun) openCreate(name string, q entry.JobRequest) *stream {
	f.t.Helper()
	s := f.connect(name)
	b, err := json.Marshal(q)
	require.NoError(f.t, err)
	s.rest = b
	_, err = fmt.Fprintf(s.conn, "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(b))
	require.NoError(f.t, err)
	p, err := http.ReadResponse(s.reader, nil)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusContinue, p.StatusCode)
	return s
}

// requireCreated sends the body and checks that the host answers as it does at any time.
func (f *fleetRun) requireCreated(s *stream) {
	f.t.Helper()
	_, err := s.conn.Write(s.rest)
	require.NoError(f.t, err)
	p, err := http.ReadResponse(s.reader, nil)
	require.NoError(f.t, err, "the request in flight was cut off")
	b, err := io.ReadAll(p.Body)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusAccepted, p.StatusCode, "%s", b)
}

// requireWhole reads an answer to its end.
func requireWhole(t *testing.T, s *stream) {
	t.Helper()
	p, err := http.ReadResponse(s.reader, nil)
	require.NoError(t, err)
	b, err := io.ReadAll(p.Body)
	require.NoError(t, err, "the answer in flight was cut off")
	require.Equal(t, largeTasks*largeAnswer, len(b))
	require.Equal(t, fmt.Sprintf("%016x", xxhash.Sum64(b)), p.Header.Get("Answer-Digest"))
}

// placedBy returns the host that placed a job.
func (f *fleetRun) placedBy(job string) string {
	for _, e := range f.timeline() {
		if e.GetJob() == job && e.GetKind() == string(events.JobPlaced) {
			return e.GetHost()
		}
	}
	return ""
}
