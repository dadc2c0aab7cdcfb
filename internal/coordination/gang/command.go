package gang

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/pkg/errors"
)

// isDefinite reports whether a command that failed with err had no effect and will have none.
func isDefinite(err error) bool {
	return errors.Is(err, port.ErrFenced) ||
		errors.Is(err, port.ErrNoRoom) ||
		errors.Is(err, port.ErrNoTask) ||
		errors.Is(err, port.ErrUnsent) ||
		errors.Is(err, ErrLeaseLapsed)
}

// command runs f within d once there is a free slot and the owner's lease holds.
func (g *Gangs) command(ctx context.Context, d time.Duration, f func(context.Context) error) error {
	select {
	case g.slots <- struct{}{}:
		defer func() { <-g.slots }()
	case <-ctx.Done():
		return fmt.Errorf("wait for a free call: %w: %w", port.ErrUnsent, ctx.Err())
	}
	if err := g.check(); err != nil && !g.off.check {
		return fmt.Errorf("check lease: %w: %w", ErrLeaseLapsed, err)
	}
	c, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return f(c)
}

// each runs f for all parts in parallel and returns their errors in the order of the parts.
func each(ps []part, f func(part) error) []error {
	return eachIndex(ps, func(i int) error { return f(ps[i]) })
}

// eachIndex runs f for the indices of all parts in parallel and returns the errors in the same order.
func eachIndex(ps []part, f func(int) error) []error {
	errs := make([]error, len(ps))
	var wg sync.WaitGroup
	for i := range ps {
		wg.Go(func() { errs[i] = f(i) })
	}
	wg.Wait()
	return errs
}

// again runs f until it succeeds, fails for good, or has been tried often enough.
func (g *Gangs) again(ctx context.Context, f func() error) error {
	var err error
	for i := range g.bounds.Tries {
		if i > 0 && g.clock.Sleep(ctx, g.bounds.Pause) != nil {
			return err
		}
		err = f()
		if err == nil || isFinal(err) {
			return err
		}
	}
	return err
}

// repeat sends a command that may be repeated, until a worker answers it.
func (g *Gangs) repeat(ctx context.Context, f func(context.Context) error) error {
	return g.again(ctx, func() error { return g.command(ctx, g.bounds.Call, f) })
}

// isFinal reports whether trying again cannot help.
func isFinal(err error) bool {
	return isDefinite(err) && !errors.Is(err, port.ErrUnsent)
}
