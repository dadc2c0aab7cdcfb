package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

var version = "unknown"

// root has one field for each command; a command is a struct with a Run method and is registered by its field alone.
type root struct {
	Job          *jobCmd          `arg:"subcommand:job" help:"submit, show, cancel and list jobs, and fetch answers"`
	Timeline     *timelineCmd     `arg:"subcommand:timeline" help:"merge the events of all hosts"`
	Hosts        *hostsCmd        `arg:"subcommand:hosts" help:"list entry hosts and who owns which failure domain"`
	Workers      *workersCmd      `arg:"subcommand:workers" help:"list workers and their use"`
	Evacuations  *evacuationsCmd  `arg:"subcommand:evacuations" help:"list the evacuated failure domains and what still runs there"`
	Profile      *profileCmd      `arg:"subcommand:profile" help:"publish, revise, retire, list and compare profiles"`
	Organisation *organisationCmd `arg:"subcommand:organisation" help:"set and list organisations"`
	Stop         *stopCmd         `arg:"subcommand:stop" help:"announce, cancel and list planned stops"`
	Notice       *noticeCmd       `arg:"subcommand:notice" help:"list and confirm slowdowns that clients must be told of"`
	Key          *keyCmd          `arg:"subcommand:key" help:"list failure domains with missing claims of idempotency keys, and clear them"`
	Config       *configCmd       `arg:"subcommand:config" help:"show which configuration is in force, and check settings"`
	Explain      *explainCmd      `arg:"subcommand:explain" help:"tell from the logs of all hosts what the time of a job was spent on"`
	Account      *accountCmd      `arg:"subcommand:account" help:"tell from the logs of all hosts what the time of all jobs was spent on"`
	Build        *versionCmd      `arg:"subcommand:version" help:"show version and build"`
	options
}

// Version returns the text that --version prints.
func (root) Version() string {
	return "cleatctl " + version
}

// Epilogue returns the text below the help of the options.
func (root) Epilogue() string {
	return `Exit codes: 0 done, 1 refused or failed, 2 bad usage, 3 unknown outcome.

Examples:
  cleatctl --host 127.10.1.1:7102 job submit --organisation registry --profile registration --key tag-17 --wait
  cleatctl --status 127.10.1.1:7104 --status 127.10.2.1:7104 timeline --picture timeline.svg
  cleatctl hosts --help`
}

// command is a sub-command that can be run.
type command interface {
	Run(ctx context.Context, c *cli) error
}

// exampler is a command with examples at the end of its help text.
type exampler interface {
	Examples() string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, out, errs io.Writer) int {
	var r root
	p, err := arg.NewParser(arg.Config{Program: "cleatctl", Out: errs}, &r)
	if err != nil {
		_, _ = fmt.Fprintln(errs, "cleatctl:", err)
		return exitUsage
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		help(p, out)
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		_, _ = fmt.Fprintln(out, r.Version())
		return exitOK
	case err != nil:
		return usage(p, errs, err.Error())
	}
	cmd, ok := p.Subcommand().(command)
	if !ok {
		return usage(p, errs, "name a sub-command")
	}
	c := r.cli(out, errs)
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	err = cmd.Run(ctx, c)
	if err != nil {
		_, _ = fmt.Fprintln(errs, "cleatctl:", err)
	}
	return exitCode(err)
}

func help(p *arg.Parser, out io.Writer) {
	_ = p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
	if e, ok := p.Subcommand().(exampler); ok {
		_, _ = fmt.Fprintf(out, "\nExamples:\n  %s\n", strings.ReplaceAll(e.Examples(), "\n", "\n  "))
	}
}

func usage(p *arg.Parser, errs io.Writer, text string) int {
	_ = p.WriteUsageForSubcommand(errs, p.SubcommandNames()...)
	_, _ = fmt.Fprintf(errs, "cleatctl: %s; see cleatctl %s --help\n", text, strings.Join(p.SubcommandNames(), " "))
	return exitUsage
}
