package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/pkg/oper"
)

// maxTextWidth limits free text in tables, so that a row fits into 100 columns.
const maxTextWidth = 40

// operator returns a client for the operator addresses.
func (c *cli) operator() (*oper.Client, error) {
	if len(c.OperatorHosts) == 0 {
		return nil, usageError("name the operator address of an entry host with --operator or CLEATCTL_OPERATORS")
	}
	return oper.New(c.OperatorHosts, oper.WithKeyFile(c.KeyFile)), nil
}

// changeFlags are the flags of all commands that change the configuration.
type changeFlags struct {
	Reason string `arg:"--reason,required" help:"reason of the change, recorded in the log"`
	ID     string `arg:"--id" help:"id of the change, to retry one whose outcome is unknown"`
}

// id returns the id given with --id, or a random one.
func (f *changeFlags) id() string {
	if f.ID == "" {
		f.ID = rand.Text()
	}
	return f.ID
}

// forceFlags are the flags of a change that can slow clients down and so is subject to the promised notice.
type forceFlags struct {
	Force bool `arg:"--force" help:"apply the change although it violates a promised notice, and record that"`
	changeFlags
}

// plannedFlags are the flags of a change that can be scheduled for later.
type plannedFlags struct {
	From time.Time `arg:"--from" help:"time at which the change takes effect, such as 2026-03-01T06:00:00Z; default: now"`
	forceFlags
}

// publish submits a change and prints its result.
func (c *cli) publish(ctx context.Context, q oper.Change) error {
	k, err := c.operator()
	if err != nil {
		return err
	}
	defer k.Close()
	v, err := k.CreateChange(ctx, q)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(v)
	}
	for _, i := range v.Items {
		effect := "in force"
		if v.From != nil && v.From.After(v.At) {
			effect = "planned from " + formatTime(*v.From)
		}
		if i.Remove {
			effect += ", removed"
		}
		forced := ""
		if v.Forced {
			forced = "; violates a promised notice, which is recorded"
		}
		_, err = fmt.Fprintf(c.Out, "%s %s: accepted at version %d, %s%s\n", i.Kind, i.Name, v.Offset, effect, forced)
		if err != nil {
			return fmt.Errorf("print change: %w", err)
		}
	}
	return nil
}

func newItem(kind config.Kind, name string, version uint64, resource any) (oper.Item, error) {
	b, err := json.Marshal(resource)
	if err != nil {
		return oper.Item{}, fmt.Errorf("encode %s %s: %w", kind, name, err)
	}
	return oper.Item{Kind: kind, Name: name, Version: version, Resource: b}, nil
}

// parseFiles parses one resource from each file.
func parseFiles[T any](paths []string, parse func([]byte) (T, error)) ([]T, error) {
	var out []T
	for _, p := range paths {
		b, err := os.ReadFile(p)
		if err != nil {
			return nil, usageError("read file: %v", err)
		}
		v, err := parse(b)
		if err != nil {
			return nil, usageError("%s: %v", p, err)
		}
		out = append(out, v)
	}
	return out, nil
}

func truncate(s string) string {
	r := []rune(s)
	if len(r) <= maxTextWidth {
		return s
	}
	return string(r[:maxTextWidth-3]) + "..."
}

func formatUint(n uint64) string {
	return strconv.FormatUint(n, 10)
}
