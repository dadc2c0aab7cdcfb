package notice

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/protocol/wire"
	"github.com/auburncleat/auburncleat/internal/state/config"
	"github.com/auburncleat/auburncleat/internal/state/events"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/uber-go/tally/v4"
)

const (
	passInterval = time.Minute
	// forecastLead is how long before the call to the clients is due a forecast shortage is announced.
	forecastLead = 3 * time.Hour
	// matchTolerance is how far outside the period of a notice a slowdown still counts as announced by it.
	matchTolerance = time.Hour
	// maxHorizon limits how far ahead slowdowns are predicted.
	maxHorizon = 60 * 24 * time.Hour
	// recoveryTime is how long after a stop or change its effects are projected, as the backlog drains.
	recoveryTime = 24 * time.Hour
	// defaultSpread is the number of mean deviations that the forecast adds to the mean load.
	defaultSpread = 0.25
	appendTimeout = 10 * time.Second
	// maxForecastBytes limits the size of the learned load in a snapshot in the log.
	maxForecastBytes = 128 << 10
)

// Notices predicts slowdowns of the failure domains that this host owns, and issues notices through the log.
type Notices struct {
	// wake signals Run that the configuration has changed.
	wake            chan struct{}
	config          func() config.Config
	workers         func() []fleet.Worker
	checkGuarantees func([]fleet.Worker, []config.Profile) error
	append          func(context.Context, *wire.Record) (uint64, error)
	ownsDomain      func(domain string) bool
	runTime         func(org, profile string, declared time.Duration) time.Duration
	countTasks      func(context.Context, config.Stop) (int, error)
	backlog         func(domain string) map[string]float64
	clock           clock.Clock
	events          *events.Ring
	scope           tally.Scope
	load            *Load
	// expect returns the accelerator hours that a key is expected to offer in an hour.
	expect func(Key, time.Time) float64

	mu sync.Mutex
	// slow holds the waits that exceed their bound.
	slow map[waitKey]bool
	// safe maps a planned stop to the version that was recorded as safe.
	safe map[string]uint64
	seen map[string]seenWorker
}

// Option configures Notices.
type Option func(*Notices)

// WithConfig sets the function that returns the configuration in force.
func WithConfig(f func() config.Config) Option { return func(n *Notices) { n.config = f } }

// WithWorkers sets the function that lists all workers.
func WithWorkers(f func() []fleet.Worker) Option { return func(n *Notices) { n.workers = f } }

// WithGuaranteeCheck sets the check that the guarantees of profiles fit a set of workers.
func WithGuaranteeCheck(f func([]fleet.Worker, []config.Profile) error) Option {
	return func(n *Notices) { n.checkGuarantees = f }
}

// WithAppend sets the function that appends a record to the log.
func WithAppend(f func(context.Context, *wire.Record) (uint64, error)) Option {
	return func(n *Notices) { n.append = f }
}

// WithOwnsDomain sets the function that reports whether this host owns a failure domain; one host should own each.
func WithOwnsDomain(f func(domain string) bool) Option { return func(n *Notices) { n.ownsDomain = f } }

// WithRunTimeCorrection sets the function that corrects declared run times.
func WithRunTimeCorrection(f func(org, profile string, declared time.Duration) time.Duration) Option {
	return func(n *Notices) { n.runTime = f }
}

// WithTaskCount sets the function that counts the tasks still running on the target of a planned stop.
func WithTaskCount(f func(context.Context, config.Stop) (int, error)) Option {
	return func(n *Notices) { n.countTasks = f }
}

// WithBacklog sets the function that returns the queued work of a failure domain, in accelerator hours per profile.
func WithBacklog(f func(domain string) map[string]float64) Option {
	return func(n *Notices) { n.backlog = f }
}

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(n *Notices) { n.clock = c } }

// WithEvents sets the time line that events are recorded in.
func WithEvents(r *events.Ring) Option { return func(n *Notices) { n.events = r } }

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option { return func(n *Notices) { n.scope = s } }

