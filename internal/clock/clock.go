package clock

import (
	"context"
	"time"
)

// Clock holds the functions that a process uses to read the time and to wait.
type Clock struct {
	// Now returns the current time with a monotonic reading.
	Now func() time.Time
	// After returns a channel that receives the time after d.
	After func(d time.Duration) <-chan time.Time
	// Suspended returns the total time that the machine has been suspended, which monotonic readings do not include. Nil
	// means that the machine is never suspended.
	Suspended func() time.Duration
}

// System returns the system clock.
func System() Clock {
	return Clock{Now: time.Now, After: after, Suspended: suspended}
}

// after starts no timer if d is not positive: a select on such a timer that is already due crashes Go 1.26 inside a
// testing/synctest bubble under the race detector.
func after(d time.Duration) <-chan time.Time {
	if d > 0 {
		return time.After(d)
	}
	c := make(chan time.Time, 1)
	c <- time.Now()
	return c
}

// Since returns the time since t. Age also includes suspensions of the machine.
func (c Clock) Since(t time.Time) time.Duration {
	return c.Now().Sub(t)
}

// Sleep waits for d, or until ctx ends and returns its error.
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

// Deadline returns the system time d from now, for socket deadlines.
func Deadline(d time.Duration) time.Time {
	return time.Now().Add(d)
}
