package codec

import (
	"bufio"
	"fmt"
	"io"
	"net/rpc"

	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the maximum size of a received message in bytes.
const MaxMessageBytes = 8 << 20

const bufferBytes = 4 << 10

// ErrNotProtoMessage is returned when a call's argument or reply is not a protobuf message.
var ErrNotProtoMessage = errors.New("body is not a protobuf message")

// stream reads and writes length-delimited messages on a connection.
type stream struct {
	conn io.ReadWriteCloser
	in   *bufio.Reader
	out  *bufio.Writer
}

func newStream(c io.ReadWriteCloser) stream {
	return stream{
		conn: c,
		in:   bufio.NewReaderSize(c, bufferBytes),
		out:  bufio.NewWriterSize(c, bufferBytes),
	}
}

func (s *stream) read(m proto.Message) error {
	o := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	return o.UnmarshalFrom(s.in, m)
}

func (s *stream) readBody(body any) error {
	if body == nil {
		return s.read(&wire.Empty{})
	}
	m, ok := body.(proto.Message)
	if !ok {
		return fmt.Errorf("read %T: %w", body, ErrNotProtoMessage)
	}
	return s.read(m)
}

func (s *stream) write(h *wire.Header, body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &wire.Empty{}
	}
	if _, err := protodelim.MarshalTo(s.out, h); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	if _, err := protodelim.MarshalTo(s.out, m); err != nil {
		return fmt.Errorf("write body: %w", err)
	}
	return s.out.Flush()
}

type client struct {
	stream
}

// NewClient returns the client codec of a connection.
func NewClient(c io.ReadWriteCloser) rpc.ClientCodec {
	return &client{stream: newStream(c)}
}

func (c *client) WriteRequest(r *rpc.Request, body any) error {
	return c.write(&wire.Header{Method: r.ServiceMethod, Sequence: r.Seq}, body)
}

func (c *client) ReadResponseHeader(r *rpc.Response) error {
	var h wire.Header
	if err := c.read(&h); err != nil {
		return err
	}
	r.ServiceMethod = h.GetMethod()
	r.Seq = h.GetSequence()
	r.Error = h.GetError()
	return nil
}

func (c *client) ReadResponseBody(body any) error {
	return c.readBody(body)
}

func (c *client) Close() error {
	return c.conn.Close()
}

type server struct {
	stream
}

// NewServer returns the server codec of a connection.
func NewServer(c io.ReadWriteCloser) rpc.ServerCodec {
	return &server{stream: newStream(c)}
}

func (s *server) ReadRequestHeader(r *rpc.Request) error {
	var h wire.Header
	if err := s.read(&h); err != nil {
		return err
	}
	r.ServiceMethod = h.GetMethod()
	r.Seq = h.GetSequence()
	return nil
}

func (s *server) ReadRequestBody(body any) error {
	return s.readBody(body)
}

func (s *server) WriteResponse(r *rpc.Response, body any) error {
	return s.write(&wire.Header{Method: r.ServiceMethod, Sequence: r.Seq, Error: r.Error}, body)
}

func (s *server) Close() error {
	return s.conn.Close()
}
