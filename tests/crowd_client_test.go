package tests

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// maxLegalBody and maxLegalHeader are the limits of the platform for what clients send.
	maxLegalBody   = 262_144
	maxLegalHeader = 16_384
	// crowdWriteTimeout bounds the wait for a host that does not read.
	crowdWriteTimeout = 2 * time.Second
	crowdPieceBytes   = 512
	crowdChunkBytes   = 1024
	// crowdOversize is how much a client sends that ignores the limit of the body.
	crowdOversize = 4 << 20
	// crowdAhead is how many requests a client sends without reading the answers.
	crowdAhead         = 200
	crowdDripInterval  = 200 * time.Millisecond
	crowdReceiveBuffer = 4096
)

// crowdKind is one way to send requests.
type crowdKind struct {
	name string
	// send sends what one client of the crowd sends at once; it returns when the host takes no more.
	send func(c *crowdConn)
	// drips is set if the client then goes on, byte by byte.
	drips bool
}

var crowdKinds = []crowdKind{
	{name: "whole bodies short of their end", send: func(c *crowdConn) {
		c.write(c.head("POST", fmt.Sprintf("Content-Length: %d\r\n", maxLegalBody)) + legalBody()[:maxLegalBody-1])
	}},
	{name: "bodies in small pieces", send: func(c *crowdConn) {
		c.write(c.head("POST", fmt.Sprintf("Content-Length: %d\r\n", maxLegalBody)))
		c.writePieces(legalBody()[:maxLegalBody-1])
	}},
	{name: "bodies in chunks", send: func(c *crowdConn) {
		c.write(c.head("POST", "Transfer-Encoding: chunked\r\n"))
		c.writeChunks(legalBody()[:maxLegalBody-1])
	}},
	{name: "bodies far over the limit", send: func(c *crowdConn) {
		if c.client%2 == 0 {
			c.write(c.head("POST", fmt.Sprintf("Content-Length: %d\r\n", 2*crowdOversize)))
		} else {
			c.write(c.head("POST", "Transfer-Encoding: chunked\r\n"))
		}
		for sent := 0; sent < crowdOversize && !c.isBroken; sent += maxLegalBody {
			if c.client%2 == 0 {
				c.write(legalBody())
			} else {
				c.writeChunks(legalBody())
			}
		}
	}},
	{name: "bodies of short fields", send: func(c *crowdConn) {
		c.write(c.head("POST", fmt.Sprintf("Content-Length: %d\r\n", maxLegalBody)) + fieldBody(c.client))
	}},
	{name: "headers of short fields", send: func(c *crowdConn) {
		c.write(c.head("POST", shortFields(maxLegalHeader-512)+"Content-Length: 100\r\n") + "{")
	}},
	{name: "requests sent ahead", send: func(c *crowdConn) {
		one := c.head("GET", "") + c.head("POST", "Content-Length: 2\r\n") + "{}"
		c.write(strings.Repeat(one, crowdAhead/2))
	}},
	{name: "slow and stopped senders", drips: true, send: func(c *crowdConn) {
		head := c.head("POST", fmt.Sprintf("Content-Length: %d\r\n", maxLegalBody))
		switch c.client % 3 {
		case 0:
			c.write(head[:len(head)/2])
			c.isDone = true
		case 1:
			c.write(head)
			c.isDone = true
		default:
			c.write(head)
		}
	}},
	{name: "slow readers", send: func(c *crowdConn) {
		c.write(strings.Repeat(c.head("GET", ""), crowdAhead))
	}},
}

// crowd holds the clients of one test.
type crowd struct {
	t    *testing.T
	to   netip.AddrPort
	stop chan struct{}
	once sync.Once
	// sending counts the clients that have not sent all yet, dripping those that go on.
	sending  sync.WaitGroup
	dripping sync.WaitGroup
}

// crowdConn is the connection of one client.
type crowdConn struct {
	net.Conn
	client   int
	target   crowdTarget
	isBroken bool
	// isDone is set if the client sends nothing more.
	isDone bool
}

func newCrowd(t *testing.T, to netip.AddrPort) *crowd {
	c := &crowd{t: t, to: to, stop: make(chan struct{})}
	t.Cleanup(c.leave)
	return c
}

// run connects all clients and returns when each has sent what it sends at once, or was turned away. They stay connected.
func (c *crowd) run(k crowdKind, x crowdTarget) {
	for i := range crowdClients {
		c.sending.Add(1)
		c.dripping.Go(func() { c.runClient(i, k, x) })
	}
	c.sending.Wait()
}

