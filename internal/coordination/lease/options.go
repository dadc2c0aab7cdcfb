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
	// defaultBudget is in bytes per second. The rest of the 5 KB/s for control traffic is left to heartbeats and digests.
	defaultBudget     = 2000
	defaultReportSize = 400
	defaultDuration   = 10 * time.Second
)

// Option configures Leases.
type Option func(*Leases)

// WithSelf sets the name of this host.
func WithSelf(host string) Option {
	return func(l *Leases) { l.host = host }
}

// WithHosts sets the function that returns the usable hosts of the failure domain, including this one.
func WithHosts(f func() []string) Option {
	return func(l *Leases) { l.hosts = f }
}

// WithWorkers sets the functions that call workers, and the one that returns the workers of the failure domain.
func WithWorkers(p port.Workers, find func() []fleet.Worker) Option {
	return func(l *Leases) {
		l.workers = p
		l.findWorkers = find
	}
}

// WithTerm sets the function that returns the owner's term and whether the owner is known to be alive.
func WithTerm(f func() (fleet.Term, bool)) Option {
	return func(l *Leases) { l.term = f }
}

// WithClock sets the clock; the default is the system clock.
func WithClock(c clock.Clock) Option {
	return func(l *Leases) { l.clock = c }
}

// WithRing sets the event ring that lost and recovered workers are recorded in.
func WithRing(r *events.Ring) Option {
	return func(l *Leases) { l.ring = r }
}

// WithScope sets the metrics scope.
func WithScope(t tally.Scope) Option {
	return func(l *Leases) { l.scope = t }
}

// WithDuration sets the minimum duration of a lease. The duration is three renewal intervals if that is longer.
func WithDuration(d time.Duration) Option {
	return func(l *Leases) { l.minDuration = d }
}

// WithBudget sets the bytes per second that renewals may use, and the function that returns the size of a renewal with its
// report.
func WithBudget(bytes int, size func(fleet.Report) int) Option {
	return func(l *Leases) {
		l.budget = bytes
		l.reportSize = size
	}
}

// WithReport sets a function that is called with each report of a worker. Calls for the same worker do not overlap.
func WithReport(f func(fleet.Report)) Option {
	return func(l *Leases) { l.onReport = f }
}

// WithChanged sets a function that is called for each worker whose tasks have changed since its last report to this host,
// and for a lost worker after each failed renewal and when it responds again. The host can then notify the owner, which
// inspects the worker.
func WithChanged(f func(worker string)) Option {
	return func(l *Leases) { l.onChanged = f }
}

// WithLost sets a function that is called with a worker that is considered lost, and the error of its last renewal.
func WithLost(f func(worker string, reason error)) Option {
	return func(l *Leases) { l.onLost = f }
}

// WithFenced sets a function that is called with the higher term when a worker rejects a renewal because of its term.
func WithFenced(f func(fleet.Term)) Option {
	return func(l *Leases) { l.onFenced = f }
}
