package main

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
)

type versionCmd struct{}

// buildInfo describes the build of the program; --json prints it under these names.
type buildInfo struct {
	Version  string
	Go       string
	Revision string
	Modified bool
}

// Run prints version and build.
func (v *versionCmd) Run(_ context.Context, c *cli) error {
	b := buildInfo{Version: version, Go: runtime.Version()}
	if i, ok := debug.ReadBuildInfo(); ok {
		for _, s := range i.Settings {
			switch s.Key {
			case "vcs.revision":
				b.Revision = s.Value
			case "vcs.modified":
				b.Modified = s.Value == "true"
			}
		}
	}
	if c.JSON {
		return c.printJSON(b)
	}
	_, err := fmt.Fprintf(c.Out, "cleatctl %s, revision %s, %s\n", b.Version, b.Revision, b.Go)
	return err
}
