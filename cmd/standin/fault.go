package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/oklog/run"
)

type faultCmd struct {
	Addr        netip.AddrPort `arg:"--addr,required" help:"address of the first process"`
	Count       int            `arg:"--count" default:"1" help:"number of processes, on consecutive IPs"`
	Down        bool           `arg:"--down" help:"close every connection without a response"`
	Freeze      bool           `arg:"--freeze" help:"hold every request without a response"`
	DelayMillis int64          `arg:"--delay-millis" help:"delay of every request in milliseconds"`
	LoseAnswers int            `arg:"--lose-answers" help:"number of changes that take effect but whose response is lost"`
	FreezeHosts bool           `arg:"--freeze-hosts" help:"stop updating the platform's host list"`
	FailTasks   bool           `arg:"--fail-tasks" help:"fail every task"`
}

func (c *faultCmd) add(g *run.Group) error {
	f := standin.Fault{
		Down:        c.Down,
		Freeze:      c.Freeze,
		DelayMillis: c.DelayMillis,
		LoseAnswers: c.LoseAnswers,
		FreezeHosts: c.FreezeHosts,
		FailTasks:   c.FailTasks,
	}
	addActor(g, func(ctx context.Context) error { return c.run(ctx, f) })
	return nil
}

func (c *faultCmd) run(ctx context.Context, f standin.Fault) error {
	k := rest.New()
	defer k.Close()
	a := c.Addr
	for range c.Count {
		r := rest.Request{Method: http.MethodPost, Addr: a, Path: "/fault", Body: f, Hedge: true}
		if err := k.JSON(ctx, r, nil); err != nil {
			return fmt.Errorf("set fault of %s: %w", a, err)
		}
		a = netip.AddrPortFrom(a.Addr().Next(), a.Port())
	}
	return nil
}
