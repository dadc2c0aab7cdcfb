package main

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/config"
)

type noticeCmd struct {
	List *noticeListCmd `arg:"subcommand:list" help:"list the slowdowns that clients have to hear of"`
	Ack  *noticeAckCmd  `arg:"subcommand:ack" help:"confirm that the clients were called"`
}

type noticeListCmd struct {
	Open         bool   `arg:"--open" help:"only those that nobody has confirmed"`
	Organisation string `arg:"--organisation" help:"only those of this organisation"`
}

// Run lists notices, those to call first on top.
func (x *noticeListCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.operator()
	if err != nil {
		return err
	}
	defer k.Close()
	v, err := k.FindNotices(ctx)
	if err != nil {
		return err
	}
	kept := []config.Notice{}
	for _, n := range v.Notices {
		isHidden := x.Open && !n.Acked.IsZero()
		if !isHidden && (x.Organisation == "" || x.Organisation == n.Organisation) {
			kept = append(kept, n)
		}
	}
	v.Notices = kept
	if c.JSON {
		return c.printJSON(v)
	}
	for _, n := range kept {
		acked := "nobody has confirmed the call"
		if !n.Acked.IsZero() {
			acked = fmt.Sprintf("called, confirmed by %s at %s", n.AckedBy, hours(n.Acked))
		}
		_, err := fmt.Fprintf(c.Out, "%s\n  call %s by %s: profile %s in %s, %s to %s, %s\n  why: %s\n  %s\n",
			n.ID, n.Organisation, hours(n.CallBy), n.Profile, n.Domain, hours(n.From), hours(n.Until), slower(n), n.Why, acked)
		if err != nil {
			return fmt.Errorf("print notice: %w", err)
		}
	}
	return nil
}

type noticeAckCmd struct {
	Notice string `arg:"positional,required" placeholder:"NOTICE"`
	changeFlags
}

// Examples ends the help text.
func (*noticeAckCmd) Examples() string {
	return "cleatctl notice ack 4f0c21d9a3b7e865 --reason 'called the harbour master'"
}

// Run confirms the call.
func (x *noticeAckCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.operator()
	if err != nil {
		return err
	}
	defer k.Close()
	n, err := k.AckNotice(ctx, x.id(), x.Notice, x.Reason)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(n)
	}
	_, err = fmt.Fprintf(c.Out, "notice %s: confirmed by %s at %s\n", n.ID, n.AckedBy, hours(n.Acked))
	return err
}

// leastSlower is the factor from which a notice speaks of a slowdown; below it only a guarantee is lost.
const leastSlower = 1.05

func slower(n config.Notice) string {
	if n.Slower < leastSlower {
		return "guarantee not kept"
	}
	return fmt.Sprintf("%.1f times slower", n.Slower)
}
