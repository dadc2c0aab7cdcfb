package main

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/pkg/client"
)

type jobShowCmd struct {
	Job string `arg:"positional,required" placeholder:"JOB"`
}

// jobView is the JSON output: the status of a job, and its outcome once it has ended.
type jobView struct {
	Status  client.Status
	Outcome *client.Outcome
}

// Examples returns the examples at the end of the help text.
func (*jobShowCmd) Examples() string {
	return "cleatctl job show north-quay.k0123456789ab --json"
}

// Run prints status and outcome of the job.
func (x *jobShowCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.client()
	if err != nil {
		return err
	}
	defer k.Close()
	s, o, err := k.Get(ctx, x.Job)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(jobView{s, o})
	}
	return c.printTable([]string{"JOB", x.Job}, statusRows(s, o))
}

// statusRows returns the rows of the table, without those that have no value.
func statusRows(s client.Status, o *client.Outcome) [][]string {
	rows := [][]string{
		{"Organisation", s.Organisation},
		{"Profile", s.Profile},
		{"State", s.State},
		{"Reason", s.Reason},
		{"Waits for", s.WaitsFor},
		{"Expected start", formatTime(s.ExpectedStart)},
		{"Workers", strings.Join(s.Workers, " ")},
		{"Attempt", strconv.Itoa(s.Attempt)},
	}
	if o != nil {
		rows = append(rows,
			[]string{"Outcome", o.Kind},
			[]string{"Why", o.Reason},
			[]string{"Started", formatTime(o.Started)},
			[]string{"Finished", formatTime(o.Finished)},
			[]string{"Answer bytes", strconv.FormatInt(o.AnswerBytes, 10)},
		)
	}
	var nonEmpty [][]string
	for _, r := range rows {
		if r[1] != "" {
			nonEmpty = append(nonEmpty, r)
		}
	}
	return nonEmpty
}

// formatTime formats a time in UTC and to the second, or returns "" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
