package main

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"github.com/auburncleat/auburncleat/internal/setup"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/auburncleat/auburncleat/platform"
)

type configCheckCmd struct {
	File         string `arg:"positional,required" placeholder:"FILE"`
	InForce      string `arg:"--in-force" placeholder:"FILE" help:"configuration in force, to show what differs from it"`
	Accelerators int    `arg:"--accelerators" help:"accelerators of all workers, to check the guarantees against"`
}

// Examples returns the examples at the end of the help text.
func (*configCheckCmd) Examples() string {
	return "cleatctl config check /etc/auburncleatd.ini\ncleatctl config check next.json --in-force current.json --accelerators 384"
}

// Run checks the settings of a host or, if the file is a JSON object, a configuration of queues before it is sent.
func (x *configCheckCmd) Run(_ context.Context, c *cli) error {
	b, err := os.ReadFile(x.File)
	if err != nil {
		return usageError("read %s: %v", x.File, err)
	}
	if bytes.HasPrefix(bytes.TrimSpace(b), []byte("{")) {
		return x.checkQueues(c, b)
	}
	return x.checkSettings(c)
}

// checkSettings returns an error that lists all faults of a settings file, or confirms that there is none.
func (x *configCheckCmd) checkSettings(c *cli) error {
	s, err := setup.Load(x.File)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(s)
	}
	_, err = fmt.Fprintf(c.Out, "%s: ok, host %s in %s\n", x.File, s.Host.Name, s.Host.Domain)
	return err
}

// findingView is a finding as the command prints it.
type findingView struct {
	Level  string
	Path   string
	Reason string
}

// configReport is the result of the check of a configuration.
type configReport struct {
	Version  int64
	Findings []findingView
	Changes  []queue.Change
}

// errConfigFaults says how many errors a configuration has.
type errConfigFaults struct {
	path   string
	errors int
}

func (e errConfigFaults) Error() string {
	return fmt.Sprintf("%s has %d errors, listed above", e.path, e.errors)
}

// checkQueues prints the findings of a configuration and what differs from the one in force.
func (x *configCheckCmd) checkQueues(c *cli, b []byte) error {
	next, err := platform.DecodeDraft(b)
	if err != nil {
		return fmt.Errorf("%s: %w", x.File, err)
	}
	out := configReport{Version: next.Config.Version}
	faults := 0
	for _, f := range queue.Check(next, queue.CheckOptions{Accelerators: x.Accelerators}) {
		level := "warning"
		if f.IsError {
			level = "error"
			faults++
		}
		out.Findings = append(out.Findings, findingView{Level: level, Path: platform.FieldPath(f.Place), Reason: f.Reason})
	}
	if x.InForce != "" {
		old, err := readDraft(x.InForce)
		if err != nil {
			return err
		}
		out.Changes = queue.Diff(old, next)
		if next.Config.Version <= old.Config.Version {
			faults++
			reason := fmt.Sprintf("%d is not above %d, the version in force, so no host would take it", next.Config.Version, old.Config.Version)
			out.Findings = append(out.Findings, findingView{Level: "error", Path: "version", Reason: reason})
		}
	}
	if err := out.print(c, x.File); err != nil {
		return err
	}
	if faults > 0 {
		return errConfigFaults{x.File, faults}
	}
	return nil
}

func readDraft(path string) (*queue.Draft, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError("read %s: %v", path, err)
	}
	d, err := platform.DecodeDraft(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

func (r configReport) print(c *cli, path string) error {
	if c.JSON {
		return c.printJSON(r)
	}
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(c.Out, "%s: %s %s\n", f.Level, f.Path, f.Reason)
	}
	if len(r.Changes) > 0 {
		var rows [][]string
		for _, x := range r.Changes {
			rows = append(rows, []string{string(x.Kind), x.Name, x.Field, x.Old, x.New, x.Effect})
		}
		if err := c.printTable([]string{"KIND", "NAME", "FIELD", "IN FORCE", "NEW", "EFFECT"}, rows); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(c.Out, "%s: version %d, %d findings, %d changes\n", path, r.Version, len(r.Findings), len(r.Changes))
	return err
}
