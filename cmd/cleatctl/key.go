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
	Clear  *keyClearCmd  `arg:"subcommand:clear" help:"vouch that no claims of idempotency keys are missing"`
	Status *keyStatusCmd `arg:"subcommand:status" help:"list where claims of idempotency keys may be missing"`
}

type keyClearCmd struct {
	Domain string `arg:"--domain,required" help:"failure domain whose claims are known to be complete"`
	changeFlags
}

// Examples ends the help text.
func (*keyClearCmd) Examples() string {
	return "cleatctl key clear --domain north-quay --reason 'all tags of today compared with the register'"
}

// Run writes the operator's word into the log; work with keys starts again once the hosts have read it.
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
	_, err = fmt.Fprintf(c.Out, "claims of %s: cleared by %s at %s\n", v.Domain, v.Operator, hours(v.At))
	return err
}

type keyStatusCmd struct{}

// Examples ends the help text.
func (*keyStatusCmd) Examples() string {
	return "cleatctl --status 127.10.1.1:7104 --status 127.10.2.1:7104 key status"
}

// Run lists the failure domains of the hosts that answer.
func (*keyStatusCmd) Run(ctx context.Context, c *cli) error {
	as, err := askAll[status.KeysView](ctx, c, "/v1/keys")
	if err != nil {
		return err
	}
	vs := keysByDomain(as)
	if c.JSON {
		return c.printJSON(vs)
	}
	var rows [][]string
	for _, v := range vs {
		state, since, until := "missing", instant(v.Since), ""
		if v.Complete {
			state, since = "complete", ""
		}
		if !v.Until.IsZero() {
			until = instant(v.Until)
		}
		rows = append(rows, []string{v.Domain, state, since, until, v.Host, v.Why})
	}
	return c.printTable([]string{"FAILURE DOMAIN", "CLAIMS", "SINCE", "UNTIL", "SAYS", "WHY"}, rows)
}

// keysByDomain takes the owner's word for each failure domain, else that of a host that has all claims.
func keysByDomain(as []asked[status.KeysView]) []status.KeysView {
	var vs []status.KeysView
	for _, a := range as {
		if a.Err == nil {
			vs = append(vs, *a.Reply)
		}
	}
	slices.SortFunc(vs, func(a, b status.KeysView) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), first(a.Owner, b.Owner), first(a.Complete, b.Complete),
			cmp.Compare(a.Host, b.Host))
	})
	return slices.CompactFunc(vs, func(a, b status.KeysView) bool { return a.Domain == b.Domain })
}

// first orders what is set before what is not.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
