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
}

// Version renders what --version prints.
func (options) Version() string {
	return "standin " + version
}

func main() {
	var o options
	p := arg.MustParse(&o)
	g := &run.Group{}
	var err error
	switch {
	case o.Platform != nil:
		o.Platform.add(g)
	case o.Worker != nil:
		err = o.Worker.add(g)
	default:
		p.Fail("name a sub-command: platform or worker")
	}
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
