package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/pkg/oper"
)

type profileCmd struct {
	Publish *profilePublishCmd `arg:"subcommand:publish" help:"publish new profiles from INI files, all or none"`
	Revise  *profileReviseCmd  `arg:"subcommand:revise" help:"revise profiles from INI files, all or none"`
	Retire  *profileRetireCmd  `arg:"subcommand:retire" help:"retire a profile"`
	List    *profileListCmd    `arg:"subcommand:list" help:"list the profiles in force and the planned changes"`
	Show    *profileShowCmd    `arg:"subcommand:show" help:"show one profile"`
	History *profileHistoryCmd `arg:"subcommand:history" help:"list the changes of a profile"`
	Diff    *profileDiffCmd    `arg:"subcommand:diff" help:"compare two versions of a profile, or a file with the version in force"`
}

type profilePublishCmd struct {
	Files []string `arg:"positional,required" placeholder:"FILE"`
	plannedFlags
}

// Examples returns the examples at the end of the help text.
func (*profilePublishCmd) Examples() string {
	return "cleatctl profile publish registration.ini audits.ini --reason 'new season'"
}

// Run submits the new profiles of all files as one change.
func (x *profilePublishCmd) Run(ctx context.Context, c *cli) error {
	ps, err := parseFiles(x.Files, config.ParseProfile)
	if err != nil {
		return err
	}
	return publishProfiles(ctx, c, ps, x.plannedFlags, func(string) uint64 { return 0 })
}

func publishProfiles(ctx context.Context, c *cli, ps []config.Profile, f plannedFlags, version func(string) uint64) error {
	q := f.change()
	for _, p := range ps {
		i, err := newItem(config.KindProfile, p.Name, version(p.Name), p)
		if err != nil {
			return err
		}
		q.Items = append(q.Items, i)
	}
	return c.publish(ctx, q)
}

func (f *plannedFlags) change() oper.Change {
	q := oper.Change{ID: f.id(), Reason: f.Reason, Force: f.Force}
	if !f.From.IsZero() {
		q.From = &f.From
	}
	return q
}

type profileReviseCmd struct {
	Files   []string `arg:"positional,required" placeholder:"FILE"`
	Version uint64   `arg:"--base" help:"version that is revised, for a single file; default: the one in force"`
	plannedFlags
}

// Examples returns the examples at the end of the help text.
func (*profileReviseCmd) Examples() string {
	return "cleatctl profile revise audits.ini --reason 'longer wait' --from 2026-03-01T06:00:00Z"
}

// Run submits the revised profiles of all files as one change.
func (x *profileReviseCmd) Run(ctx context.Context, c *cli) error {
	ps, err := parseFiles(x.Files, config.ParseProfile)
	if err != nil {
		return err
	}
	if x.Version > 0 && len(ps) > 1 {
		return usageError("--base needs exactly one file")
	}
	current, err := currentVersions(ctx, c)
	if err != nil {
		return err
	}
	for _, p := range ps {
		if current[p.Name] == 0 && x.Version == 0 && x.ID == "" {
			return fmt.Errorf("profile %s does not exist; publish it instead", p.Name)
		}
	}
	return publishProfiles(ctx, c, ps, x.plannedFlags, func(n string) uint64 {
		if x.Version > 0 {
			return x.Version
		}
		return current[n]
	})
}

// currentVersions returns the version in force of each profile.
func currentVersions(ctx context.Context, c *cli) (map[string]uint64, error) {
	k, err := c.operator()
	if err != nil {
		return nil, err
	}
	defer k.Close()
	v, err := k.FindProfiles(ctx)
	if err != nil {
		return nil, err
	}
	out := map[string]uint64{}
	for _, p := range v.Profiles {
		out[p.Name] = p.Version
	}
	return out, nil
}

type profileRetireCmd struct {
	Name    string `arg:"positional,required" placeholder:"NAME"`
	Version uint64 `arg:"--base" help:"version that is retired; default: the one in force"`
	plannedFlags
}

// Examples returns the examples at the end of the help text.
func (*profileRetireCmd) Examples() string {
	return "cleatctl profile retire audits --reason 'moved to quiet hours' --from 2026-03-01T06:00:00Z"
}

// Run retires the profile.
func (x *profileRetireCmd) Run(ctx context.Context, c *cli) error {
	if x.Version == 0 {
		current, err := currentVersions(ctx, c)
		if err != nil {
			return err
		}
		x.Version = current[x.Name]
	}
	// A retry with --id goes on without a profile, since the first attempt may have retired it; the hosts recognise the id.
	if x.Version == 0 && x.ID == "" {
		return fmt.Errorf("profile %s does not exist and cannot be retired", x.Name)
	}
	q := x.change()
	q.Items = []oper.Item{{Kind: config.KindProfile, Name: x.Name, Version: x.Version, Remove: true}}
	return c.publish(ctx, q)
}

type profileListCmd struct{}

