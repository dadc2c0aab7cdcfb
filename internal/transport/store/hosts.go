package store

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/pkg/errors"
)

// hosts caches the last list, which with thousands of workers is too large to transfer every few seconds.
type hosts struct {
	client *rest.Client
	addr   netip.AddrPort

	mu     sync.Mutex
	etag   string
	cached port.Listing
}

// NewHosts returns a client of the host list that the platform serves at addr.
func NewHosts(c *rest.Client, addr netip.AddrPort) port.Hosts {
	h := &hosts{client: c, addr: addr}
	return port.Hosts{List: h.list}
}

// list fetches the list, or returns the cached one if the platform answers that it has not been modified.
func (h *hosts) list(ctx context.Context) (port.Listing, error) {
	h.mu.Lock()
	tag, last := h.etag, h.cached
	h.mu.Unlock()
	r := rest.Request{Method: http.MethodGet, Addr: h.addr, Path: "/hosts", Hedge: true, Header: http.Header{}}
	if tag != "" {
		r.Header.Set("If-None-Match", tag)
	}
	p, err := h.client.Do(ctx, r)
	var s *rest.ErrStatus
	if errors.As(err, &s) && s.Status == http.StatusNotModified {
		return last, nil
	}
	if err != nil {
		return port.Listing{}, fmt.Errorf("list hosts: %w", err)
	}
	var q ListReply
	if err := p.Decode(&q); err != nil {
		return port.Listing{}, fmt.Errorf("list hosts: %w", err)
	}
	l := q.listing()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.etag = p.Header.Get("ETag")
	h.cached = l
	return l, nil
}

func (q ListReply) listing() port.Listing {
	var l port.Listing
	for _, x := range q.Hosts {
		l.Hosts = append(l.Hosts, port.Host(x))
	}
	for _, w := range q.Workers {
		l.Workers = append(l.Workers, w.ToFleet())
	}
	return l
}
