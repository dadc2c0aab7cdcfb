package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
)

type workersCmd struct {
	Domain string `arg:"--domain" help:"only workers of this failure domain"`
	Rack   string `arg:"--rack" help:"only workers of this rack"`
	Ready  int    `arg:"--ready" help:"wait until the owners list at least this many workers, and print only their number"`
}

// workerRow is one worker as the owner lists it; --json prints it under these names.
type workerRow struct {
	Domain           string
	Rack             string
	Name             string
	State            string
	Slots            int32
	SlotsUsed        int32
	Accelerators     int32
	AcceleratorsUsed int32
	Reason           string
}

// Examples returns the examples at the end of the help text.
func (*workersCmd) Examples() string {
	return "cleatctl workers --domain north-quay\ncleatctl workers --json"
}

// Run merges the lists of workers of all failure domains.
func (x *workersCmd) Run(ctx context.Context, c *cli) error {
	rows, err := x.find(ctx, c)
	if err != nil {
		return err
	}
	if x.Ready > 0 {
		_, err := fmt.Fprintf(c.Out, "%d workers are ready\n", len(rows))
		return err
	}
	if c.JSON {
		return c.printJSON(rows)
	}
	var out [][]string
	for _, r := range rows {
		slots := fmt.Sprintf("%d/%d", r.SlotsUsed, r.Slots)
		accelerators := fmt.Sprintf("%d/%d", r.AcceleratorsUsed, r.Accelerators)
		out = append(out, []string{r.Domain, r.Rack, r.Name, r.State, slots, accelerators, r.Reason})
	}
	return c.printTable([]string{"FAILURE DOMAIN", "RACK", "WORKER", "STATE", "SLOTS", "ACCELERATORS", "REASON"}, out)
}

// find lists the workers; with --ready it polls until there are at least that many.
func (x *workersCmd) find(ctx context.Context, c *cli) ([]workerRow, error) {
	quiet := *c
	if x.Ready > 0 {
		// Hosts that do not answer yet are expected here and not worth a warning in every round.
		quiet.Err = io.Discard
	}
	for {
		rs, err := queryAll[wire.WorkersReply](ctx, &quiet, "/v1/workers")
		if x.Ready == 0 && err != nil {
			return nil, err
		}
		rows := x.rows(rs)
		if len(rows) >= x.Ready {
			return rows, nil
		}
		if err := clock.System().Sleep(ctx, readyInterval); err != nil {
			return nil, fmt.Errorf("%d of %d workers are ready: %w", len(rows), x.Ready, err)
		}
	}
}

// rows merges the replies and takes each worker from the one with the highest term, since an owner of a lower term is stale.
func (x *workersCmd) rows(rs []statusReply[wire.WorkersReply]) []workerRow {
	rs = slices.DeleteFunc(slices.Clone(rs), func(a statusReply[wire.WorkersReply]) bool { return a.Err != nil })
	slices.SortStableFunc(rs, func(a, b statusReply[wire.WorkersReply]) int {
		return cmp.Compare(a.Reply.GetTerm().GetCounter(), b.Reply.GetTerm().GetCounter())
	})
	byName := map[string]workerRow{}
	for _, a := range rs {
		for _, w := range a.Reply.GetWorkers() {
			if (x.Domain == "" || x.Domain == w.GetDomain()) && (x.Rack == "" || x.Rack == w.GetRack()) {
				byName[w.GetDomain()+"/"+w.GetName()] = newWorkerRow(w)
			}
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b workerRow) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
	})
}

func newWorkerRow(w *wire.WorkerStatus) workerRow {
	return workerRow{
		Domain:           w.GetDomain(),
		Rack:             w.GetRack(),
		Name:             w.GetName(),
		State:            w.GetState(),
		Slots:            w.GetSlots(),
		SlotsUsed:        w.GetSlotsUsed(),
		Accelerators:     w.GetAccelerators(),
		AcceleratorsUsed: w.GetAcceleratorsUsed(),
		Reason:           w.GetReason(),
	}
}
