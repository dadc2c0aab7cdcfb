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

// textColumns bounds the last column of a table, so that a row fits 100 columns.
const textColumns = 40

// operator returns a client of the operator addresses.
func (c *cli) operator() (*oper.Client, error) {
	if len(c.OperatorHosts) == 0 {
		return nil, usageError("name the operator address of an entry host with --operator or CLEATCTL_OPERATORS")
	}
	return oper.New(c.OperatorHosts, oper.WithKeyFile(c.KeyFile)), nil
}

// changeFlags are those of every command that changes the configuration.
type changeFlags struct {
	Reason string `arg:"--reason,required" help:"why; it is kept in the log"`
	ID     string `arg:"--id" help:"id of the change, to repeat one whose outcome is unknown"`
}

// id returns the id of the change, a fresh one unless it was named.
func (f *changeFlags) id() string {
	if f.ID == "" {
		f.ID = rand.Text()
	}
	return f.ID
}

// timedFlags are those of a change that can slow clients down.
type timedFlags struct {
	Force bool `arg:"--force" help:"go ahead although a promised notice is broken, and record that"`
	changeFlags
}

// plannedFlags are those of a change that can be planned for later.
type plannedFlags struct {
	From time.Time `arg:"--from" help:"when the change takes effect, such as 2026-03-01T06:00:00Z; at once if left out"`
	timedFlags
}

// publish sends a change and says what became of it.
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
		verb := "in force"
		if v.From != nil && v.From.After(v.At) {
			verb = "planned from " + instant(*v.From)
		}
		if i.Remove {
			verb += ", removed"
		}
		forced := ""
		if v.Forced {
			forced = "; a promised notice is broken, which is recorded"
		}
		_, err = fmt.Fprintf(c.Out, "%s %s: accepted at version %d, %s%s\n", i.Kind, i.Name, v.Offset, verb, forced)
		if err != nil {
			return fmt.Errorf("print change: %w", err)
		}
	}
	return nil
}

func newItem(kind config.Kind, name string, version uint64, resource any) (oper.Item, error) {
	b, err := json.Marshal(resource)
	if err != nil {
		return oper.Item{}, fmt.Errorf("render %s %s: %w", kind, name, err)
	}
	return oper.Item{Kind: kind, Name: name, Version: version, Resource: b}, nil
}

// parseFiles reads a resource from each file.
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

func clip(s string) string {
	r := []rune(s)
	if len(r) <= textColumns {
		return s
	}
	return string(r[:textColumns-3]) + "..."
}

func number(n uint64) string {
	return strconv.FormatUint(n, 10)
}
