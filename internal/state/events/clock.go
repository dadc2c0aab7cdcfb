package events

import (
	"sync"
	"time"
)

// Stamp is a hybrid logical time: milliseconds since 1970 in the upper 48 bits and a counter in the lower 16.
type Stamp uint64

const counterBits = 16

// Time returns the wall clock part of the stamp.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits))
}

// Clock is a hybrid logical clock; its stamps never go back.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock that follows now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a stamp later than all before it.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := Stamp(uint64(c.now().UnixMilli()) << counterBits)
	c.last = max(c.last+1, w)
	return c.last
}

// Observe moves the clock past a stamp that another process sent.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}
