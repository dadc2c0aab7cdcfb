package notice

import (
	"fmt"
	"time"
)

// ErrTooSoon is returned for a change that would slow down a profile before its promised notice has elapsed.
type ErrTooSoon struct {
	// What names the stop or the change that causes the slowdown.
	What    string
	Profile string
	Domain  string
	// Promise is the minimum time between notice and slowdown that the profile promises.
	Promise time.Duration
	From    time.Time
	// Earliest is the first time at which the change would not violate any promised notice.
	Earliest time.Time
	Why      string
}

// Error describes the violated promise and the earliest permitted time.
func (e ErrTooSoon) Error() string {
	return fmt.Sprintf(
		"%s from %s would slow down profile %s in %s (%s), which promises %s of notice; the earliest time is %s",
		e.What, e.From.UTC().Format(time.RFC3339), e.Profile, e.Domain, e.Why, e.Promise,
		e.Earliest.UTC().Format(time.RFC3339),
	)
}
