package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/auburncleat/auburncleat/internal/transport/status"
)

type evacuationsCmd struct{}

// Examples returns the examples at the end of the help text.
func (*evacuationsCmd) Examples() string {
	return "cleatctl evacuations\ncleatctl evacuations --json"
}

// Run merges the lists of evacuated failure domains of all hosts.
func (x *evacuationsCmd) Run(ctx context.Context, c *cli) error {
	rs, err := queryAll[status.EvacuationsView](ctx, c, "/v1/evacuations")
	if err != nil {
		return err
	}
	for _, a := range rs {
		if a.Err == nil && a.Reply.Why != "" {
			_, _ = fmt.Fprintf(c.Err, "%s counts no workers: %s\n", a.Addr, a.Reply.Why)
		}
	}
	vs := mergeEvacuations(rs)
	if c.JSON {
		return c.printJSON(status.EvacuationsView{Evacuations: vs})
	}
	var rows [][]string
	for _, v := range vs {
		rows = append(rows, []string{
			v.Domain, formatTime(v.Since), strconv.Itoa(v.Workers), strconv.Itoa(v.Tasks), strconv.Itoa(v.Accelerators),
		})
	}
	return c.printTable([]string{"FAILURE DOMAIN", "SINCE", "WORKERS", "TASKS", "ACCELERATORS"}, rows)
}

// mergeEvacuations takes the earliest time at which a host read each request, and the numbers of a host that reaches the owner.
func mergeEvacuations(rs []statusReply[status.EvacuationsView]) []status.EvacuationView {
	byDomain := map[string]status.EvacuationView{}
	for _, a := range rs {
		if a.Err != nil {
			continue
		}
		for _, v := range a.Reply.Evacuations {
			old, ok := byDomain[v.Domain]
			if ok && old.Since.Before(v.Since) {
				v.Since = old.Since
			}
			if ok && old.Workers > v.Workers {
				v.Workers, v.Tasks, v.Accelerators = old.Workers, old.Tasks, old.Accelerators
			}
			byDomain[v.Domain] = v
		}
	}
	return slices.SortedFunc(maps.Values(byDomain), func(a, b status.EvacuationView) int { return cmp.Compare(a.Domain, b.Domain) })
}
