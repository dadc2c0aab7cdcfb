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
	Ready  int    `arg:"--ready" help:"wait until so many workers are booked and leased"`
}

// workerRow is one worker in the owner's books.
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

// Examples ends the help text.
func (*workersCmd) Examples() string {
	return "cleatctl workers --domain north-quay\ncleatctl workers --json"
}

// Run joins the books of all failure domains.
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

// find lists the workers, with --ready not before there are enough.
func (x *workersCmd) find(ctx context.Context, c *cli) ([]workerRow, error) {
	asker := *c
	if x.Ready > 0 {
		// Hosts that do not answer yet are what the command waits for.
		asker.Err = io.Discard
	}
	for {
		as, err := askAll[wire.WorkersReply](ctx, &asker, "/v1/workers")
		if x.Ready == 0 && err != nil {
			return nil, err
		}
		rows := x.rows(as)
		if len(rows) >= x.Ready {
			return rows, nil
		}
		if err := clock.System().Sleep(ctx, readyInterval); err != nil {
			return nil, fmt.Errorf("%d of %d workers are ready: %w", len(rows), x.Ready, err)
		}
	}
}

// rows takes each worker from the books of the highest term.
func (x *workersCmd) rows(as []asked[wire.WorkersReply]) []workerRow {
	as = slices.DeleteFunc(slices.Clone(as), func(a asked[wire.WorkersReply]) bool { return a.Err != nil })
	slices.SortStableFunc(as, func(a, b asked[wire.WorkersReply]) int {
		return cmp.Compare(a.Reply.GetTerm().GetCounter(), b.Reply.GetTerm().GetCounter())
	})
	byName := map[string]workerRow{}
	for _, a := range as {
		for _, w := range a.Reply.GetWorkers() {
			if (x.Domain == "" || x.Domain == w.GetDomain()) && (x.Rack == "" || x.Rack == w.GetRack()) {
				byName[w.GetDomain()+"/"+w.GetName()] = rowOf(w)
			}
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b workerRow) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
	})
}

func rowOf(w *wire.WorkerStatus) workerRow {
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
