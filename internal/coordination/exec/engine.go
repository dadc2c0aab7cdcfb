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
	"github.com/uber-go/tally/v4"
)

// Bounds are the figures of the platform that an engine keeps to.
type Bounds struct {
	// MaxHold is the longest lease that a worker grants.
	MaxHold time.Duration
	// StopTimeout is how long a worker takes at most to stop a task.
	StopTimeout time.Duration
	// Claim is how long work within a guarantee may wait for its start.
	Claim time.Duration
	// GangTimeout is how long the first task of a gang waits for the others.
	GangTimeout time.Duration
	// KeepEnded is how long the state of a job is kept after its end.
	KeepEnded time.Duration
}

// Outside is what an engine reaches.
type Outside struct {
	Store   port.Store
	Runners port.Runners
	// Jobs is the topic of the jobs, Table its fold and Follower what keeps the fold up to date.
	Jobs     port.Topic
	Table    *jobs.Table
	Follower *feed.Follower
	// Config returns the configuration in force, or nil.
	Config func() *queue.Config
	// FollowRunners calls put with each worker that is listed, and drop with each that is not any more, until ctx ends.
	FollowRunners func(ctx context.Context, put func(r port.Runner), drop func(name string)) error
}

// Engine runs the jobs during one term.
type Engine struct {
	out     Outside
	bounds  Bounds
	term    int64
	clock   clock.Clock
	log     *slog.Logger
	scope   tally.Scope
	writer  *feed.Writer
	cancel  context.CancelFunc
	renewed func() clock.Mark

	// mu guards all below.
	mu      sync.Mutex
	ctx     context.Context
	planner *plan.Planner
	config  *queue.Config
	workers map[string]*worker
	units   map[string]*unit
	// deferred are units that the planner did not take yet.
	deferred map[string]*unit
	// ending are jobs whose end is being stored.
	ending map[string]bool
	// due is when the next occurrence of a job is due.
	due   map[string]time.Time
	ready bool
	// isListRead is set once the platform has listed a worker to this owner.
	isListRead bool
	// nextFull is the earliest time of the next pass over all units.
	nextFull time.Time
	// passTook is how long the last pass over all units took.
	passTook time.Duration
	// loggedBooks is when the books were last summed up in the log.
	loggedBooks time.Time
	// swept is when ends of jobs were last looked for that need not be kept.
	swept time.Time
	wake  chan struct{}
}

// Option changes how an engine is built.
type Option func(*Engine)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(e *Engine) { e.clock = c } }

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(e *Engine) { e.log = l } }

// WithScope sets where the engine counts.
func WithScope(s tally.Scope) Option { return func(e *Engine) { e.scope = s } }

// WithRenewed sets the function that tells when the newest confirmed renewal of the term was sent.
func WithRenewed(f func() clock.Mark) Option { return func(e *Engine) { e.renewed = f } }

// ownerProducer is the producer under which the owner appends; its epoch is the term.
const ownerProducer = "owner"

// New returns an engine for a term.
func New(out Outside, b Bounds, term int64, opts ...Option) *Engine {
	e := &Engine{
		out: out, bounds: b, term: term, clock: clock.System(), log: slog.Default(), scope: tally.NoopScope,
		workers: map[string]*worker{}, units: map[string]*unit{}, deferred: map[string]*unit{},
		ending: map[string]bool{}, due: map[string]time.Time{}, wake: make(chan struct{}, 1),
	}
	e.planner = plan.New("", plan.WithRestartCost(restartCost), plan.WithClaimBound(b.Claim),
		plan.WithLossBounds(urgentWaste, otherWaste), plan.WithHeadroom(headroomMemory, headroomShare),
		plan.WithStartRate(startRate, startBurst), plan.WithPartialFleet())
	for _, o := range opts {
		o(e)
	}
	e.writer = feed.NewWriter(out.Store, out.Jobs, ownerProducer, term, e.clock, e.log)
	return e
}

