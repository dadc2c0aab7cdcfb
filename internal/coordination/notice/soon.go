package notice

import (
	"fmt"
	"time"
)

// ErrTooSoon says that a change would slow a profile down before its clients could be told in time.
type ErrTooSoon struct {
	// What is the stop or the change.
	What    string
	Profile string
	Domain  string
	// Promise is the notice that the profile promises.
	Promise time.Duration
	From    time.Time
	// Earliest is the first time at which the change would keep all promises.
	Earliest time.Time
	Why      string
}

// Error says what the change would do, and when it would be in time.
func (e ErrTooSoon) Error() string {
	return fmt.Sprintf(
		"%s from %s would slow profile %s in %s down (%s), which promises %s of notice; the earliest time is %s",
		e.What, e.From.UTC().Format(time.RFC3339), e.Profile, e.Domain, e.Why, e.Promise,
		e.Earliest.UTC().Format(time.RFC3339),
	)
}
