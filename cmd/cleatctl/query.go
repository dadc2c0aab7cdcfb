package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"

	"github.com/auburncleat/auburncleat/internal/transport/rest"
)

// statusReply is the reply of one status address, or the error of the call.
type statusReply[T any] struct {
	Addr  netip.AddrPort
	Reply *T
	Err   error
}

// queryAll sends a GET request to all status addresses concurrently and reports the failed ones on c.Err.
//
// It returns an error only if every call failed.
func queryAll[T any](ctx context.Context, c *cli, path string) ([]statusReply[T], error) {
	k, err := c.status()
	if err != nil {
		return nil, err
	}
	defer k.Close()
	rs := make([]statusReply[T], len(c.StatusHosts))
	var g sync.WaitGroup
	for i, a := range c.StatusHosts {
		g.Go(func() {
			x := statusReply[T]{Addr: a, Reply: new(T)}
			r := rest.Request{Method: http.MethodGet, Addr: a, Path: path, Hedge: true}
			x.Err = k.JSON(ctx, r, x.Reply)
			rs[i] = x
		})
	}
	g.Wait()
	var last error
	failed := 0
	for _, a := range rs {
		if a.Err != nil {
			last = a.Err
			failed++
			_, _ = fmt.Fprintf(c.Err, "not reached: %s: %v\n", a.Addr, a.Err)
		}
	}
	if failed == len(rs) {
		return nil, fmt.Errorf("no status address answered: %w", last)
	}
	return rs, nil
}
