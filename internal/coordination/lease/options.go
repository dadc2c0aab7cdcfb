package lease

import (
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/uber-go/tally/v4"
)

const (
	// defaultBudget leaves the rest of the 5 KB each second to heartbeats and digests.
	defaultBudget   = 2000
	defaultSize     = 400
	defaultDuration = 10 * time.Second
)

// Option sets one part of new Leases.
type Option func(*Leases)

// WithSelf names the host.
func WithSelf(host string) Option {
	return func(l *Leases) { l.host = host }
}

// WithHosts sets how the usable hosts of the failure domain, this one among them, are found.
func WithHosts(f func() []string) Option {
	return func(l *Leases) { l.hosts = f }
}

// WithWorkers sets how workers are reached and which the failure domain has.
func WithWorkers(p port.Workers, find func() []fleet.Worker) Option {
	return func(l *Leases) {
		l.workers = p
		l.find = find
	}
}

// WithTerm sets the owner's term to renew in, and whether that owner is known to live.
func WithTerm(f func() (fleet.Term, bool)) Option {
	return func(l *Leases) { l.term = f }
}

// WithClock sets the clock.
func WithClock(c clock.Clock) Option {
	return func(l *Leases) { l.clock = c }
}

// WithRing sets the time line that hears of changes.
func WithRing(r *events.Ring) Option {
	return func(l *Leases) { l.ring = r }
}

// WithScope sets where counters go.
func WithScope(t tally.Scope) Option {
	return func(l *Leases) { l.scope = t }
}

// WithDuration sets the least duration of a lease, which grows to three intervals when those are longer.
func WithDuration(d time.Duration) Option {
	return func(l *Leases) { l.least = d }
}

// WithBudget sets the bytes that renewals may take each second, and the size of one with its report.
func WithBudget(bytes int, size func(fleet.Report) int) Option {
	return func(l *Leases) {
		l.budget = bytes
		l.size = size
	}
}

// WithReport sets a function that hears each report of a worker, one at a time for a worker.
func WithReport(f func(fleet.Report)) Option {
	return func(l *Leases) { l.onReport = f }
}

// WithChanged sets a function that hears of each worker whose tasks have changed since its last report to this host,
// or which is lost, so that a helper can tell the owner to ask it.
func WithChanged(f func(worker string)) Option {
	return func(l *Leases) { l.onChanged = f }
}

// WithLost sets a function that hears of a worker that does not answer, and why.
func WithLost(f func(worker string, reason error)) Option {
	return func(l *Leases) { l.onLost = f }
}

// WithFenced sets a function that hears of a higher term that a worker has seen.
func WithFenced(f func(fleet.Term)) Option {
	return func(l *Leases) { l.onFenced = f }
}
