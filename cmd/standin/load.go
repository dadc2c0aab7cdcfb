package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/pkg/client"
	"github.com/oklog/run"
)

const progressInterval = 5 * time.Second

type loadCmd struct {
	File   string           `arg:"positional,required" placeholder:"FILE" help:"workload in JSON"`
	Hosts  []netip.AddrPort `arg:"--host,separate,required" help:"caller address of an entry host; repeat for more"`
	Report string           `arg:"--report,required" help:"file to write the JSON report of the callers to"`
}

func (c *loadCmd) add(g *run.Group) error {
	l, err := standin.ReadLoad(c.File)
	if err != nil {
		return err
	}
	addActor(g, func(ctx context.Context) error { return c.run(ctx, l) })
	return nil
}

func (c *loadCmd) run(ctx context.Context, l standin.Load) error {
	k := client.New(c.Hosts)
	defer k.Close()
	x := clock.System()
	start := x.Now()
	lastProgress := start
	s := &standin.Callers{Client: k, Clock: x, Progress: func(submitted, ended int) {
		if now := x.Now(); now.Sub(lastProgress) >= progressInterval {
			lastProgress = now
			fmt.Printf("  %3.0f s: %d jobs submitted, %d ended\n", now.Sub(start).Seconds(), submitted, ended)
		}
	}}
	r := s.Run(ctx, l)
	b, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	const mode = 0o644
	if err := os.WriteFile(c.Report, b, mode); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return r.WriteTable(os.Stdout)
}
