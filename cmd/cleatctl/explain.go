package main

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/trace"
	"github.com/pkg/errors"
)

var errJobNotLogged = errors.New("no line of the logs names the job")

type explainCmd struct {
	Job  string   `arg:"positional,required" placeholder:"JOB"`
	Logs []string `arg:"--log,separate,required" help:"log file of a host; repeat for all hosts"`
}

// explanation is the history of a job; --json prints it under these names.
type explanation struct {
	Job    *trace.Job
	Parts  []trace.Part
	IsLate bool
	Took   time.Duration
	Target time.Duration
}

// Examples returns the examples at the end of the help text.
func (*explainCmd) Examples() string {
	return "cleatctl explain 5c0e7a21d94b36f8 --log north-quay-1.log --log north-quay-2.log"
}

// Run prints what the time of a job was spent on.
func (x *explainCmd) Run(_ context.Context, c *cli) error {
	l, err := readLogs(c, x.Logs)
	if err != nil {
		return err
	}
	j, parts := l.Explain(x.Job)
	if j == nil {
		return fmt.Errorf("explain %s: %w", x.Job, errJobNotLogged)
	}
	if c.JSON {
		return c.printJSON(explanation{Job: j, Parts: parts, IsLate: j.IsLate(), Took: j.Took(), Target: j.Target()})
	}
	return x.render(c, j, parts)
}

func (x *explainCmd) render(c *cli, j *trace.Job, parts []trace.Part) error {
	_, _ = fmt.Fprintf(c.Out, "%s: queue %s of %s, %s", j.ID, j.Queue, j.Organisation, j.State)
	if j.Reason != "" {
		_, _ = fmt.Fprintf(c.Out, " (%s)", j.Reason)
	}
	if j.Target() > 0 && j.Took() > 0 {
		_, _ = fmt.Fprintf(c.Out, ", took %s of %s", round(j.Took()), round(j.Target()))
	}
	_, _ = fmt.Fprintln(c.Out)
	var rows [][]string
	for _, r := range j.Refusals {
		rows = append(rows, []string{clockTime(r.At), "", fmt.Sprintf("%d at %s", r.Status, r.Host), r.Cause})
	}
	for _, p := range parts {
		rows = append(rows, []string{clockTime(p.From), round(p.To.Sub(p.From)), string(p.Cause), p.Detail})
	}
	return c.printTable([]string{"FROM", "TIME", "SPENT ON", "DETAIL"}, rows)
}

func clockTime(t time.Time) string {
	return t.UTC().Format("15:04:05.000")
}

func round(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}
