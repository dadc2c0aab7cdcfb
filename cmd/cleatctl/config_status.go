package main

import (
	"context"
	"fmt"
	"time"
)

type configStatusCmd struct{}

// Run prints for each failure domain and host which configuration is in force, since when, and for how long it lags behind.
func (*configStatusCmd) Run(ctx context.Context, c *cli) error {
	k, err := c.operator()
	if err != nil {
		return err
	}
	defer k.Close()
	s, err := k.GetStatus(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(s)
	}
	if s.Alarm != "" {
		_, _ = fmt.Fprintln(c.Out, "alarm:", s.Alarm)
	}
	rows := [][]string{{"newest", "", formatUint(s.Offset), formatTime(s.Since), ""}}
	for _, d := range s.Domains {
		rows = append(rows, []string{d.Domain, "all hosts", formatUint(d.Offset), formatTime(d.Since), lag(d.Lags, 0)})
		for _, h := range d.Hosts {
			rows = append(rows, []string{"", h.Name, formatUint(h.Offset), formatTime(h.Since), lag(h.Lags, h.Behind)})
		}
	}
	return c.printTable([]string{"FAILURE DOMAIN", "HOST", "IN FORCE", "SINCE", "LAGS"}, rows)
}

func lag(isBehind bool, d time.Duration) string {
	if !isBehind {
		return ""
	}
	if d == 0 {
		return "lags"
	}
	return "for " + d.Round(time.Second).String()
}
