package exec

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/feed"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/plan"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/auburncleat/auburncleat/internal/state/speed"
	"github.com/uber-go/tally/v4"
)

// Bounds are the time limits of the platform that an engine respects.
type Bounds struct {
	// MaxHold is the longest lease that a worker grants.
	MaxHold time.Duration
	// StopTimeout is the longest time that a worker needs to stop a task.
	StopTimeout time.Duration
	// Claim is the longest time that work within a guarantee may wait for its start.
	Claim time.Duration
	// GangTimeout is how long the first task of a gang waits for the others.
	GangTimeout time.Duration
	// KeepEnded is how long the state of a job is kept after its end.
	KeepEnded time.Duration
}

// Deps holds the external dependencies of an engine.
type Deps struct {
	Store   port.Store
	Runners port.Runners
	// Jobs is the topic of job records. Table holds the state computed from these records, and Follower applies new
	// records to Table.
	Jobs     port.Topic
	Table    *jobs.Table
	Follower *feed.Follower
	// NewestToken returns a token that is at least the term, rises with the renewals of the term, and is below all later terms; zero if the
	// term is over. A nil function stands for the term.
	NewestToken func() int64
	// Config returns the configuration in force, or nil.
	Config func() *queue.Config
	// Evacuations returns the evacuations in force, or nil while they are not known. A nil function stands for none.
	Evacuations func() *queue.Evacuations
	// FollowRunners calls put for each worker that the platform lists, and drop for each that it no longer lists, until
	// ctx ends.
	FollowRunners func(ctx context.Context, put func(r port.Runner), drop func(name string)) error
}

// Engine runs the jobs during one term.
type Engine struct {
	deps        Deps
	bounds      Bounds
	term        int64
	clock       clock.Clock
	log         *slog.Logger
	scope       tally.Scope
	writer      *feed.Writer
	cancel      context.CancelFunc
	lastRenewal func() clock.Instant
	longLeaseAt func() time.Time
	// formerHeardAt returns when a former owner was last heard of before this term.
	formerHeardAt func() time.Time
	// formerLease bounds the leases of former owners, all of which have certainly expired at formerLeaseEnd.
	formerLease    time.Duration
	formerLeaseEnd time.Time
	// takenOverAt is when this owner had fenced off the former ones at the store.
	takenOverAt time.Time
	// disabled are the mechanisms of the planner that are switched off.
	disabled []plan.Mechanism
	// enabled are the optional mechanisms of the planner that are switched on.
	enabled []plan.Mechanism
	// plannerOptions are further options of the planner.
	plannerOptions []plan.Option

	// mu guards the fields below.
	mu      sync.Mutex
	ctx     context.Context
	planner *plan.Planner
	config  *queue.Config
	// retired holds the queues of open jobs that no configuration holds which this host has seen, by name.
	retired map[string]queue.Queue
	// evacuations are those that the planner knows.
	evacuations *queue.Evacuations
	workers     map[string]*worker
	// forgottenToken is the highest token of the orders to workers that are in workers no more.
	forgottenToken int64
	// foreign holds the listed workers of services that no queue names.
	foreign map[string]port.Runner
	units   map[string]*unit
	// deferred holds units that the planner has not accepted; they are resubmitted by runChecks.
	deferred map[string]*unit
	// endingJobs are jobs whose end is being written to the store.
	endingJobs map[string]bool
	// nextDue maps the ID of each job with set times to the time at which its next occurrence is due.
	nextDue map[string]time.Time
	ready   bool
	// isWorkerListLoaded is set once the platform has listed a worker to this owner.
	isWorkerListLoaded bool
	// lastFirstReport is when a worker last reported for the first time to this owner.
	lastFirstReport time.Time
	// nextFullPass is the earliest time of the next planner pass over all units.
	nextFullPass time.Time
	// lastPassTime is the duration of the last pass over all units.
	lastPassTime time.Duration
	// lastSummary is when the state of queue and workers was last logged.
	lastSummary time.Time
	// runCounts counts the runs that were preempted or done since the last summary.
	runCounts runCounts
	// lastPurge is when records of ended jobs were last checked for expiry.
	lastPurge time.Time
	// begun holds the units that have begun since begunSince, for which no record tells that yet.
	begun      []*unit
	begunSince time.Time
	// strayCancels are the cancellations of jobs that are not known, by job id.
	strayCancels map[string]strayCancel
	// speeds estimates the speeds of the workers, and lastSpeeds is when the planner last got them; nil if it takes workers for alike.
	speeds     *speed.Tracker
	lastSpeeds time.Time
	// idle holds the jobs that had nothing at work at the last look, and nextIdleCheck is when the next one is due.
	idle          map[string]*idleJob
	nextIdleCheck time.Time
	wake          chan struct{}
}

