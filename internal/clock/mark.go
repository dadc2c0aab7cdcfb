package clock

import "time"

// Mark is a point in time for measuring an age that includes suspensions of the machine, such as the age of a lease or of a
// configuration. The zero value is not a point in time.
type Mark struct {
	at        time.Time
	suspended time.Duration
}

// Mark returns the current point in time.
func (c Clock) Mark() Mark {
	return Mark{at: c.Now(), suspended: c.suspendedSoFar()}
}

// Age returns the time since m, including suspensions of the machine.
func (c Clock) Age(m Mark) time.Duration {
	return c.Since(m.at) + c.suspendedSoFar() - m.suspended
}

// IsZero reports whether m is the zero value.
func (m Mark) IsZero() bool {
	return m.at.IsZero()
}

func (c Clock) suspendedSoFar() time.Duration {
	if c.Suspended == nil {
		return 0
	}
	return c.Suspended()
}
