package main

import (
	"context"
	"strconv"
)

type jobCancelCmd struct {
	Jobs []string `arg:"positional,required" placeholder:"JOB"`
}

// Examples returns the examples at the end of the help text.
func (*jobCancelCmd) Examples() string {
	return "cleatctl job cancel north-quay.r0123456789ab north-quay.r0123456789ac"
}

// Run cancels the jobs and prints for each whether it was cancelled before it ended.
func (x *jobCancelCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.client()
	if err != nil {
		return err
	}
	defer k.Close()
	rs, err := k.Cancel(ctx, x.Jobs...)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(rs)
	}
	var rows [][]string
	for _, r := range rs {
		rows = append(rows, []string{r.Job, strconv.FormatBool(r.InTime), r.State})
	}
	return c.printTable([]string{"JOB", "IN TIME", "STATE"}, rows)
}