// New returns Notices with no learned load.
func New(opts ...Option) *Notices {
	n := &Notices{
		config:          func() config.Config { return config.Config{} },
		workers:         func() []fleet.Worker { return nil },
		checkGuarantees: func([]fleet.Worker, []config.Profile) error { return nil },
		ownsDomain:      func(string) bool { return true },
		runTime:         func(_, _ string, d time.Duration) time.Duration { return d },
		backlog:         func(string) map[string]float64 { return nil },
		clock:           clock.System(),
		wake:            make(chan struct{}, 1),
		events:          events.NewRing("", 1, events.NewClock(clock.System().Now)),
		scope:           tally.NoopScope,
		load:            NewLoad(),
		slow:            map[waitKey]bool{},
		safe:            map[string]uint64{},
		seen:            map[string]seenWorker{},
	}
	n.expect = func(k Key, t time.Time) float64 { return n.load.Expect(k, t, defaultSpread) }
	for _, o := range opts {
		o(n)
	}
	return n
}

// Load returns the learned load.
func (n *Notices) Load() *Load {
	return n.load
}

// Fold applies one record of the log: it learns from accepted jobs, and from the learned load in a snapshot, which
// covers records that have expired.
func (n *Notices) Fold(_ uint64, _ time.Time, r *wire.Record) {
	switch b := r.GetBody().(type) {
	case *wire.Record_Jobs:
		n.load.FoldJobs(b.Jobs, n.runTime)
	case *wire.Record_Snapshot:
		n.decode(b.Snapshot.GetForecast())
	}
}

func (n *Notices) decode(b []byte) {
	if len(b) == 0 {
		return
	}
	if err := n.load.Decode(b); err != nil {
		n.scope.Counter("forecast_decode_errors").Inc(1)
	}
}

// Forecast encodes the learned load for a snapshot in the log, limited to maxForecastBytes.
func (n *Notices) Forecast() ([]byte, error) {
	return n.load.Encode(maxForecastBytes)
}

// TakeSnapshot adds the complete learned load to a snapshot for a peer.
func (n *Notices) TakeSnapshot(r *wire.SnapshotReply) error {
	b, err := n.load.Encode(0)
	if err != nil {
		return err
	}
	r.Notices = b
	return nil
}

// LoadSnapshot merges the learned load of a peer's snapshot. A load that cannot be decoded is counted and ignored.
func (n *Notices) LoadSnapshot(r *wire.SnapshotReply) error {
	n.decode(r.GetNotices())
	return nil
}

// Changed signals that the configuration has changed, so that Run issues the resulting notices at once.
func (n *Notices) Changed() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run issues and withdraws notices every passInterval and after each Changed, until ctx ends.
func (n *Notices) Run(ctx context.Context) error {
	for {
		select {
		case <-n.wake:
		case <-n.clock.After(passInterval):
		case <-ctx.Done():
			return fmt.Errorf("issue notices: %w", ctx.Err())
		}
		n.watchStops(ctx)
		if err := n.pass(ctx); err != nil {
			n.scope.Counter("notice_errors").Inc(1)
		}
	}
}

// pass issues the notices that are due and withdraws those whose cause is no longer planned.
func (n *Notices) pass(ctx context.Context) error {
	now := n.clock.Now()
	c := n.config()
	for _, x := range n.due(now, c) {
		r, err := config.NewNoticeRecord(x)
		if err != nil {
			return err
		}
		if err := n.appendRecord(ctx, r); err != nil {
			return fmt.Errorf("issue notice %s: %w", x.ID, err)
		}
		n.scope.Counter("notices_issued").Inc(1)
		n.events.Add(events.Event{
			Kind: events.NoticeIssued, Organisation: x.Organisation, Profile: x.Profile, Text: x.ID + " " + x.Why,
		})
	}
	for _, x := range obsolete(now, c) {
		if !n.ownsDomain(x.Domain) {
			continue
		}
		if err := n.appendRecord(ctx, config.NewWithdrawRecord(x.ID, x.Cause+" is no longer planned")); err != nil {
			return fmt.Errorf("withdraw notice %s: %w", x.ID, err)
		}
	}
	return nil
}

func (n *Notices) appendRecord(ctx context.Context, r *wire.Record) error {
	c, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := n.append(c, r)
	return err
}
