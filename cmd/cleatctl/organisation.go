package main

import (
	"context"
	"strconv"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/pkg/oper"
)

type organisationCmd struct {
	Set  *organisationSetCmd  `arg:"subcommand:set" help:"add or revise organisations from INI files, all or none"`
	List *organisationListCmd `arg:"subcommand:list" help:"list the organisations in force"`
}

type organisationSetCmd struct {
	Files []string `arg:"positional,required" placeholder:"FILE"`
	changeFlags
}

// Examples returns the examples at the end of the help text.
func (*organisationSetCmd) Examples() string {
	return "cleatctl organisation set registry.ini inspectors.ini --reason 'new season'"
}

// Run submits the organisations of all files as one change.
func (x *organisationSetCmd) Run(ctx context.Context, c *cli) error {
	orgs, err := parseFiles(x.Files, config.ParseOrganisation)
	if err != nil {
		return err
	}
	k, err := c.operator()
	if err != nil {
		return err
	}
	defer k.Close()
	v, err := k.FindOrganisations(ctx)
	if err != nil {
		return err
	}
	current := map[string]uint64{}
	for _, o := range v.Organisations {
		current[o.Name] = o.Version
	}
	q := oper.Change{ID: x.id(), Reason: x.Reason}
	for _, o := range orgs {
		i, err := newItem(config.KindOrganisation, o.Name, current[o.Name], o)
		if err != nil {
			return err
		}
		q.Items = append(q.Items, i)
	}
	return c.publish(ctx, q)
}

type organisationListCmd struct{}

// Run lists the organisations.
func (*organisationListCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.operator()
	if err != nil {
		return err
	}
	defer k.Close()
	v, err := k.FindOrganisations(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(v)
	}
	var rows [][]string
	for _, o := range v.Organisations {
		rows = append(rows, []string{o.Name, formatUint(o.Version), strconv.Itoa(o.Weight), strconv.Itoa(o.Accelerators)})
	}
	return c.printTable([]string{"ORGANISATION", "VERSION", "WEIGHT", "ACCELERATORS"}, rows)
}
