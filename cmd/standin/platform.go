package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/oklog/run"
)

type platformCmd struct {
	Addr netip.AddrPort `arg:"--addr" default:"127.0.0.1:7000" help:"IP and port to serve on"`
	Keep int            `arg:"--keep" help:"records that the log keeps, 0 for all"`
	Age  time.Duration  `arg:"--age" help:"how long the log keeps a record, 0 for ever"`
	Lag  time.Duration  `arg:"--lag" default:"1s" help:"how far the host list lags"`
}

func (c *platformCmd) add(g *run.Group) error {
	p := standin.NewPlatform(
		standin.WithKeep(c.Keep),
		standin.WithAge(c.Age),
		standin.WithLag(c.Lag),
	)
	actor(g, func(ctx context.Context) error {
		return standin.Serve(ctx, c.Addr, 0, p.Handler())
	})
	return nil
}
