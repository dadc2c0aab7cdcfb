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

// shown is what is known of one job.
type shown struct {
	Status  client.Status
	Outcome *client.Outcome
}

// Examples ends the help text.
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
		return c.printJSON(shown{s, o})
	}
	return c.printTable([]string{"JOB", x.Job}, rowsOf(s, o))
}

func rowsOf(s client.Status, o *client.Outcome) [][]string {
	rows := [][]string{
		{"Organisation", s.Organisation},
		{"Profile", s.Profile},
		{"State", s.State},
		{"Reason", s.Reason},
		{"Waits for", s.WaitsFor},
		{"Expected start", instant(s.ExpectedStart)},
		{"Workers", strings.Join(s.Workers, " ")},
		{"Attempt", strconv.Itoa(s.Attempt)},
	}
	if o != nil {
		rows = append(rows,
			[]string{"Outcome", o.Kind},
			[]string{"Why", o.Reason},
			[]string{"Started", instant(o.Started)},
			[]string{"Finished", instant(o.Finished)},
			[]string{"Answer bytes", strconv.FormatInt(o.AnswerBytes, 10)},
		)
	}
	var known [][]string
	for _, r := range rows {
		if r[1] != "" {
			known = append(known, r)
		}
	}
	return known
}

func instant(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
