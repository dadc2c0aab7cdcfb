package main

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/setup"
)

type configCheckCmd struct {
	File string `arg:"positional,required" placeholder:"FILE"`
}

// Examples returns the examples at the end of the help text.
func (*configCheckCmd) Examples() string {
	return "cleatctl config check /etc/auburncleatd.ini"
}

// Run returns an error that lists all faults of the file, or confirms that there is none.
func (x *configCheckCmd) Run(_ context.Context, c *cli) error {
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
