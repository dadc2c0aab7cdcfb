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
	Keep int            `arg:"--keep" help:"number of records that the log retains, 0 for all"`
	Age  time.Duration  `arg:"--age" help:"time for which the log retains a record, 0 for no limit"`
	Lag  time.Duration  `arg:"--lag" default:"1s" help:"delay until a change shows in the host list"`
}

func (c *platformCmd) add(g *run.Group) error {
	p := standin.NewPlatform(
		standin.WithMaxRecords(c.Keep),
		standin.WithMaxAge(c.Age),
		standin.WithListLag(c.Lag),
	)
	addActor(g, func(ctx context.Context) error {
		return standin.Serve(ctx, c.Addr, 0, p.Handler())
	})
	return nil
}
