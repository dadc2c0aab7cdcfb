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
	// defaultLease is shorter than the silence after which peers take over.
	defaultLease        = 800 * time.Millisecond
	defaultSuspectAfter = 900 * time.Millisecond
	defaultClaimWait    = 400 * time.Millisecond
	defaultRankStep     = 800 * time.Millisecond
	defaultRefresh      = time.Hour
)

// Option sets one part of a new Owner.
type Option func(*Owner)

// WithSelf names the host and its failure domain.
func WithSelf(host, domain string) Option {
	return func(o *Owner) {
		o.host = host
		o.domain = domain
	}
}

// WithMembers sets how this host and the other live hosts of the failure domain are found.
func WithMembers(self func() member.Member, peers func() []member.Member) Option {
	return func(o *Owner) {
		o.self = self
		o.peers = peers
	}
}

// WithLog sets how claims are written: and waited for, in the background, and whether the log answers.
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

// WithRing sets the time line that hears of changes.
func WithRing(r *events.Ring) Option {
	return func(o *Owner) { o.ring = r }
}

// WithScope sets where counters go.
func WithScope(t tally.Scope) Option {
	return func(o *Owner) { o.scope = t }
}

// WithGain sets a function that runs while this host is the owner; its context ends when that is over.
func WithGain(f func(context.Context, fleet.Term)) Option {
	return func(o *Owner) { o.onGain = f }
}

// WithLose sets a function that hears that this host is no longer the owner in a term.
func WithLose(f func(fleet.Term)) Option {
	return func(o *Owner) { o.onLose = f }
}

// WithAnnounce sets a function that tells all peers at once that this host has become the owner.
func WithAnnounce(f func(context.Context)) Option {
	return func(o *Owner) { o.announce = f }
}

// WithTimes sets the owner's lease, the silence after which it is replaced, which must be longer, how long a claim
// waits for the log, and by how much later each next host in rank claims.
func WithTimes(lease, suspect, claim, rank time.Duration) Option {
	return func(o *Owner) {
		o.lease = lease
		o.suspectAfter = suspect
		o.claimWait = claim
		o.rankStep = rank
	}
}

// WithRefresh sets how often the owner writes its claim again, which must be often enough for the log's retention.
func WithRefresh(d time.Duration) Option {
	return func(o *Owner) { o.refresh = d }
}