// Run takes over and runs the jobs until ctx or the term ends.
func (e *Engine) Run(ctx context.Context) error {
	ctx, e.cancel = context.WithCancel(ctx)
	defer e.cancel()
	e.ctx = ctx
	end, err := e.fence(ctx)
	if err != nil {
		return err
	}
	if err := e.out.Follower.WaitFor(ctx, end); err != nil {
		return fmt.Errorf("take over: %w", err)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer e.cancel()
	wg.Go(func() {
		if err := e.writer.Run(ctx); err != nil {
			e.log.Warn("owner's appends ended", "Term", e.term, "Cause", err.Error())
			e.cancel()
		}
	})
	e.adopt()
	wg.Go(func() {
		if err := e.out.FollowRunners(ctx, e.putRunner, e.dropRunner); err != nil && ctx.Err() == nil {
			e.log.Warn("list of workers ended", "Cause", err.Error())
		}
	})
	e.loop(ctx)
	return nil
}

// fence keeps former owners from appending and returns where the topic ends.
func (e *Engine) fence(ctx context.Context) (int64, error) {
	for {
		a, err := e.out.Store.Append(ctx, port.Append{Topic: e.out.Jobs, Producer: ownerProducer, Epoch: e.term})
		if err == nil {
			e.log.Info("former owners fenced off", "Term", e.term, "End", a.End)
			return a.End, nil
		}
		if ctx.Err() != nil || isDeposed(err) {
			return 0, fmt.Errorf("fence off former owners: %w", err)
		}
		e.log.Warn("cannot fence off former owners", "Term", e.term, "Cause", err.Error())
		if err := e.clock.Sleep(ctx, fencePause); err != nil {
			return 0, fmt.Errorf("fence off former owners: %w", err)
		}
	}
}

const (
	// fencePause is the time between two tries to fence off former owners.
	fencePause = 100 * time.Millisecond
	// passPause is the least time between two passes of the planner.
	passPause = 15 * time.Millisecond
	// checkInterval is the time between two looks for silent workers and late units.
	checkInterval = 150 * time.Millisecond
	// restartCost is the run time that a stopped unit with a checkpoint loses.
	restartCost = 500 * time.Millisecond
	// urgentWaste and otherWaste are the seconds of others' work that a second of urgent work, or of other work, may cost.
	urgentWaste = 4.0
	otherWaste  = 0.3
	// fullShare is the part of the time that passes over all units may take while urgent units wait for their own.
	fullShare = 0.4
	// startRate and startBurst bound the starts of single tasks in a second and at once, as each takes the owner's processor.
	startRate  = 600
	startBurst = 800
	// headroomMemory is how long a peak of urgent work is remembered, and headroomShare the part of it that is kept free.
	headroomMemory = 10 * time.Second
	headroomShare  = 1.0
	// settle is how long a new owner waits for the answers of the workers before it starts anything.
	settle = 700 * time.Millisecond
)

// loop follows the table and runs passes.
func (e *Engine) loop(ctx context.Context) {
	e.kick()
	settled := e.clock.Now().Add(settle)
	next := e.clock.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.out.Table.Wake():
		case <-e.wake:
		case <-e.clock.After(checkInterval):
		}
		e.mu.Lock()
		e.syncConfig()
		e.syncJobs()
		now := e.clock.Now()
		e.syncDue(now)
		if !now.Before(next) {
			next = now.Add(checkInterval)
			e.check(now)
			e.sweep(now)
		}
		if !e.ready && (now.After(settled) || e.isAnswered()) && len(e.workers) > 0 {
			e.ready = true
			e.log.Info("take-over complete", "Term", e.term, "Workers", len(e.workers), "Units", len(e.units))
		}
		if e.ready && e.isListRead {
			e.planner.SetFleetComplete()
		}
		if e.ready {
			e.passInTime(now)
			e.logBooks(now)
		}
		e.mu.Unlock()
		// A pass that takes long leaves the processor to the reports of the workers for as long.
		if e.clock.Sleep(ctx, max(passPause, e.clock.Since(now))) != nil {
			return
		}
	}
}

// isAnswered reports whether all workers that are listed have answered this owner.
func (e *Engine) isAnswered() bool {
	for _, w := range e.workers {
		if !w.isHeld {
			return false
		}
	}
	return true
}

// kick asks for a pass.
func (e *Engine) kick() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