// Run lists the profiles in force and the planned changes.
func (*profileListCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.operator()
	if err != nil {
		return err
	}
	defer k.Close()
	v, err := k.FindProfiles(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(v)
	}
	var rows [][]string
	for _, p := range v.Profiles {
		rows = append(rows, []string{
			p.Name, formatUint(p.Version), string(p.Urgency), p.WaitBound.String(), p.Notice.String(),
			strconv.Itoa(len(p.Guarantees)), strconv.FormatBool(p.Once), strconv.FormatBool(p.Stoppable),
		})
	}
	h := []string{"PROFILE", "VERSION", "URGENCY", "WAITBOUND", "NOTICE", "GUARANTEES", "ONCE", "STOPPABLE"}
	if err := c.printTable(h, rows); err != nil {
		return err
	}
	for _, p := range v.Planned {
		for _, i := range p.Items {
			_, _ = fmt.Fprintf(c.Out, "planned from %s: %s %s, by %s: %s\n", formatTime(*p.From), i.Kind, i.Name, p.Operator, truncate(p.Reason))
		}
	}
	return nil
}

type profileShowCmd struct {
	Name string `arg:"positional,required" placeholder:"NAME"`
}

// Run prints the profile as JSON with Pascal-case keys.
func (x *profileShowCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.operator()
	if err != nil {
		return err
	}
	defer k.Close()
	p, err := k.GetProfile(ctx, x.Name)
	if err != nil {
		return err
	}
	return c.printJSON(p)
}

type profileHistoryCmd struct {
	Name string `arg:"positional,required" placeholder:"NAME"`
}

// Run lists the changes of the profile, including refused ones.
func (x *profileHistoryCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.operator()
	if err != nil {
		return err
	}
	defer k.Close()
	cs, err := k.FindHistory(ctx, x.Name)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(cs)
	}
	var rows [][]string
	for _, h := range cs {
		text := h.Reason
		verdict := "accepted"
		if h.Refused != "" {
			verdict = "refused"
			text = h.Refused
		}
		rows = append(rows, []string{formatUint(h.Offset), formatTime(h.At), h.Operator, verdict, truncate(text)})
	}
	return c.printTable([]string{"VERSION", "AT", "OPERATOR", "VERDICT", "REASON"}, rows)
}

type profileDiffCmd struct {
	Name string `arg:"positional,required" placeholder:"NAME|FILE"`
	Old  uint64 `arg:"positional" placeholder:"OLD"`
	New  uint64 `arg:"positional" placeholder:"NEW"`
}

// Examples returns the examples at the end of the help text.
func (*profileDiffCmd) Examples() string {
	return "cleatctl profile diff audits 812 977\ncleatctl profile diff audits.ini"
}

// Run prints the keys that differ between two versions, or between the version in force and a file.
func (x *profileDiffCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.operator()
	if err != nil {
		return err
	}
	defer k.Close()
	before, after, err := x.loadDocuments(ctx, k)
	if err != nil {
		return err
	}
	ds, err := config.Diff(before, after)
	if err != nil {
		return fmt.Errorf("compare: %w", err)
	}
	if c.JSON {
		return c.printJSON(ds)
	}
	var rows [][]string
	for _, d := range ds {
		rows = append(rows, []string{d.Key, truncate(d.Old), truncate(d.New)})
	}
	return c.printTable([]string{"KEY", "OLD", "NEW"}, rows)
}

// loadDocuments returns both sides of the comparison as JSON.
func (x *profileDiffCmd) loadDocuments(ctx context.Context, k *oper.Client) (before, after []byte, err error) {
	if !strings.HasSuffix(x.Name, ".ini") {
		return x.loadVersions(ctx, k)
	}
	ps, err := parseFiles([]string{x.Name}, config.ParseProfile)
	if err != nil {
		return nil, nil, err
	}
	current, err := k.GetProfile(ctx, ps[0].Name)
	if err != nil {
		return nil, nil, err
	}
	before, err = json.Marshal(current)
	if err != nil {
		return nil, nil, fmt.Errorf("encode profile: %w", err)
	}
	after, err = json.Marshal(ps[0])
	return before, after, err
}

// loadVersions returns two versions of the profile as JSON, from its history.
func (x *profileDiffCmd) loadVersions(ctx context.Context, k *oper.Client) (before, after []byte, err error) {
	if x.Old == 0 || x.New == 0 {
		return nil, nil, usageError("name two versions, or a file that ends in .ini")
	}
	cs, err := k.FindHistory(ctx, x.Name)
	if err != nil {
		return nil, nil, err
	}
	found := 0
	for _, h := range cs {
		for _, i := range h.Items {
			if i.Kind != config.KindProfile || i.Name != x.Name {
				continue
			}
			if h.Offset == x.Old {
				before = i.Resource
				found++
			}
			if h.Offset == x.New {
				after = i.Resource
				found++
			}
		}
	}
	if found < 2 && x.Old != x.New {
		return nil, nil, fmt.Errorf("profile %s has no history of versions %d and %d; see profile history", x.Name, x.Old, x.New)
	}
	return before, after, nil
}

// formatMinute formats a time for tables, in UTC and to the minute.
func formatMinute(t time.Time) string {
	return t.UTC().Format("2006-01-02T15:04Z")
}
