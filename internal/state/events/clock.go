package events

import (
	"sync"
	"time"
)

// Stamp is a hybrid logical timestamp: Unix milliseconds in the upper 48 bits and a counter in the lower 16.
type Stamp uint64

const counterBits = 16

// Time returns the wall-clock part of the stamp.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits))
}

// Clock is a hybrid logical clock, whose stamps are strictly increasing even when the wall clock steps back.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock that reads the wall clock from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a stamp later than every stamp that the clock has returned or observed.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := Stamp(uint64(c.now().UnixMilli()) << counterBits)
	c.last = max(c.last+1, wall)
	return c.last
}

// Observe advances the clock to a stamp received from another process, so that later stamps follow it.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}
