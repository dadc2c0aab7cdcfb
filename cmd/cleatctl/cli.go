package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/auburncleat/auburncleat/pkg/client"
)

const (
	statusTimeout = 3 * time.Second
	columnPadding = 2
)

// options are the flags common to all commands.
type options struct {
	Hosts         []netip.AddrPort `arg:"--host,separate,env:CLEATCTL_HOSTS" help:"caller address of an entry host, IP:PORT; repeat for more"`
	OperatorHosts []netip.AddrPort `arg:"--operator,separate,env:CLEATCTL_OPERATORS" help:"operator address of an entry host; repeat for more"`
	StatusHosts   []netip.AddrPort `arg:"--status,separate,env:CLEATCTL_STATUS" help:"status address of an entry host; repeat for more"`
	KeyFile       string           `arg:"--key-file,env:CLEATCTL_KEY_FILE" help:"file with the operator's name and bearer key"`
	JSON          bool             `arg:"--json" help:"print JSON"`
	Timeout       time.Duration    `arg:"--timeout" default:"30s" help:"give up after this time"`
}

// cli holds the outputs and the common flags for a command.
type cli struct {
	Out           io.Writer
	Err           io.Writer
	JSON          bool
	Timeout       time.Duration
	Hosts         []netip.AddrPort
	OperatorHosts []netip.AddrPort
	StatusHosts   []netip.AddrPort
	KeyFile       string
}

func (o options) cli(out, errs io.Writer) *cli {
	return &cli{
		Out:           out,
		Err:           errs,
		JSON:          o.JSON,
		Timeout:       o.Timeout,
		Hosts:         o.Hosts,
		OperatorHosts: o.OperatorHosts,
		StatusHosts:   o.StatusHosts,
		KeyFile:       o.KeyFile,
	}
}

// client returns a client for the caller addresses.
func (c *cli) client() (*client.Client, error) {
	if len(c.Hosts) == 0 {
		return nil, usageError("name an entry host with --host or CLEATCTL_HOSTS")
	}
	return client.New(c.Hosts), nil
}

// status returns a client for the status addresses.
func (c *cli) status() (*rest.Client, error) {
	if len(c.StatusHosts) == 0 {
		return nil, usageError("name the status address of an entry host with --status or CLEATCTL_STATUS")
	}
	return rest.New(rest.WithTimeout(min(statusTimeout, c.Timeout))), nil
}

// printJSON prints v as indented JSON.
func (c *cli) printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode JSON: %w", err)
	}
	_, err = fmt.Fprintf(c.Out, "%s\n", b)
	return err
}

// printTable prints the heading and the rows in aligned columns.
func (c *cli) printTable(heading []string, rows [][]string) error {
	w := tabwriter.NewWriter(c.Out, 0, 0, columnPadding, ' ', 0)
	for _, r := range append([][]string{heading}, rows...) {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}
