package clock

import (
	"context"
	"time"
)

// Clock holds the functions through which a process reads time and waits.
type Clock struct {
	// Now returns the current time with a monotonic reading.
	Now func() time.Time
	// After returns a channel that receives once d has passed.
	After func(d time.Duration) <-chan time.Time
	// Suspended returns for how long the machine has been suspended so far, which monotonic readings do not count; nil
	// means never.
	Suspended func() time.Duration
}

// System returns the clock of the operating system.
func System() Clock {
	return Clock{Now: time.Now, After: after, Suspended: suspended}
}

// after arms no timer for a time that has come: a select that finds such a timer due crashes Go 1.26 inside a bubble of
// testing/synctest under the race detector.
func after(d time.Duration) <-chan time.Time {
	if d > 0 {
		return time.After(d)
	}
	c := make(chan time.Time, 1)
	c <- time.Now()
	return c
}

// Since returns the time that has passed since t.
func (c Clock) Since(t time.Time) time.Duration {
	return c.Now().Sub(t)
}

// Sleep waits for d, or returns the error of ctx when that ends first.
func (c Clock) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-c.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Deadline returns the operating system's time d from now, for the deadlines of sockets.
func Deadline(d time.Duration) time.Time {
	return time.Now().Add(d)
}
