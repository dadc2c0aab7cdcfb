package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/oklog/run"
)

type enrollCmd struct {
	Platform netip.AddrPort `arg:"--platform,required" help:"address of the platform whose host list is changed"`
	Hosts    []string       `arg:"--host,separate" help:"entry host to add, as name@domain@ip:port; repeat for more"`
	Gone     []string       `arg:"--gone,separate" help:"name of a host or worker to remove; repeat for more"`
}

func (c *enrollCmd) add(g *run.Group) error {
	q := standin.Registration{Gone: c.Gone}
	for _, v := range c.Hosts {
		name, rest, _ := strings.Cut(v, "@")
		domain, addr, _ := strings.Cut(rest, "@")
		a, err := netip.ParseAddrPort(addr)
		if err != nil {
			return fmt.Errorf("host %q is not name@domain@ip:port: %w", v, err)
		}
		q.Hosts = append(q.Hosts, store.Host{Name: name, Domain: domain, Addr: a})
	}
	addActor(g, func(ctx context.Context) error { return standin.Enroll(ctx, c.Platform, q) })
	return nil
}
