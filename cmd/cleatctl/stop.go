package main

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	api "github.com/auburncleat/auburncleat/internal/transport/oper"
	"github.com/auburncleat/auburncleat/pkg/oper"
)

type stopCmd struct {
	Announce *stopAnnounceCmd `arg:"subcommand:announce" help:"announce a planned stop"`
	Cancel   *stopCancelCmd   `arg:"subcommand:cancel" help:"cancel a planned stop"`
	List     *stopListCmd     `arg:"subcommand:list" help:"list the planned stops and their states"`
	Show     *stopShowCmd     `arg:"subcommand:show" help:"show one planned stop"`
}

type stopAnnounceCmd struct {
	Name   string    `arg:"positional,required" placeholder:"NAME"`
	Kind   string    `arg:"--kind,required" help:"Worker, Rack, Host or Domain"`
	Domain string    `arg:"--domain,required" help:"failure domain"`
	Target string    `arg:"--target" help:"name of the worker, rack or host"`
	From   time.Time `arg:"--from,required" help:"start of the stop, such as 2026-03-01T06:00:00Z"`
	Until  time.Time `arg:"--until,required" help:"end of the stop"`
	forceFlags
}

// Examples returns the examples at the end of the help text.
func (*stopAnnounceCmd) Examples() string {
	return "cleatctl stop announce rack-7-power --kind Rack --domain north-quay --target rack-7 \\\n" +
		"    --from 2026-03-01T06:00:00Z --until 2026-03-01T08:00:00Z --reason 'new power feed'"
}

// Run announces the stop.
func (x *stopAnnounceCmd) Run(ctx context.Context, c *cli) error {
	s := config.Stop{
		Name:   x.Name,
		Kind:   x.Kind,
		Domain: x.Domain,
		Target: x.Target,
		From:   x.From,
		Until:  x.Until,
		Reason: x.Reason,
	}
	if err := s.Check(); err != nil {
		return usageError("%v", err)
	}
	i, err := newItem(config.KindStop, s.Name, 0, s)
	if err != nil {
		return err
	}
	return c.publish(ctx, oper.Change{ID: x.id(), Reason: x.Reason, Force: x.Force, Items: []oper.Item{i}})
}

type stopCancelCmd struct {
	Name string `arg:"positional,required" placeholder:"NAME"`
	changeFlags
}

// Run cancels the stop.
func (x *stopCancelCmd) Run(ctx context.Context, c *cli) error {
	s, err := getStop(ctx, c, x.Name)
	// A retry with --id goes on without the stop, since the first attempt may have cancelled it; the hosts recognise the id.
	if err != nil && x.ID == "" {
		return err
	}
	i := oper.Item{Kind: config.KindStop, Name: x.Name, Version: s.Version, Remove: true}
	return c.publish(ctx, oper.Change{ID: x.id(), Reason: x.Reason, Items: []oper.Item{i}})
}

func findStops(ctx context.Context, c *cli) (api.StopsView, error) {
	k, err := c.operator()
	if err != nil {
		return api.StopsView{}, err
	}
	defer k.Close()
	return k.FindStops(ctx)
}

func getStop(ctx context.Context, c *cli, name string) (api.StopView, error) {
	v, err := findStops(ctx, c)
	if err != nil {
		return api.StopView{}, err
	}
	for _, s := range v.Stops {
		if s.Name == name {
			return s, nil
		}
	}
	return api.StopView{}, fmt.Errorf("stop %s is not announced; see stop list", name)
}

type stopListCmd struct{}

// Run lists the planned stops.
func (*stopListCmd) Run(ctx context.Context, c *cli) error {
	v, err := findStops(ctx, c)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(v)
	}
	var rows [][]string
	for _, s := range v.Stops {
		rows = append(rows, []string{s.Name, s.Kind, s.Domain, s.Target, formatMinute(s.From), formatMinute(s.Until), s.State})
	}
	return c.printTable([]string{"STOP", "KIND", "FAILURE DOMAIN", "TARGET", "FROM", "UNTIL", "STATE"}, rows)
}

type stopShowCmd struct {
	Name string `arg:"positional,required" placeholder:"NAME"`
}

// Run prints the stop as JSON with Pascal-case keys.
func (x *stopShowCmd) Run(ctx context.Context, c *cli) error {
	s, err := getStop(ctx, c, x.Name)
	if err != nil {
		return err
	}
	return c.printJSON(s)
}
