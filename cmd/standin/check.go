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

// errContradiction is returned when the outcomes that callers received do not match the starts that workers recorded.
var errContradiction = errors.New("callers and workers contradict each other")

type checkCmd struct {
	File     string         `arg:"positional,required" placeholder:"FILE" help:"workload in JSON"`
	Report   string         `arg:"--report,required" help:"JSON report of the callers, as load writes it"`
	Platform netip.AddrPort `arg:"--platform,required" help:"address of the platform that lists the workers"`
}

func (c *checkCmd) add(g *run.Group) error {
	l, err := standin.ReadLoad(c.File)
	if err != nil {
		return err
	}
	addActor(g, func(ctx context.Context) error { return c.run(ctx, l) })
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
	contradictions := standin.Check(r, starts, l)
	for _, f := range contradictions {
		fmt.Println(f)
	}
	fmt.Printf("checked %d jobs against %d starts of tasks: %d contradictions\n", len(r.Ended), len(starts), len(contradictions))
	if len(contradictions) > 0 {
		return errContradiction
	}
	return nil
}

// starts returns the task starts recorded by all listed workers. A worker that does not answer is an error, since its starts
// would go unchecked.
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
			return nil, fmt.Errorf("get starts of %s: %w", w.Name, err)
		}
		all = append(all, ss...)
	}
	return all, nil
}
