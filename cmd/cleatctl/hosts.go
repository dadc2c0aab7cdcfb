package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/transport/rest"
	"github.com/auburncleat/auburncleat/internal/transport/status"
	"github.com/pkg/errors"
)

const readyInterval = 200 * time.Millisecond

type hostsCmd struct {
	Owner string `arg:"--owner" help:"print only the name of the host that owns this failure domain"`
	Ready int    `arg:"--ready" help:"wait until at least this many status addresses report ready"`
}

// errNoOwner is returned when none of the replies names an owner of the failure domain.
var errNoOwner = errors.New("no host is known to own the failure domain")

// Examples returns the examples at the end of the help text.
func (*hostsCmd) Examples() string {
	return "cleatctl hosts\ncleatctl hosts --owner north-quay\ncleatctl hosts --ready 8 --timeout 20s"
}

// Run lists the hosts, prints the owner of a failure domain, or waits until hosts are ready.
func (x *hostsCmd) Run(ctx context.Context, c *cli) error {
	if x.Ready > 0 {
		return x.waitReady(ctx, c)
	}
	rs, err := queryAll[status.HostsView](ctx, c, "/v1/hosts")
	if err != nil {
		return err
	}
	hs := mergeHosts(rs)
	if x.Owner != "" {
		return x.printOwner(c, hs)
	}
	if c.JSON {
		return c.printJSON(status.HostsView{Hosts: hs})
	}
	var rows [][]string
	for _, h := range hs {
		owner := ""
		if h.Owner {
			owner = "owner"
		}
		offset := strconv.FormatUint(h.ConfigOffset, 10)
		rows = append(rows, []string{h.Domain, h.Name, h.Addr, h.State, owner, offset, formatTime(h.LastHeard)})
	}
	return c.printTable([]string{"FAILURE DOMAIN", "HOST", "ADDRESS", "STATE", "OWNER", "CONFIG", "HEARD"}, rows)
}

// mergeHosts merges the replies and takes each host from the one with its latest heartbeat.
func mergeHosts(rs []statusReply[status.HostsView]) []status.HostView {
	byName := map[string]status.HostView{}
	for _, a := range rs {
		if a.Err != nil {
			continue
		}
		for _, h := range a.Reply.Hosts {
			if old, ok := byName[h.Name]; !ok || old.LastHeard.Before(h.LastHeard) {
				byName[h.Name] = h
			}
		}
	}
	var hs []status.HostView
	for _, h := range byName {
		hs = append(hs, h)
	}
	slices.SortFunc(hs, func(a, b status.HostView) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Name, b.Name))
	})
	return hs
}

func (x *hostsCmd) printOwner(c *cli, hs []status.HostView) error {
	for _, h := range hs {
		if h.Owner && h.Domain == x.Owner {
			_, err := fmt.Fprintln(c.Out, h.Name)
			return err
		}
	}
	return fmt.Errorf("%s: %w", x.Owner, errNoOwner)
}

func (x *hostsCmd) waitReady(ctx context.Context, c *cli) error {
	k, err := c.status()
	if err != nil {
		return err
	}
	defer k.Close()
	for {
		n := 0
		var last error
		for _, a := range c.StatusHosts {
			if err := checkReady(ctx, k, a); err != nil {
				last = fmt.Errorf("%s: %w", a, err)
				continue
			}
			n++
		}
		if n >= x.Ready {
			_, err := fmt.Fprintf(c.Out, "%d hosts are ready\n", n)
			return err
		}
		if err := clock.System().Sleep(ctx, readyInterval); err != nil {
			return fmt.Errorf("%d of %d hosts are ready; last failure: %w: %w", n, x.Ready, last, err)
		}
	}
}

func checkReady(ctx context.Context, k *rest.Client, a netip.AddrPort) error {
	_, err := k.Do(ctx, rest.Request{Method: http.MethodGet, Addr: a, Path: "/readyz", Hedge: true})
	var s *rest.ErrStatus
	if errors.As(err, &s) {
		return errors.New(string(s.Body))
	}
	return err
}
