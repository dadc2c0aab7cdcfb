package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/auburncleat/auburncleat/pkg/client"
)

type jobListCmd struct {
	Organisation string `arg:"--organisation" help:"only jobs of this organisation"`
	Profile      string `arg:"--profile" help:"only jobs of this profile"`
	State        string `arg:"--state" help:"only jobs in this state: Queued, Starting, Running, Stopping or Ended"`
	Limit        int    `arg:"--limit" default:"200" help:"maximum number of jobs"`
}

// Examples returns the examples at the end of the help text.
func (*jobListCmd) Examples() string {
	return "cleatctl job list --organisation registry --state Queued"
}

// Run lists the jobs and reports the failure domains that could not be reached.
func (x *jobListCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.client()
	if err != nil {
		return err
	}
	defer k.Close()
	f := client.Filter{Organisation: x.Organisation, Profile: x.Profile, State: x.State, Limit: x.Limit}
	l, err := k.Find(ctx, f)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(l)
	}
	var rows [][]string
	for _, j := range l.Jobs {
		rows = append(rows, []string{j.Job, j.Organisation, j.Profile, j.State, j.Reason})
	}
	if len(l.Unreachable) > 0 {
		_, _ = fmt.Fprintln(c.Err, "not reached:", strings.Join(l.Unreachable, ", "))
	}
	return c.printTable([]string{"JOB", "ORGANISATION", "PROFILE", "STATE", "REASON"}, rows)
}
