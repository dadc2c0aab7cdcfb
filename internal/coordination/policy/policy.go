package policy

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

const (
	defaultFoldWait  = 5 * time.Second
	defaultRetention = 24 * time.Hour
	// maxEventAge is the age up to which a change is recorded in the time line when this host applies it, so that
	// replaying the log does not record old changes as new.
	maxEventAge = time.Minute
)

// Errors of a change; errors of packages stream, config and notice are returned wrapped.
var (
	// ErrLogTruncated is returned if the log has lost records, so that a new change could be lost too.
	ErrLogTruncated = errors.New("the log ends before records that it had; no change is accepted until it is restored")
	// ErrNotFolded is returned if the record is in the log but this host did not apply it in time to know the verdict.
	ErrNotFolded = errors.New("the change is in the log and its verdict is not known yet")
	// ErrIDReused is returned if another change has the same id.
	ErrIDReused = errors.New("another change has the same id")
)

// ErrNotFit is returned if the guarantees of all profiles together do not fit the workers.
type ErrNotFit struct {
	Why error
}

// Error includes the planner's reason.
func (e ErrNotFit) Error() string {
	return fmt.Sprintf("guarantees do not fit the workers: %v", e.Why)
}

// Unwrap returns the planner's reason.
func (e ErrNotFit) Unwrap() error {
	return e.Why
}

// ErrConflict is returned if another change to the same resource came first.
type ErrConflict struct {
	Conflict config.ErrVersionConflict
	// Differences lead from the resource in force to the requested one.
	Differences []config.Difference
}

// Error describes the version conflict.
func (e ErrConflict) Error() string {
	return e.Conflict.Error()
}

// Unwrap returns the version conflict.
func (e ErrConflict) Unwrap() error {
	return e.Conflict
}

// Policy publishes operators' changes to the log and holds the configuration in force on this host.
type Policy struct {
	state *config.State
	// append appends a record and returns once it was read back from the log.
	append func(context.Context, *wire.Record) (uint64, error)
	// isUnsent reports whether an error of append means that the record is not in the log and never will be.
	isUnsent        func(error) bool
	checkGuarantees func([]fleet.Worker, []config.Profile) error
	workers         func() []fleet.Worker
	members         func() []Member
	checkNotice     func(now time.Time, before, after config.Config, from time.Time) error
	forecast        func() ([]byte, error)
	rank            func() int
	changed         func()
	clock           clock.Clock
	events          *events.Ring
	scope           tally.Scope

	foldWait  time.Duration
	retention time.Duration
	inForce   hostTracker
	// earliestSnapshot is the earliest time of the next attempt after a failed snapshot; only Run uses it.
	earliestSnapshot time.Time
}

// Option configures a Policy.
type Option func(*Policy)

// WithAppend sets the function that appends a record to the log, and the one that reports whether an error of it means
// that the record never will be in the log.
func WithAppend(f func(context.Context, *wire.Record) (uint64, error), isUnsent func(error) bool) Option {
	return func(p *Policy) {
		p.append = f
		p.isUnsent = isUnsent
	}
}

// WithGuaranteeCheck sets the check that the guarantees of profiles together fit a set of workers, and the list of
// workers.
func WithGuaranteeCheck(check func([]fleet.Worker, []config.Profile) error, workers func() []fleet.Worker) Option {
	return func(p *Policy) {
		p.checkGuarantees = check
		p.workers = workers
	}
}

// WithMembers sets the function that lists all live hosts with the configuration that each has in force.
func WithMembers(f func() []Member) Option {
	return func(p *Policy) { p.members = f }
}

// WithNoticeCheck sets the check that a change slows down no profile without its promised notice. It returns
// notice.ErrTooSoon if the change does.
func WithNoticeCheck(f func(now time.Time, before, after config.Config, from time.Time) error) Option {
	return func(p *Policy) { p.checkNotice = f }
}

// WithForecast sets the function that encodes the learned load for a snapshot in the log.
func WithForecast(f func() ([]byte, error)) Option {
	return func(p *Policy) { p.forecast = f }
}