// Option configures an Engine.
type Option func(*Engine)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(e *Engine) { e.clock = c } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(e *Engine) { e.log = l } }

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(e *Engine) { e.scope = s } }

// WithLastRenewal sets the function that returns when the newest confirmed renewal of the term was sent.
func WithLastRenewal(f func() clock.Instant) Option { return func(e *Engine) { e.lastRenewal = f } }

// WithLongLeaseAt sets the function that returns when an owner was last heard of that may grant leases above MaxLease; zero if
// never.
func WithLongLeaseAt(f func() time.Time) Option { return func(e *Engine) { e.longLeaseAt = f } }

// WithFormerHeardAt sets the function that returns when a former owner was last heard of before this term.
func WithFormerHeardAt(f func() time.Time) Option { return func(e *Engine) { e.formerHeardAt = f } }

// WithDisabled switches mechanisms of the planner off.
func WithDisabled(ms ...plan.Mechanism) Option { return func(e *Engine) { e.disabled = ms } }

// WithEnabled switches optional mechanisms of the planner on.
func WithEnabled(ms ...plan.Mechanism) Option { return func(e *Engine) { e.enabled = ms } }

// ownerProducer is the producer ID of the owner's appends; its epoch is the term.
const ownerProducer = "owner"

// New returns an engine for a term.
func New(deps Deps, b Bounds, term int64, opts ...Option) *Engine {
	e := &Engine{
		deps: deps, bounds: b, term: term, clock: clock.System(), log: slog.Default(), scope: tally.NoopScope,
		workers: map[string]*worker{}, foreign: map[string]port.Runner{}, units: map[string]*unit{}, deferred: map[string]*unit{},
		endingJobs: map[string]bool{}, nextDue: map[string]time.Time{}, retired: map[string]queue.Queue{}, strayCancels: map[string]strayCancel{},
		wake: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(e)
	}
	if e.deps.Evacuations == nil {
		none := &queue.Evacuations{}
		e.deps.Evacuations = func() *queue.Evacuations { return none }
	}
	if e.deps.NewestToken == nil {
		e.deps.NewestToken = func() int64 { return term }
	}
	e.speeds = newSpeeds(e.enabled, e.disabled)
	e.planner = plan.New("", append([]plan.Option{
		plan.WithRestartCost(restartCost), plan.WithClaimBound(b.Claim), plan.WithLossBounds(urgentWasteRatio, otherWasteRatio),
		plan.WithHeadroom(headroomWindow, headroomShare), plan.WithStartRate(startRate, startBurst), plan.WithIdleBound(maxIdleTime),
		plan.WithPartialFleet(), plan.With(e.enabled...), plan.Without(e.disabled...),
	}, e.plannerOptions...)...)
	e.writer = feed.NewWriter(deps.Store, deps.Jobs, ownerProducer, term, e.clock, e.log)
	return e
}

