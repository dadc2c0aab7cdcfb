package clock

import "time"

// Limiter lets one event pass in an interval, such as one log line of many alike. It is not safe for concurrent use.
type Limiter struct {
	clock    Clock
	interval time.Duration
	passed   time.Time
}

// NewLimiter returns a limiter that lets the first event pass.
func NewLimiter(c Clock, interval time.Duration) *Limiter {
	return &Limiter{clock: c, interval: interval}
}

// Pass reports whether the event passes.
func (l *Limiter) Pass() bool {
	now := l.clock.Now()
	if !l.passed.IsZero() && now.Sub(l.passed) < l.interval {
		return false
	}
	l.passed = now
	return true
}
