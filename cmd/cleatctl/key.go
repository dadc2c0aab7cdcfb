package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/auburncleat/auburncleat/internal/transport/status"
	"github.com/auburncleat/auburncleat/pkg/oper"
)

type keyCmd struct {
	Clear  *keyClearCmd  `arg:"subcommand:clear" help:"confirm that no claims of idempotency keys are missing"`
	Status *keyStatusCmd `arg:"subcommand:status" help:"list where claims of idempotency keys may be missing"`
}

type keyClearCmd struct {
	Domain string `arg:"--domain,required" help:"failure domain whose claims are known to be complete"`
	changeFlags
}

// Examples returns the examples at the end of the help text.
func (*keyClearCmd) Examples() string {
	return "cleatctl key clear --domain north-quay --reason 'all tags of today compared with the register'"
}

// Run appends the operator's confirmation to the log; jobs with idempotency keys start again once the hosts have read it.
func (x *keyClearCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.operator()
	if err != nil {
		return err
	}
	defer k.Close()
	v, err := k.ClearKeys(ctx, oper.Clear{ID: x.id(), Domain: x.Domain, Reason: x.Reason})
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(v)
	}
	_, err = fmt.Fprintf(c.Out, "claims of %s: cleared by %s at %s\n", v.Domain, v.Operator, formatMinute(v.At))
	return err
}

type keyStatusCmd struct{}

// Examples returns the examples at the end of the help text.
func (*keyStatusCmd) Examples() string {
	return "cleatctl --status 127.10.1.1:7104 --status 127.10.2.1:7104 key status"
}

// Run lists the state of the claims in each failure domain, as reported by the hosts that answer.
func (*keyStatusCmd) Run(ctx context.Context, c *cli) error {
	rs, err := queryAll[status.KeysView](ctx, c, "/v1/keys")
	if err != nil {
		return err
	}
	vs := keysByDomain(rs)
	if c.JSON {
		return c.printJSON(vs)
	}
	var rows [][]string
	for _, v := range vs {
		state, since, until := "missing", formatTime(v.Since), ""
		if v.Complete {
			state, since = "complete", ""
		}
		if !v.Until.IsZero() {
			until = formatTime(v.Until)
		}
		rows = append(rows, []string{v.Domain, state, since, until, v.Host, v.Why})
	}
	return c.printTable([]string{"FAILURE DOMAIN", "CLAIMS", "SINCE", "UNTIL", "SAYS", "WHY"}, rows)
}

// keysByDomain returns one view per failure domain: the owner's, else that of a host that has all claims, else that of any host.
func keysByDomain(rs []statusReply[status.KeysView]) []status.KeysView {
	var vs []status.KeysView
	for _, a := range rs {
		if a.Err == nil {
			vs = append(vs, *a.Reply)
		}
	}
	slices.SortFunc(vs, func(a, b status.KeysView) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), compareTrueFirst(a.Owner, b.Owner), compareTrueFirst(a.Complete, b.Complete),
			cmp.Compare(a.Host, b.Host))
	})
	return slices.CompactFunc(vs, func(a, b status.KeysView) bool { return a.Domain == b.Domain })
}

// compareTrueFirst compares two booleans so that true sorts before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
