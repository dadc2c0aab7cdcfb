package owner

import (
	"context"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/member"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/uber-go/tally/v4"
)

const (
	// defaultLease must be shorter than defaultSuspectAfter, after which peers take over.
	defaultLease        = 800 * time.Millisecond
	defaultSuspectAfter = 900 * time.Millisecond
	defaultClaimWait    = 400 * time.Millisecond
	defaultRankDelay    = 800 * time.Millisecond
	defaultRefresh      = time.Hour
)

// Option configures an Owner.
type Option func(*Owner)

// WithSelf sets the names of the host and its failure domain.
func WithSelf(host, domain string) Option {
	return func(o *Owner) {
		o.host = host
		o.domain = domain
	}
}

// WithMembers sets the functions that return this host and the other live hosts of the failure domain.
func WithMembers(self func() member.Member, peers func() []member.Member) Option {
	return func(o *Owner) {
		o.self = self
		o.peers = peers
	}
}

// WithLog sets the functions that append a claim to the log and wait for the result, that append a claim in the
// background, and that report whether the log is available.
func WithLog(
	appendRecord func(context.Context, *wire.Record) (uint64, error),
	queue func(*wire.Record) error,
	isUp func() bool,
) Option {
	return func(o *Owner) {
		o.appendRecord = appendRecord
		o.queueRecord = queue
		o.isLogUp = isUp
	}
}

// WithClock sets the clock.
func WithClock(c clock.Clock) Option {
	return func(o *Owner) { o.clock = c }
}

// WithRing sets the ring that events are added to.
func WithRing(r *events.Ring) Option {
	return func(o *Owner) { o.ring = r }
}

// WithScope sets the scope of the metrics.
func WithScope(t tally.Scope) Option {
	return func(o *Owner) { o.scope = t }
}

// WithOnStartTerm sets a function that runs for each term in which this host is the owner; its context ends with the term.
func WithOnStartTerm(f func(context.Context, fleet.Term)) Option {
	return func(o *Owner) { o.onStartTerm = f }
}

// WithOnEndTerm sets a function that is called when a term of this host has ended.
func WithOnEndTerm(f func(fleet.Term)) Option {
	return func(o *Owner) { o.onEndTerm = f }
}

// WithAnnounce sets a function that notifies all peers immediately that this host has become the owner.
func WithAnnounce(f func(context.Context)) Option {
	return func(o *Owner) { o.announce = f }
}

// WithTiming sets the duration of the owner's lease, the time without heartbeats after which the owner is replaced (which
// must be longer than the lease), how long a claim waits for the log, and the additional delay before a claim for each
// place in rank.
func WithTiming(lease, suspect, claim, rank time.Duration) Option {
	return func(o *Owner) {
		o.lease = lease
		o.suspectAfter = suspect
		o.claimWait = claim
		o.rankDelay = rank
	}
}

// WithRefreshInterval sets how often the owner rewrites its claim; the interval must be shorter than the retention of
// the log.
func WithRefreshInterval(d time.Duration) Option {
	return func(o *Owner) { o.refreshInterval = d }
}
