package clock

import "time"

// Instant is a point in time for measuring an age that includes suspensions of the machine, such as the age of a lease or
// of a configuration. The zero value is not a point in time.
type Instant struct {
	at        time.Time
	suspended time.Duration
}

// Instant returns the current point in time.
func (c Clock) Instant() Instant {
	return Instant{at: c.Now(), suspended: c.suspendedSoFar()}
}

// Age returns the time since i, including suspensions of the machine.
func (c Clock) Age(i Instant) time.Duration {
	return c.Since(i.at) + c.suspendedSoFar() - i.suspended
}

// IsZero reports whether i is the zero value.
func (i Instant) IsZero() bool {
	return i.at.IsZero()
}

func (c Clock) suspendedSoFar() time.Duration {
	if c.Suspended == nil {
		return 0
	}
	return c.Suspended()
}
