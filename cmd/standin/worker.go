package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/oklog/run"
	"github.com/pkg/errors"
)

type workerCmd struct {
	Domain       string         `arg:"--domain,required" help:"failure domain of the workers"`
	Rack         string         `arg:"--rack,required" help:"rack of the workers"`
	Addr         netip.AddrPort `arg:"--addr,required" help:"IP and port of the first worker; the others follow on consecutive IPs"`
	Count        int            `arg:"--count" default:"8" help:"number of workers"`
	Platform     netip.AddrPort `arg:"--platform" help:"address of the platform to register with"`
	Slots        int            `arg:"--slots" default:"8" help:"task slots of a worker"`
	Connections  int            `arg:"--connections" default:"64" help:"maximum number of open connections of a worker"`
	Accelerators int            `arg:"--accelerators" default:"8" help:"accelerators of a worker"`
	Processors   int            `arg:"--processors" default:"128" help:"processor cores of a worker"`
	Memory       int64          `arg:"--memory" default:"512" help:"memory of a worker in GB"`
	UsageLag     time.Duration  `arg:"--usage-lag" default:"1s" help:"delay of the reported memory usage"`
}

func (c *workerCmd) add(g *run.Group) error {
	addr := c.Addr
	var q standin.Registration
	for i := range c.Count {
		if !addr.IsValid() {
			return errors.New("address range too short: no IP is left for the remaining workers")
		}
		w := c.worker(i, addr)
		q.Workers = append(q.Workers, w)
		h := standin.NewWorker(w, standin.WithUsageLag(c.UsageLag)).Handler()
		addActor(g, func(ctx context.Context) error {
			return standin.Serve(ctx, w.Addr, w.Connections, h)
		})
		addr = netip.AddrPortFrom(addr.Addr().Next(), addr.Port())
	}
	addActor(g, func(ctx context.Context) error { return c.enroll(ctx, q) })
	return nil
}

// enroll registers the workers and retries until the platform answers.
func (c *workerCmd) enroll(ctx context.Context, q standin.Registration) error {
	for c.Platform.IsValid() && standin.Enroll(ctx, c.Platform, q) != nil {
		if err := clock.System().Sleep(ctx, enrollInterval); err != nil {
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

const enrollInterval = 200 * time.Millisecond

func (c *workerCmd) worker(i int, addr netip.AddrPort) store.Worker {
	return store.Worker{
		Name:         fmt.Sprintf("%s-w%d", c.Rack, i+1),
		Domain:       c.Domain,
		Rack:         c.Rack,
		Addr:         addr,
		Slots:        c.Slots,
		Connections:  c.Connections,
		Accelerators: c.Accelerators,
		Processors:   c.Processors,
		MemoryBytes:  c.Memory * int64(fleet.Gigabyte),
	}
}