func (c *crowd) runClient(i int, k crowdKind, x crowdTarget) {
	d := net.Dialer{Timeout: crowdWriteTimeout}
	n, err := d.DialContext(c.t.Context(), "tcp", c.to.String())
	if err != nil {
		c.sending.Done()
		return
	}
	defer n.Close()
	_ = n.(*net.TCPConn).SetReadBuffer(crowdReceiveBuffer)
	z := &crowdConn{Conn: n, client: i, target: x}
	k.send(z)
	c.sending.Done()
	for k.drips && !z.isDone && !z.isBroken {
		select {
		case <-c.stop:
			return
		case <-time.After(crowdDripInterval):
			z.write(" ")
		}
	}
	<-c.stop
}

// leave closes all connections.
func (c *crowd) leave() {
	c.once.Do(func() { close(c.stop) })
	c.dripping.Wait()
}

// head returns the header of a request, with more lines in it.
func (c *crowdConn) head(method, lines string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: 3000\r\n%s\r\n",
		method, c.target.path(c.client), soakHostname, c.target.key, lines)
}

// write sends text unless the host takes nothing more.
func (c *crowdConn) write(text string) {
	if c.isBroken {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	_, err := c.Write([]byte(text))
	c.isBroken = err != nil
}

func (c *crowdConn) writePieces(text string) {
	for at := 0; at < len(text) && !c.isBroken; at += crowdPieceBytes {
		c.write(text[at:min(at+crowdPieceBytes, len(text))])
	}
}

// writeChunks sends text in chunks without the last, empty one.
func (c *crowdConn) writeChunks(text string) {
	for at := 0; at < len(text) && !c.isBroken; at += crowdChunkBytes {
		x := text[at:min(at+crowdChunkBytes, len(text))]
		c.write(fmt.Sprintf("%x\r\n%s\r\n", len(x), x))
	}
}

// legalBody returns a job of the largest legal size.
var legalBody = sync.OnceValue(func() string {
	return paddedBody("spec", "")
})

// paddedBody returns a job of the largest legal size that is filled up with white space, after fields that mean nothing.
func paddedBody(spec, fields string) string {
	b := fmt.Sprintf(`{%s"spec":%q,"steps":[{"count":1,"cpu":1,"estimated_ms":100}]`, fields, spec)
	return b + strings.Repeat(" ", maxLegalBody-len(b)-1) + "}"
}

// fieldBody returns a body of the largest legal size that is made of very many short fields, of one kind for each client.
func fieldBody(client int) string {
	x := []struct{ begin, field, end string }{
		{`{"spec":"x","steps":[{}`, `,{}`, `]}`},
		{`{"spec":"x","steps":[{"count":1},{"start_after":[0`, `,0`, `]}]}`},
		{`{"steps":[[]`, `,[]`, `]}`},
		{`{"spec":"x","a":0`, `,"a":0`, `}`},
		{`{"a":[{}`, `,{}`, `]}`},
		{`{"a":`, `[`, ``},
	}[client%6]
	n := (maxLegalBody - len(x.begin) - len(x.end)) / len(x.field)
	b := x.begin + strings.Repeat(x.field, n) + x.end
	return b + strings.Repeat(" ", maxLegalBody-len(b))
}

// shortFields returns header lines with short names, of at most a number of bytes.
func shortFields(size int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len()+8 <= size; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", digits[i%26], digits[i/26%26], digits[i/676%26])
	}
	return b.String()
}

// postLargest posts a job with the largest legal header and body and returns the status, or zero without an answer.
func postLargest(t *testing.T, at netip.AddrPort, path, key, spec string) int {
	n, err := (&net.Dialer{Timeout: crowdWriteTimeout}).DialContext(t.Context(), "tcp", at.String())
	if err != nil {
		return 0
	}
	defer n.Close()
	x := crowdTarget{path: func(int) string { return path }, key: key}
	c := &crowdConn{Conn: n, target: x}
	length := fmt.Sprintf("Content-Length: %d\r\n", maxLegalBody)
	c.write(c.head("POST", length+shortFields(maxLegalHeader-512)))
	c.write(paddedBody(spec, strings.Repeat(`"a":0,`, 20_000)))
	_ = n.SetReadDeadline(time.Now().Add(soakCallTimeout))
	p, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil {
		return 0
	}
	_ = p.Body.Close()
	return p.StatusCode
}
