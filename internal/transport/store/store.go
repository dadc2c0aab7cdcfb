package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/pkg/errors"
)

// CodeExpired is the code of a failed read whose first record is no longer retained.
const CodeExpired = "Expired"

// AppendRequest appends records to the log in order.
type AppendRequest struct {
	Records [][]byte
}

// AppendReply holds the offset of the first record.
type AppendReply struct {
	Offset uint64
}

// ReadReply holds consecutive records; Code is set if the requested offset has expired.
type ReadReply struct {
	Code    string `json:",omitempty"`
	First   uint64
	Next    uint64
	Records []Record
}

// Record is one entry of the log.
type Record struct {
	Offset uint64
	At     time.Time
	Data   []byte
}

// Host is an entry host in the platform's list.
type Host struct {
	Name    string
	Domain  string
	Addr    netip.AddrPort
	Leaving bool
}

// Worker is a worker in the platform's list.
type Worker struct {
	Name         string
	Domain       string
	Rack         string
	Addr         netip.AddrPort
	Slots        int
	Connections  int
	Accelerators int
	Processors   int
	MemoryBytes  int64
	Leaving      bool
}

// ListReply is the platform's list of hosts and workers.
type ListReply struct {
	Hosts   []Host
	Workers []Worker
}

// NewLog returns a client of the log that the platform serves at addr.
func NewLog(c *rest.Client, addr netip.AddrPort) port.Log {
	l := &logClient{client: c, addr: addr}
	return port.Log{Append: l.append, Read: l.read}
}

type logClient struct {
	client *rest.Client
	addr   netip.AddrPort
}

func (l *logClient) append(ctx context.Context, data [][]byte) (uint64, error) {
	r := rest.Request{
		Method: http.MethodPost,
		Addr:   l.addr,
		Path:   "/log/append",
		Body:   AppendRequest{Records: data},
		Fresh:  true,
	}
	var p AppendReply
	if err := l.client.JSON(ctx, r, &p); err != nil {
		return 0, fmt.Errorf("append to the log: %w", err)
	}
	return p.Offset, nil
}

func (l *logClient) read(ctx context.Context, from uint64, limit int, wait time.Duration) (port.Page, error) {
	q := url.Values{}
	q.Set("From", strconv.FormatUint(from, 10))
	q.Set("Limit", strconv.Itoa(limit))
	q.Set("Wait", wait.String())
	r := rest.Request{
		Method: http.MethodGet,
		Addr:   l.addr,
		Path:   "/log/read?" + q.Encode(),
		Wait:   wait,
		Hedge:  true,
	}
	var p ReadReply
	err := l.client.JSON(ctx, r, &p)
	var s *rest.ErrStatus
	if errors.As(err, &s) && s.Status == http.StatusGone {
		_ = json.Unmarshal(s.Body, &p)
		return port.Page{First: p.First, Next: p.Next}, fmt.Errorf("read the log from %d: %w", from, port.ErrExpired)
	}
	if err != nil {
		return port.Page{}, fmt.Errorf("read the log from %d: %w", from, err)
	}
	return p.page(), nil
}

func (p ReadReply) page() port.Page {
	g := port.Page{First: p.First, Next: p.Next}
	for _, r := range p.Records {
		g.Records = append(g.Records, port.Record{Offset: r.Offset, At: r.At, Data: r.Data})
	}
	return g
}

// ToFleet converts the message to a fleet.Worker.
func (w Worker) ToFleet() fleet.Worker {
	return fleet.Worker{
		Name:         w.Name,
		Domain:       w.Domain,
		Rack:         w.Rack,
		Addr:         w.Addr,
		Slots:        w.Slots,
		Connections:  w.Connections,
		Accelerators: w.Accelerators,
		Processors:   w.Processors,
		Memory:       fleet.Bytes(w.MemoryBytes),
		Leaving:      w.Leaving,
	}
}
