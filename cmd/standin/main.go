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
	Worker   *workerCmd   `arg:"subcommand:worker" help:"serve workers of one rack"`
	Enroll   *enrollCmd   `arg:"subcommand:enroll" help:"change the platform's list of hosts"`
	Fault    *faultCmd    `arg:"subcommand:fault" help:"make stand-ins fail, or mend them"`
	Load     *loadCmd     `arg:"subcommand:load" help:"play callers and report what they heard"`
	Check    *checkCmd    `arg:"subcommand:check" help:"compare what callers heard with what workers started"`
}

// Version renders what --version prints.
func (options) Version() string {
	return "standin " + version
}

// command adds its actors to a group.
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

// actor adds f to the group with a context that ends when the group does.
func actor(g *run.Group, f func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { stop() })
}
