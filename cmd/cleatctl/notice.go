package main

import (
	"context"
	"fmt"

	"github.com/auburncleat/auburncleat/internal/state/config"
)

type noticeCmd struct {
	List *noticeListCmd `arg:"subcommand:list" help:"list the slowdowns that clients must be told of"`
	Ack  *noticeAckCmd  `arg:"subcommand:ack" help:"confirm that the client was called"`
}

type noticeListCmd struct {
	Open         bool   `arg:"--open" help:"only unconfirmed notices"`
	Organisation string `arg:"--organisation" help:"only notices of this organisation"`
}

// Run lists the notices in the order in which the clients have to be called.
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
	matching := []config.Notice{}
	for _, n := range v.Notices {
		isHidden := x.Open && !n.Acked.IsZero()
		if !isHidden && (x.Organisation == "" || x.Organisation == n.Organisation) {
			matching = append(matching, n)
		}
	}
	v.Notices = matching
	if c.JSON {
		return c.printJSON(v)
	}
	for _, n := range matching {
		acked := "not confirmed yet"
		if !n.Acked.IsZero() {
			acked = fmt.Sprintf("called, confirmed by %s at %s", n.AckedBy, formatMinute(n.Acked))
		}
		_, err := fmt.Fprintf(c.Out, "%s\n  call %s by %s: profile %s in %s, %s to %s, %s\n  why: %s\n  %s\n",
			n.ID, n.Organisation, formatMinute(n.CallBy), n.Profile, n.Domain, formatMinute(n.From), formatMinute(n.Until), describeSlowdown(n), n.Why, acked)
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

// Examples returns the examples at the end of the help text.
func (*noticeAckCmd) Examples() string {
	return "cleatctl notice ack 4f0c21d9a3b7e865 --reason 'called the harbour master'"
}

// Run records that the client was called.
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
	_, err = fmt.Fprintf(c.Out, "notice %s: confirmed by %s at %s\n", n.ID, n.AckedBy, formatMinute(n.Acked))
	return err
}

// minSlowdown is the smallest factor that is shown as a slowdown; a notice below it is about a guarantee that is not met.
const minSlowdown = 1.05

func describeSlowdown(n config.Notice) string {
	if n.Slower < minSlowdown {
		return "guarantee not met"
	}
	return fmt.Sprintf("%.1f times slower", n.Slower)
}
