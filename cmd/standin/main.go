package main

import (
	"context"
	"fmt"
	"os"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/oklog/run"
	"github.com/pkg/errors"
)

var version = "unknown"

type options struct {
	Platform *platformCmd `arg:"subcommand:platform" help:"serve the log and the host list"`
	Worker   *workerCmd   `arg:"subcommand:worker" help:"serve the workers of one rack"`
	Enroll   *enrollCmd   `arg:"subcommand:enroll" help:"add entry hosts to the platform's host list, or remove hosts and workers"`
	Fault    *faultCmd    `arg:"subcommand:fault" help:"set the faults of simulated processes, or clear them"`
	Load     *loadCmd     `arg:"subcommand:load" help:"run a workload and report the outcomes that callers received"`
	Check    *checkCmd    `arg:"subcommand:check" help:"compare the outcomes that callers received with the task starts of workers"`
}

// Version returns the text that --version prints.
func (options) Version() string {
	return "standin " + version
}

// command is a sub-command, which adds its actors to a run group.
type command interface {
	add(g *run.Group) error
}

func main() {
	var o options
	p := arg.MustParse(&o)
	c, ok := p.Subcommand().(command)
	if !ok {
		p.Fail("name a sub-command")
	}
	g := &run.Group{}
	err := c.add(g)
	if err == nil {
		g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
		err = g.Run()
	}
	if err != nil && !errors.Is(err, run.ErrSignal) {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// addActor adds f to the group; its context is cancelled when the group is interrupted.
func addActor(g *run.Group, f func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { stop() })
}
