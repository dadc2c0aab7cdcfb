package gang

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/pkg/errors"
)

// hadNoEffect reports whether a command that failed with err is certain not to have taken effect, now or later.
func hadNoEffect(err error) bool {
	return errors.Is(err, port.ErrFenced) ||
		errors.Is(err, port.ErrNoRoom) ||
		errors.Is(err, port.ErrNoTask) ||
		errors.Is(err, port.ErrUnsent) ||
		errors.Is(err, ErrLeaseNotHeld)
}

// command calls f with timeout d. It waits for a free call slot first, and sends nothing unless the owner holds its lease.
func (g *Gangs) command(ctx context.Context, d time.Duration, f func(context.Context) error) error {
	select {
	case g.callSlots <- struct{}{}:
		defer func() { <-g.callSlots }()
	case <-ctx.Done():
		return fmt.Errorf("wait for a free call slot: %w: %w", port.ErrUnsent, ctx.Err())
	}
	if err := g.check(); err != nil && !g.disabled.check {
		return fmt.Errorf("check owner lease: %w: %w", ErrLeaseNotHeld, err)
	}
	c, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return f(c)
}

// forEachPart calls f for all parts concurrently and returns the errors in the order of the parts.
func forEachPart(ps []part, f func(part) error) []error {
	return forEachIndex(ps, func(i int) error { return f(ps[i]) })
}

// forEachIndex calls f with the index of each part concurrently and returns the errors in the order of the parts.
func forEachIndex(ps []part, f func(int) error) []error {
	errs := make([]error, len(ps))
	var wg sync.WaitGroup
	for i := range ps {
		wg.Go(func() { errs[i] = f(i) })
	}
	wg.Wait()
	return errs
}

// retry calls f until it succeeds, fails with a permanent error, or has been called Bounds.MaxTries times.
func (g *Gangs) retry(ctx context.Context, f func() error) error {
	var err error
	for i := range g.bounds.MaxTries {
		if i > 0 && g.clock.Sleep(ctx, g.bounds.RetryDelay) != nil {
			return err
		}
		err = f()
		if err == nil || isPermanent(err) {
			return err
		}
	}
	return err
}

// commandWithRetry sends an idempotent command and retries it while the worker does not respond.
func (g *Gangs) commandWithRetry(ctx context.Context, f func(context.Context) error) error {
	return g.retry(ctx, func() error { return g.command(ctx, g.bounds.CallTimeout, f) })
}

// isPermanent reports whether a retry cannot succeed.
func isPermanent(err error) bool {
	return hadNoEffect(err) && !errors.Is(err, port.ErrUnsent)
}
