package clock

import "time"

// Mark is a moment from which the age of a permission is counted, also while the machine is suspended; its zero value is
// no moment.
type Mark struct {
	at        time.Time
	suspended time.Duration
}

// Mark returns the present moment.
func (c Clock) Mark() Mark {
	return Mark{at: c.Now(), suspended: c.suspendedSoFar()}
}

// Age returns the time that has passed since m, with that during which the machine was suspended.
func (c Clock) Age(m Mark) time.Duration {
	return c.Since(m.at) + c.suspendedSoFar() - m.suspended
}

// IsZero reports whether m is no moment.
func (m Mark) IsZero() bool {
	return m.at.IsZero()
}

func (c Clock) suspendedSoFar() time.Duration {
	if c.Suspended == nil {
		return 0
	}
	return c.Suspended()
}
