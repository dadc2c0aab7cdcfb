package events

import "sync"

// Ring keeps the newest events of one process.
type Ring struct {
	host    string
	clock   *Clock
	mu      sync.Mutex
	events  []Event
	next    int
	dropped uint64
}

// NewRing returns a ring of the given size whose events carry the host's name.
func NewRing(host string, size int, c *Clock) *Ring {
	return &Ring{host: host, clock: c, events: make([]Event, 0, size)}
}

// Add stamps e and keeps it in place of the oldest event.
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

// Find returns the events that f selects, oldest first, and how many were dropped before them.
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

// Filter selects events; empty fields select all.
type Filter struct {
	Job          string
	Worker       string
	Organisation string
	Profile      string
	Limit        int
}

// IsMatch reports whether the filter selects e.
func (f Filter) IsMatch(e Event) bool {
	return isEither(f.Job, e.Job) &&
		isEither(f.Worker, e.Worker) &&
		isEither(f.Organisation, e.Organisation) &&
		isEither(f.Profile, e.Profile)
}

func isEither(want, got string) bool {
	return want == "" || want == got
}