// Run takes over from the former owner and runs the jobs until ctx or the term ends.
func (e *Engine) Run(ctx context.Context) error {
	ctx, e.cancel = context.WithCancel(ctx)
	defer e.cancel()
	e.ctx = ctx
	end, err := e.fenceFormerOwners(ctx)
	if err != nil {
		return err
	}
	if err := e.deps.Follower.WaitForOffset(ctx, end); err != nil {
		return fmt.Errorf("take over: %w", err)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer e.cancel()
	wg.Go(func() {
		if err := e.writer.Run(ctx); err != nil {
			e.log.Warn("writer of the owner stopped", "Term", e.term, "Cause", err.Error())
			e.cancel()
		}
	})
	e.boundFormerLeases()
	e.adopt()
	wg.Go(func() {
		if err := e.deps.FollowRunners(ctx, e.putRunner, e.dropRunner); err != nil && ctx.Err() == nil {
			e.log.Warn("worker list can no longer be followed", "Cause", err.Error())
		}
	})
	e.loop(ctx)
	return nil
}

// fenceFormerOwners raises the producer epoch to this term, which rejects appends of former owners, and returns the end
// offset of the topic.
func (e *Engine) fenceFormerOwners(ctx context.Context) (int64, error) {
	for {
		a, err := e.deps.Store.Append(ctx, port.Append{Topic: e.deps.Jobs, Producer: ownerProducer, Epoch: e.term})
		if err == nil {
			e.log.Info("former owners fenced off", "Term", e.term, "End", a.End)
			return a.End, nil
		}
		if ctx.Err() != nil || isFenced(err) {
			return 0, fmt.Errorf("fence off former owners: %w", err)
		}
		e.log.Warn("cannot fence off former owners", "Term", e.term, "Cause", err.Error())
		if err := e.clock.Sleep(ctx, fenceRetryInterval); err != nil {
			return 0, fmt.Errorf("fence off former owners: %w", err)
		}
	}
}

const (
	// fenceRetryInterval is the pause between attempts to fence off former owners.
	fenceRetryInterval = 100 * time.Millisecond
	// minPassInterval is the shortest pause between two planner passes.
	minPassInterval = 15 * time.Millisecond
	// checkInterval is the time between two checks for unresponsive workers and deferred units.
	checkInterval = 150 * time.Millisecond
	// restartCost is the run time that a unit with a checkpoint loses when it is stopped.
	restartCost = 500 * time.Millisecond
	// urgentWasteRatio and otherWasteRatio limit the accelerator seconds that others may lose to a preemption for each
	// accelerator second of the preempting unit; the former applies to urgent units and the latter to all other units.
	urgentWasteRatio = 4.0
	otherWasteRatio  = 0.3
	// fullPassShare is the largest share of time spent in passes over all units, so that passes over urgent units alone
	// can run in between.
	fullPassShare = 0.4
	// startRate (per second) and startBurst limit the starts of single tasks, since each start costs the owner CPU time.
	startRate  = 600
	startBurst = 800
	// headroomWindow is the time constant with which the remembered peak demand of urgent work decays, and headroomShare
	// is the fraction of this peak for which accelerators are kept free.
	headroomWindow = 10 * time.Second
	headroomShare  = 1.0
	// maxIdleTime is how long an accepted job may have nothing running beside room for two of it, less what a start takes.
	maxIdleTime = 2 * time.Second
	// takeoverTimeout is how long a new owner waits for reports of all workers before it starts any work.
	takeoverTimeout = 700 * time.Millisecond
	// reportGap is how long no further worker has reported before a new owner that has heard most workers waits no longer:
	// those that are missing are cut off or gone.
	reportGap = 120 * time.Millisecond
	// mostWorkersShare is the share of the listed workers that has to have reported before that.
	mostWorkersShare = 0.5
)

// loop processes changes of the job table and runs planner passes until ctx ends.
func (e *Engine) loop(ctx context.Context) {
	e.requestPass()
	takeoverDeadline := e.clock.Now().Add(takeoverTimeout)
	nextCheck := e.clock.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.deps.Table.Wake():
		case <-e.wake:
		case <-e.clock.After(checkInterval):
		}
		e.mu.Lock()
		e.syncConfig()
		e.syncJobs()
		now := e.clock.Now()
		e.syncDue(now)
		if !now.Before(nextCheck) {
			nextCheck = now.Add(checkInterval)
			e.runChecks(now)
			e.updateSpeeds(now)
			e.purge(now)
		}
		e.storeBegun(now)
		if !e.ready && (now.After(takeoverDeadline) || e.hasWorkerReports(now)) && len(e.workers) > 0 && e.deps.Evacuations() != nil {
			e.ready = true
			e.log.Info("take-over complete", "Term", e.term, "Workers", len(e.workers), "Units", len(e.units))
		}
		if e.ready && e.isWorkerListLoaded {
			e.planner.SetFleetComplete()
		}
		if e.ready {
			e.syncEvacuations(now)
			e.runPass(now)
			e.checkIdleJobs(now)
			e.logSummary(now)
		}
		e.mu.Unlock()
		// After a long pass the loop pauses for as long as the pass took, so that worker reports get processor time.
		if e.clock.Sleep(ctx, max(minPassInterval, e.clock.Since(now))) != nil {
			return
		}
	}
}

// hasWorkerReports reports whether every known worker has reported to this owner, or most have and the others do not seem to
// answer. Work is started on workers that have reported only.
func (e *Engine) hasWorkerReports(now time.Time) bool {
	n := 0
	for _, w := range e.workers {
		if w.hasReported {
			n++
		}
	}
	if n == len(e.workers) {
		return true
	}
	return float64(n) >= mostWorkersShare*float64(len(e.workers)) && now.Sub(e.lastFirstReport) >= reportGap
}

// requestPass wakes the loop for another pass.
func (e *Engine) requestPass() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
