package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/pkg/client"
)

type jobSubmitCmd struct {
	Organisation string        `arg:"--organisation,required" help:"organisation to which the job is charged"`
	Profile      string        `arg:"--profile,required" help:"profile of the job"`
	Key          string        `arg:"--key" help:"idempotency key: the job runs at most once"`
	Request      string        `arg:"--request" help:"id of this request; a retry with the same id gets the same reply"`
	Tasks        int           `arg:"--tasks" default:"1" help:"number of tasks of the gang"`
	Accelerators int           `arg:"--accelerators" default:"1" help:"accelerators of each task"`
	Processors   int           `arg:"--processors" default:"1" help:"processor cores of each task"`
	MemoryMB     int64         `arg:"--memory-mb" default:"1024" help:"memory of each task in MB"`
	Adjacent     string        `arg:"--adjacent" default:"Rack" help:"adjacency of the tasks: Worker, Rack or Domain"`
	RunTime      time.Duration `arg:"--run-time" help:"expected run time"`
	Work         string        `arg:"--work" help:"file that is passed to the workers, - for standard input"`
	Wait         bool          `arg:"--wait" help:"wait for the end and print the answer"`
	Output       string        `arg:"--output" help:"with --wait, file for the answer instead of standard output"`
}

// Examples returns the examples at the end of the help text.
func (*jobSubmitCmd) Examples() string {
	return "cleatctl job submit --organisation registry --profile registration --key tag-17 --work tag.json --wait\n" +
		"cleatctl job submit --organisation registry --profile audit --tasks 8 --accelerators 4 --run-time 2h"
}

// Run submits the job and prints its id, or with --wait its answer.
func (x *jobSubmitCmd) Run(ctx context.Context, c *cli) error {
	j, err := x.job()
	if err != nil {
		return err
	}
	k, err := c.client()
	if err != nil {
		return err
	}
	defer k.Close()
	if x.Wait {
		r, err := k.Run(ctx, j)
		if err != nil {
			return err
		}
		return c.writeAnswer(r.Answer, x.Output)
	}
	t, err := k.Submit(ctx, j)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(t)
	}
	_, err = fmt.Fprintln(c.Out, t.Job)
	return err
}

func (x *jobSubmitCmd) job() (client.Job, error) {
	j := client.Job{
		Organisation: x.Organisation,
		Profile:      x.Profile,
		Key:          x.Key,
		Request:      x.Request,
		RunTime:      x.RunTime,
		Shape: client.Shape{
			Tasks:        x.Tasks,
			Accelerators: x.Accelerators,
			Processors:   x.Processors,
			MemoryBytes:  x.MemoryMB * int64(fleet.Megabyte),
			Adjacent:     x.Adjacent,
		},
	}
	var err error
	switch x.Work {
	case "":
	case "-":
		j.Work, err = io.ReadAll(os.Stdin)
	default:
		j.Work, err = os.ReadFile(x.Work)
	}
	if err != nil {
		return j, usageError("read work: %v", err)
	}
	return j, nil
}

// writeAnswer writes an answer to a file, or to standard output when path is empty.
func (c *cli) writeAnswer(b []byte, path string) error {
	if path == "" {
		_, err := c.Out.Write(b)
		return err
	}
	const mode = 0o644
	if err := os.WriteFile(path, b, mode); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}
