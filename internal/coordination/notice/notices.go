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
	defaultInterval = time.Minute
	// lead is how long before the call is due that a forecast shortage is announced.
	lead = 3 * time.Hour
	// tolerance is how far from a notice's times a slowdown still counts as announced.
	tolerance = time.Hour
	// horizonLimit bounds how far ahead slowdowns are foreseen.
	horizonLimit = 60 * 24 * time.Hour
	// recovery is how long after a stop its effects are followed.
	recovery = 24 * time.Hour
	// defaultSpread is how many mean deviations above its mean the load is expected.
	defaultSpread = 0.25
	appendBound   = 10 * time.Second
	// forecastBytes bounds what a snapshot in the log carries of the load.
	forecastBytes = 128 << 10
)

// Notices foresees slowdowns of the failure domains that this host looks after, and issues notices through the log.
type Notices struct {
	// wake holds a value when another configuration is in force.
	wake    chan struct{}
	config  func() config.Config
	workers func() []fleet.Worker
	fits    func([]fleet.Worker, []config.Profile) error
	append  func(context.Context, *wire.Record) (uint64, error)
	mine    func(domain string) bool
	runTime func(org, profile string, declared time.Duration) time.Duration
	tasks   func(context.Context, config.Stop) (int, error)
	backlog func(domain string) map[string]float64
	clock   clock.Clock
	events  *events.Ring
	scope   tally.Scope
	load    *Load
	// expect returns the accelerator hours that a key is expected to offer in an hour.
	expect func(Key, time.Time) float64

	mu   sync.Mutex
	slow map[slowKey]bool
	safe map[string]uint64
	seen map[string]seenWorker
}

// Option configures Notices.
type Option func(*Notices)

// WithConfig sets the configuration in force.
func WithConfig(f func() config.Config) Option { return func(n *Notices) { n.config = f } }

// WithWorkers sets the list of all workers.
func WithWorkers(f func() []fleet.Worker) Option { return func(n *Notices) { n.workers = f } }

// WithFits sets the check that guarantees fit workers.
func WithFits(f func([]fleet.Worker, []config.Profile) error) Option {
	return func(n *Notices) { n.fits = f }
}

// WithAppend sets how a record gets into the log.
func WithAppend(f func(context.Context, *wire.Record) (uint64, error)) Option {
	return func(n *Notices) { n.append = f }
}

// WithMine sets which failure domains this host looks after; one host of each should.
func WithMine(f func(domain string) bool) Option { return func(n *Notices) { n.mine = f } }

// WithRunTime sets the correction of declared run times.
func WithRunTime(f func(org, profile string, declared time.Duration) time.Duration) Option {
	return func(n *Notices) { n.runTime = f }
}

// WithTasks sets how many tasks a planned stop still has to wait for.
func WithTasks(f func(context.Context, config.Stop) (int, error)) Option {
	return func(n *Notices) { n.tasks = f }
}

// WithBacklog sets the work that waits in a failure domain, in accelerator hours per profile.
func WithBacklog(f func(domain string) map[string]float64) Option {
	return func(n *Notices) { n.backlog = f }
}

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(n *Notices) { n.clock = c } }

// WithEvents sets the time line.
func WithEvents(r *events.Ring) Option { return func(n *Notices) { n.events = r } }

// WithScope sets where metrics go.
func WithScope(s tally.Scope) Option { return func(n *Notices) { n.scope = s } }

// New returns notices that have learned nothing yet.
func New(opts ...Option) *Notices {
	n := &Notices{
		config:  func() config.Config { return config.Config{} },
		workers: func() []fleet.Worker { return nil },
		fits:    func([]fleet.Worker, []config.Profile) error { return nil },
		mine:    func(string) bool { return true },
		runTime: func(_, _ string, d time.Duration) time.Duration { return d },
		backlog: func(string) map[string]float64 { return nil },
		clock:   clock.System(),
		wake:    make(chan struct{}, 1),
		events:  events.NewRing("", 1, events.NewClock(clock.System().Now)),
		scope:   tally.NoopScope,
		load:    NewLoad(),
		slow:    map[slowKey]bool{},
		safe:    map[string]uint64{},
		seen:    map[string]seenWorker{},
	}
	n.expect = func(k Key, t time.Time) float64 { return n.load.Expect(k, t, defaultSpread) }
	for _, o := range opts {
		o(n)
	}
	return n
}

// Load returns what was learned of the load.
func (n *Notices) Load() *Load {
	return n.load
}

// Fold learns from the jobs in the log, and from what another host has learned before records expired.
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

// Forecast renders what was learned for a snapshot in the log, which has to stay small.
func (n *Notices) Forecast() ([]byte, error) {
	return n.load.Encode(forecastBytes)
}

// TakeSnapshot fills in the forecast's part of a reply to a peer.
func (n *Notices) TakeSnapshot(r *wire.SnapshotReply) error {
	b, err := n.load.Encode(0)
	if err != nil {
		return err
	}
	r.Notices = b
	return nil
}

// LoadSnapshot takes in the forecast's part of a peer's reply.
func (n *Notices) LoadSnapshot(r *wire.SnapshotReply) error {
	n.decode(r.GetNotices())
	return nil
}

// Changed tells that another configuration is in force, so that what it causes is issued at once.
func (n *Notices) Changed() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run issues the notices that are due, until ctx ends.
func (n *Notices) Run(ctx context.Context) error {
	for {
		select {
		case <-n.wake:
		case <-n.clock.After(defaultInterval):
		case <-ctx.Done():
			return fmt.Errorf("issue notices: %w", ctx.Err())
		}
		n.watchStops(ctx)
		if err := n.pass(ctx); err != nil {
			n.scope.Counter("notice_errors").Inc(1)
		}
	}
}

// pass issues what is due and withdraws what has no cause any more.
func (n *Notices) pass(ctx context.Context) error {
	now := n.clock.Now()
	c := n.config()
	for _, x := range n.due(now, c) {
		r, err := config.NewNoticeRecord(x)
		if err != nil {
			return err
		}
		if err := n.write(ctx, r); err != nil {
			return fmt.Errorf("issue notice %s: %w", x.ID, err)
		}
		n.scope.Counter("notices_issued").Inc(1)
		n.events.Add(events.Event{
			Kind: events.NoticeIssued, Organisation: x.Organisation, Profile: x.Profile, Text: x.ID + " " + x.Why,
		})
	}
	for _, x := range stale(now, c) {
		if !n.mine(x.Domain) {
			continue
		}
		if err := n.write(ctx, config.NewWithdrawRecord(x.ID, x.Cause+" is no longer planned")); err != nil {
			return fmt.Errorf("withdraw notice %s: %w", x.ID, err)
		}
	}
	return nil
}

func (n *Notices) write(ctx context.Context, r *wire.Record) error {
	c, cancel := context.WithTimeout(ctx, appendBound)
	defer cancel()
	_, err := n.append(c, r)
	return err
}
