package main

import (
	"fmt"
	"os"

	"github.com/auburncleat/auburncleat/internal/state/trace"
	"github.com/pkg/errors"
)

var errNoLogLines = errors.New("no line is a log line of a host")

// readLogs reads the logs of one or more hosts.
func readLogs(c *cli, files []string) (*trace.Log, error) {
	l := &trace.Log{}
	for _, n := range files {
		f, err := os.Open(n)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		err = l.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", n, err)
		}
	}
	if l.IsEmpty() {
		return nil, fmt.Errorf("read %d files: %w", len(files), errNoLogLines)
	}
	if l.Skipped > 0 {
		_, _ = fmt.Fprintf(c.Err, "%d lines are not log lines of a host\n", l.Skipped)
	}
	return l, nil
}
