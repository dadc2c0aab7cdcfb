package events

import "sync"

// Ring is a ring buffer of the newest events of one process; it is safe for concurrent use.
type Ring struct {
	host   string
	clock  *Clock
	mu     sync.Mutex
	events []Event
	// next is the index of the oldest event once the ring is full; Add overwrites it.
	next int
	// dropped counts the events that were overwritten.
	dropped uint64
}

// NewRing returns a ring for size events, each of which gets the host's name.
func NewRing(host string, size int, c *Clock) *Ring {
	return &Ring{host: host, clock: c, events: make([]Event, 0, size)}
}

// Add stamps and stores e, overwriting the oldest event when the ring is full.
func (r *Ring) Add(e Event) {
	e.Host = r.host
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.clock.Next()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	r.dropped++
}

// Find returns the events that match f, oldest first, and the number of events overwritten so far.
func (r *Ring) Find(f Filter) ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var es []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if f.IsMatch(e) {
			es = append(es, e)
		}
	}
	if f.Limit > 0 && len(es) > f.Limit {
		es = es[len(es)-f.Limit:]
	}
	return es, r.dropped
}

// Filter selects events; an empty field matches all.
type Filter struct {
	Job          string
	Worker       string
	Organisation string
	Profile      string
	Limit        int
}

// IsMatch reports whether e matches the filter.
func (f Filter) IsMatch(e Event) bool {
	return isEmptyOrEqual(f.Job, e.Job) &&
		isEmptyOrEqual(f.Worker, e.Worker) &&
		isEmptyOrEqual(f.Organisation, e.Organisation) &&
		isEmptyOrEqual(f.Profile, e.Profile)
}

func isEmptyOrEqual(want, got string) bool {
	return want == "" || want == got
}
