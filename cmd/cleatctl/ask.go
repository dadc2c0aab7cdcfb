package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"

	"github.com/auburncleat/auburncleat/internal/transport/rest"
)

// asked is the reply of one status address.
type asked[T any] struct {
	Addr  netip.AddrPort
	Reply *T
	Err   error
}

// askAll puts one question to every status address at once and names those that did not answer.
func askAll[T any](ctx context.Context, c *cli, path string) ([]asked[T], error) {
	k, err := c.status()
	if err != nil {
		return nil, err
	}
	defer k.Close()
	as := make([]asked[T], len(c.StatusHosts))
	var g sync.WaitGroup
	for i, a := range c.StatusHosts {
		g.Go(func() {
			x := asked[T]{Addr: a, Reply: new(T)}
			r := rest.Request{Method: http.MethodGet, Addr: a, Path: path, Hedge: true}
			x.Err = k.JSON(ctx, r, x.Reply)
			as[i] = x
		})
	}
	g.Wait()
	var last error
	missing := 0
	for _, a := range as {
		if a.Err != nil {
			last = a.Err
			missing++
			_, _ = fmt.Fprintf(c.Err, "not reached: %s: %v\n", a.Addr, a.Err)
		}
	}
	if missing == len(as) {
		return nil, fmt.Errorf("no status address answered: %w", last)
	}
	return as, nil
}
