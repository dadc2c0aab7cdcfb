package main

import (
	"context"
)

type jobAnswerCmd struct {
	Job    string `arg:"positional,required" placeholder:"JOB"`
	Output string `arg:"--output" help:"file for the answer instead of standard output"`
	Keep   bool   `arg:"--keep" help:"keep the answer on the hosts until it expires"`
}

// Examples returns the examples at the end of the help text.
func (*jobAnswerCmd) Examples() string {
	return "cleatctl job answer north-quay.k0123456789ab --output answer.bin"
}

// Run waits for the end of the job, writes its answer, and acknowledges it unless --keep is set.
func (x *jobAnswerCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.client()
	if err != nil {
		return err
	}
	defer k.Close()
	o, err := k.Wait(ctx, x.Job)
	if err != nil {
		return err
	}
	if err := o.Err(); err != nil {
		return err
	}
	a, err := k.Answer(ctx, o)
	if err != nil {
		return err
	}
	if err := c.writeAnswer(a, x.Output); err != nil {
		return err
	}
	if x.Keep {
		return nil
	}
	return k.Ack(ctx, x.Job)
}
