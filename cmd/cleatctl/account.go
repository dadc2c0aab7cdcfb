package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"

	"github.com/auburncleat/auburncleat/internal/state/trace"
)

type accountCmd struct {
	Logs    []string  `arg:"--log,separate,required" help:"log file of a host; repeat for all hosts"`
	By      trace.Key `arg:"--by" default:"Queue" help:"what to group jobs by: Queue, Organisation, Domain or Window"`
	Picture string    `arg:"--picture" help:"write the account as one self-contained SVG to this file"`
}

// Examples returns the examples at the end of the help text.
func (*accountCmd) Examples() string {
	return "cleatctl account --log north-quay-1.log --log north-quay-2.log --by Window\n" +
		"cleatctl account --log all.log --picture account.svg"
}

// Run prints what the time of all jobs was spent on, and which cause made how many of them late.
func (x *accountCmd) Run(_ context.Context, c *cli) error {
	if !slices.Contains([]trace.Key{trace.ByQueue, trace.ByOrganisation, trace.ByDomain, trace.ByWindow}, x.By) {
		return usageError("--by takes Queue, Organisation, Domain or Window, and not %q", x.By)
	}
	l, err := readLogs(c, x.Logs)
	if err != nil {
		return err
	}
	rows := l.Account(x.By)
	switch {
	case x.Picture != "":
		return x.writePicture(c, rows)
	case c.JSON:
		return c.printJSON(rows)
	default:
		return x.printRows(c, rows)
	}
}

func (x *accountCmd) printRows(c *cli, rows []trace.Row) error {
	heading := []string{string(x.By), "JOBS", "REJECTED", "OPEN", "FAILED", "LATE"}
	for _, cause := range trace.Causes {
		heading = append(heading, string(cause))
	}
	var out [][]string
	for _, r := range rows {
		row := []string{r.Group}
		for _, n := range []int{r.Jobs, r.Rejected, r.Open, r.Failed, r.Late} {
			row = append(row, strconv.Itoa(n))
		}
		for _, cause := range trace.Causes {
			cell := fmt.Sprintf("%.1fs", r.Spent[cause].Seconds())
			if n := r.LateBy[cause]; n > 0 {
				cell += fmt.Sprintf("/%d", n)
			}
			row = append(row, cell)
		}
		out = append(out, row)
	}
	return c.printTable(heading, out)
}

func (x *accountCmd) writePicture(c *cli, rows []trace.Row) error {
	f, err := os.Create(x.Picture)
	if err != nil {
		return fmt.Errorf("create picture: %w", err)
	}
	if err := trace.WriteSVG(f, rows); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close picture: %w", err)
	}
	_, err = fmt.Fprintf(c.Out, "%s: %d groups\n", x.Picture, len(rows))
	return err
}
