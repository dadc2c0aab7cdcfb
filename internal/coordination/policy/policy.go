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
	// newsAge is how old a change may be to stand in the time line as news.
	newsAge = time.Minute
)

// Errors of a change; those of package stream, config and notice are passed on wrapped.
var (
	// ErrLogShort says that the log has lost records, so that a change could be lost too.
	ErrLogShort = errors.New("the log ends before records that it had; no change is accepted until it is restored")
	// ErrNotFolded says that the record is in the log, and that its verdict was not known in time.
	ErrNotFolded = errors.New("the change is in the log and its verdict is not known yet")
	// ErrIDReused says that another change has the same id.
	ErrIDReused = errors.New("another change has the same id")
)

// ErrNotFit says that the guarantees of all profiles together do not fit the workers.
type ErrNotFit struct {
	Why error
}

// Error gives the planner's reason.
func (e ErrNotFit) Error() string {
	return fmt.Sprintf("guarantees do not fit the workers: %v", e.Why)
}

// Unwrap returns the planner's reason.
func (e ErrNotFit) Unwrap() error {
	return e.Why
}

// ErrConflict says that another change has won, and how what is in force differs from what was asked.
type ErrConflict struct {
	Conflict config.ErrVersionConflict
	// Differences go from what is in force to what was asked.
	Differences []config.Difference
}

// Error says which version was named and which holds.
func (e ErrConflict) Error() string {
	return e.Conflict.Error()
}

// Unwrap returns the conflict as the log order settled it.
func (e ErrConflict) Unwrap() error {
	return e.Conflict
}

// Policy publishes operators' changes and holds the configuration in force.
type Policy struct {
	state *config.State
	// append returns once the record was read back from the log.
	append func(context.Context, *wire.Record) (uint64, error)
	// isUnsent reports whether an error of append means that the record never will be in the log.
	isUnsent func(error) bool
	fits     func([]fleet.Worker, []config.Profile) error
	workers  func() []fleet.Worker
	members  func() []Member
	foresee  func(now time.Time, before, after config.Config, from time.Time) error
	forecast func() ([]byte, error)
	rank     func() int
	changed  func()
	clock    clock.Clock
	events   *events.Ring
	scope    tally.Scope

	foldWait  time.Duration
	retention time.Duration
	inForce   inForce
	// rewriteAfter is the earliest time of the next snapshot; only Run uses it.
	rewriteAfter time.Time
}

// Option configures a Policy.
type Option func(*Policy)

// WithAppend sets how a record gets into the log, and which of its errors mean that it never will be there.
func WithAppend(f func(context.Context, *wire.Record) (uint64, error), isUnsent func(error) bool) Option {
	return func(p *Policy) {
		p.append = f
		p.isUnsent = isUnsent
	}
}

// WithFits sets the check that all guarantees together fit the workers.
func WithFits(fits func([]fleet.Worker, []config.Profile) error, workers func() []fleet.Worker) Option {
	return func(p *Policy) {
		p.fits = fits
		p.workers = workers
	}
}

// WithMembers sets the list of all live hosts with the configuration that they have in force.
func WithMembers(f func() []Member) Option {
	return func(p *Policy) { p.members = f }
}

// WithForesee sets the check that a change slows no client down without notice; it returns notice.ErrTooSoon.
func WithForesee(f func(now time.Time, before, after config.Config, from time.Time) error) Option {
	return func(p *Policy) { p.foresee = f }
}

// WithForecast sets what a snapshot in the log carries of the learned load.
func WithForecast(f func() ([]byte, error)) Option {
	return func(p *Policy) { p.forecast = f }
}

// WithRank sets the place of this host among the live ones, from 0, so that hosts take turns at writing.
func WithRank(f func() int) Option {
	return func(p *Policy) { p.rank = f }
}

// WithChanged sets a function that is called after each change; it reads the new configuration from Config.
func WithChanged(f func()) Option {
	return func(p *Policy) { p.changed = f }
}

// WithClock sets the clock.
func WithClock(c clock.Clock) Option {
	return func(p *Policy) { p.clock = c }
}

// WithEvents sets the time line.
func WithEvents(r *events.Ring) Option {
	return func(p *Policy) { p.events = r }
}

// WithScope sets where metrics go.
func WithScope(s tally.Scope) Option {
	return func(p *Policy) { p.scope = s }
}

// WithFoldWait bounds how long a change waits for records that this host has not read yet.
func WithFoldWait(d time.Duration) Option {
	return func(p *Policy) { p.foldWait = d }
}

// WithRetention sets how long the log keeps records at least; a snapshot is rewritten four times in that time.
func WithRetention(d time.Duration) Option {
	return func(p *Policy) { p.retention = d }
}

// New returns a policy that knows no configuration yet.
func New(opts ...Option) *Policy {
	p := &Policy{
		fits:      func([]fleet.Worker, []config.Profile) error { return nil },
		workers:   func() []fleet.Worker { return nil },
		members:   func() []Member { return nil },
		foresee:   func(time.Time, config.Config, config.Config, time.Time) error { return nil },
		forecast:  func() ([]byte, error) { return nil, nil },
		rank:      func() int { return 0 },
		changed:   func() {},
		isUnsent:  func(error) bool { return false },
		clock:     clock.System(),
		events:    events.NewRing("", 1, events.NewClock(clock.System().Now)),
		scope:     tally.NoopScope,
		foldWait:  defaultFoldWait,
		retention: defaultRetention,
	}
	for _, o := range opts {
		o(p)
	}
	p.state = config.New(
		config.WithAlarmFunc(p.raise),
		config.WithVerdictFunc(p.settle),
		config.WithChangeFunc(func() { p.changed() }),
	)
	return p
}

// State returns the fold, for the stream that delivers records and snapshots.
func (p *Policy) State() *config.State {
	return p.state
}

// Config returns the configuration in force.
func (p *Policy) Config() config.Config {
	return p.state.Config()
}

// Fold takes in one record of the log.
func (p *Policy) Fold(offset uint64, at time.Time, r *wire.Record) {
	p.state.Fold(offset, at, r)
}

func (p *Policy) raise(a config.Alarm) {
	p.scope.Tagged(map[string]string{"cause": string(a.Cause)}).Counter("config_alarms").Inc(1)
	p.events.Add(events.Event{Kind: events.ConfigAlarm, Text: fmt.Sprintf("%s at offset %d: %s", a.Cause, a.Offset, a.Text)})
}

// settle counts a change that was folded in, and notes it in the time line unless it is old.
func (p *Policy) settle(c config.Change) {
	age := p.clock.Since(c.At)
	if c.Conflict != nil {
		p.scope.Counter("config_conflicts").Inc(1)
	}
	if age > newsAge || !c.IsAccepted() {
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
