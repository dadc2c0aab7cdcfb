package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"

	"github.com/auburncleat/auburncleat/internal/standin"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/oklog/run"
	"github.com/pkg/errors"
)

// errContradiction says that callers heard what the workers do not confirm.
var errContradiction = errors.New("callers and workers contradict each other")

type checkCmd struct {
	File     string         `arg:"positional,required" placeholder:"FILE" help:"workload in JSON"`
	Report   string         `arg:"--report,required" help:"what the callers heard"`
	Platform netip.AddrPort `arg:"--platform,required" help:"platform that lists the workers"`
}

func (c *checkCmd) add(g *run.Group) error {
	l, err := standin.ReadLoad(c.File)
	if err != nil {
		return err
	}
	actor(g, func(ctx context.Context) error { return c.run(ctx, l) })
	return nil
}

func (c *checkCmd) run(ctx context.Context, l standin.Load) error {
	b, err := os.ReadFile(c.Report)
	if err != nil {
		return fmt.Errorf("read report: %w", err)
	}
	var r standin.Report
	if err := json.Unmarshal(b, &r); err != nil {
		return fmt.Errorf("decode report: %w", err)
	}
	starts, err := c.starts(ctx)
	if err != nil {
		return err
	}
	faults := standin.Check(r, starts, l)
	for _, f := range faults {
		fmt.Println(f)
	}
	fmt.Printf("checked %d jobs against %d starts of tasks: %d contradictions\n", len(r.Ended), len(starts), len(faults))
	if len(faults) > 0 {
		return errContradiction
	}
	return nil
}

// starts asks every listed worker; one that does not answer would hide a start, so it is an error.
func (c *checkCmd) starts(ctx context.Context) ([]standin.Start, error) {
	k := rest.New()
	defer k.Close()
	list, err := store.NewHosts(k, c.Platform).List(ctx)
	if err != nil {
		return nil, err
	}
	var all []standin.Start
	for _, w := range list.Workers {
		var ss []standin.Start
		r := rest.Request{Method: http.MethodGet, Addr: w.Addr, Path: "/starts", Hedge: true}
		if err := k.JSON(ctx, r, &ss); err != nil {
			return nil, fmt.Errorf("starts of %s: %w", w.Name, err)
		}
		all = append(all, ss...)
	}
	return all, nil
}