// WithRank sets the function that returns the rank of this host among the live ones, from 0. The higher the rank, the
// later the host writes a record that is due.
func WithRank(f func() int) Option {
	return func(p *Policy) { p.rank = f }
}

// WithChanged sets a function that is called after each change of the configuration in force, which it can read from
// Config.
func WithChanged(f func()) Option {
	return func(p *Policy) { p.changed = f }
}

// WithClock sets the clock.
func WithClock(c clock.Clock) Option {
	return func(p *Policy) { p.clock = c }
}

// WithEvents sets the time line that events are recorded in.
func WithEvents(r *events.Ring) Option {
	return func(p *Policy) { p.events = r }
}

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option {
	return func(p *Policy) { p.scope = s }
}

// WithFoldWait limits how long a change waits for records that this host has not applied yet.
func WithFoldWait(d time.Duration) Option {
	return func(p *Policy) { p.foldWait = d }
}

// WithRetention sets the minimum time that the log keeps records; snapshotsPerRetention snapshots are written in that
// time.
func WithRetention(d time.Duration) Option {
	return func(p *Policy) { p.retention = d }
}

// New returns a Policy without a configuration.
func New(opts ...Option) *Policy {
	p := &Policy{
		checkGuarantees: func([]fleet.Worker, []config.Profile) error { return nil },
		workers:         func() []fleet.Worker { return nil },
		members:         func() []Member { return nil },
		checkNotice:     func(time.Time, config.Config, config.Config, time.Time) error { return nil },
		forecast:        func() ([]byte, error) { return nil, nil },
		rank:            func() int { return 0 },
		changed:         func() {},
		isUnsent:        func(error) bool { return false },
		clock:           clock.System(),
		events:          events.NewRing("", 1, events.NewClock(clock.System().Now)),
		scope:           tally.NoopScope,
		foldWait:        defaultFoldWait,
		retention:       defaultRetention,
	}
	for _, o := range opts {
		o(p)
	}
	p.state = config.New(
		config.WithAlarmFunc(p.reportAlarm),
		config.WithVerdictFunc(p.recordChange),
		config.WithChangeFunc(func() { p.changed() }),
	)
	return p
}

// State returns the state that records and snapshots of the stream are applied to.
func (p *Policy) State() *config.State {
	return p.state
}

// Config returns the configuration in force.
func (p *Policy) Config() config.Config {
	return p.state.Config()
}

// Fold applies one record of the log.
func (p *Policy) Fold(offset uint64, at time.Time, r *wire.Record) {
	p.state.Fold(offset, at, r)
}

// reportAlarm counts an alarm of the state and records it in the time line.
func (p *Policy) reportAlarm(a config.Alarm) {
	p.scope.Tagged(map[string]string{"cause": string(a.Cause)}).Counter("config_alarms").Inc(1)
	p.events.Add(events.Event{Kind: events.ConfigAlarm, Text: fmt.Sprintf("%s at offset %d: %s", a.Cause, a.Offset, a.Text)})
}

// recordChange updates the metrics for a change that was applied or refused in log order. An accepted change that is
// not older than maxEventAge is also recorded in the time line.
func (p *Policy) recordChange(c config.Change) {
	age := p.clock.Since(c.At)
	if c.Conflict != nil {
		p.scope.Counter("config_conflicts").Inc(1)
	}
	if age > maxEventAge || !c.IsAccepted() {
		return
	}
	p.scope.Timer("config_in_force").Record(age)
	p.events.Add(events.Event{
		Kind: events.ConfigInForce,
		Text: fmt.Sprintf("offset %d by %s: %s", c.Offset, c.Operator, c.Reason),
	})
	for _, i := range c.Items {
		if i.Kind == config.KindStop && !i.Remove {
			p.events.Add(events.Event{Kind: events.StopAnnounced, Text: fmt.Sprintf("%s by %s: %s", i.Name, c.Operator, c.Reason)})
		}
	}
	if c.Forced {
		p.scope.Counter("promises_broken").Inc(1)
		p.events.Add(events.Event{
			Kind: events.PromiseBroken,
			Text: fmt.Sprintf("offset %d forced by %s: %s", c.Offset, c.Operator, c.Reason),
		})
	}
}
