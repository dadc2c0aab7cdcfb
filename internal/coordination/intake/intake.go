package intake

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/feed"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/uber-go/tally/v4"
)

const (
	// storePatience is how long a request waits for a store that does not answer before it is refused, if it can be.
	storePatience = 900 * time.Millisecond
	// answerMargin is kept of the caller's patience for the answer's way back.
	answerMargin = 150 * time.Millisecond
	// retryAfter is when a caller should come back after a refusal for want of the store, which another host may still
	// reach, and longRetryAfter when the store has not answered for longAfter and is probably down for all.
	retryAfter     = time.Second
	longRetryAfter = 2 * time.Second
	longAfter      = 1500 * time.Millisecond
	// maxTableAge is how old the fold of the jobs may be to say that a job does not exist.
	maxTableAge = 2500 * time.Millisecond
	// lookPatience is how long a question waits for news of its job.
	lookPatience = 120 * time.Millisecond
)

// Limits bound what the intake takes.
type Limits struct {
	// MaxConfigAge is how old the knowledge of the configuration may be to answer by it.
	MaxConfigAge time.Duration
	// MaxOpen bounds the jobs that have no end yet.
	MaxOpen int
}

// Intake serves callers on one host.
type Intake struct {
	table    *jobs.Table
	follower *feed.Follower
	writer   *feed.Writer
	limits   atomic.Pointer[Limits]
	clock    clock.Clock
	log      *slog.Logger
	scope    tally.Scope
	config   atomic.Pointer[queue.Config]
	// configFresh tells when the last answered look for a newer configuration was sent.
	configFresh func() clock.Instant
}

// New returns an intake over the fold of the jobs; configFresh tells when the configuration was last known to be new.
func New(t *jobs.Table, f *feed.Follower, w *feed.Writer, configFresh func() clock.Instant, m Limits, c clock.Clock, l *slog.Logger, s tally.Scope) *Intake {
	i := &Intake{table: t, follower: f, writer: w, clock: c, log: l, scope: s, configFresh: configFresh}
	i.SetLimits(m)
	return i
}

// SetLimits replaces the limits.
func (i *Intake) SetLimits(m Limits) {
	i.limits.Store(&m)
}

// SetConfig puts a newer configuration in force.
func (i *Intake) SetConfig(c *queue.Config) {
	old := i.config.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	i.config.Store(c)
	i.log.Info("configuration in force", "Version", c.Version, "Queues", len(c.Queues), "Keys", len(c.Keys))
}

// Config returns the configuration in force, or nil.
func (i *Intake) Config() *queue.Config {
	return i.config.Load()
}

// Caller is a request that the configuration in force admits.
type Caller struct {
	Queue        *queue.Queue
	Organisation string
	// Rest is the path behind the prefix of the queue.
	Rest    string
	Version int64
}

// Admit checks host name, path and key by the configuration in force.
func (i *Intake) Admit(host, path, key string) (Caller, error) {
	c := i.config.Load()
	fresh := i.configFresh()
	if c == nil || fresh.IsZero() {
		return Caller{}, ErrBusy{Why: "configuration not read yet", RetryAfter: retryAfter}
	}
	if age := i.clock.Age(fresh); age > i.limits.Load().MaxConfigAge {
		return Caller{}, ErrBusy{Why: fmt.Sprintf("configuration not confirmed for %s", age.Round(time.Millisecond)), RetryAfter: comeBack(age)}
	}
	q, rest := c.Match(host, path)
	if q == nil {
		return Caller{}, fmt.Errorf("%s%s at version %d: %w", host, path, c.Version, ErrNoQueue)
	}
	org, ok := c.Keys[key]
	if !ok && !q.Public {
		return Caller{}, fmt.Errorf("queue %s at version %d: %w", q.Name, c.Version, ErrNoKey)
	}
	return Caller{Queue: q, Organisation: org, Rest: rest, Version: c.Version}, nil
}

// Submit stores a job and returns once it is accepted; a job of the same id that is known is the same job.
func (i *Intake) Submit(ctx context.Context, c Caller, j *jobs.Job, patience time.Duration) error {
	if why := j.Check(); why != "" {
		return fmt.Errorf("job %s: %s: %w", j.ID, why, ErrInvalid)
	}
	isKnown := false
	i.table.View(j.ID, func(x *jobs.Job) { isKnown = x != nil })
	if isKnown {
		i.log.Info("job known", "Job", j.ID, "Queue", c.Queue.Name)
		return nil
	}
	if n, most := i.table.CountOpen(), i.limits.Load().MaxOpen; most > 0 && n >= most {
		return ErrBusy{Why: fmt.Sprintf("%d jobs are open, the limit is %d", n, most), RetryAfter: retryAfter, IsFull: true}
	}
	j.Queue, j.Organisation, j.Accepted = c.Queue.Name, c.Organisation, i.clock.Now()
	r, err := jobs.JobRecord(j)
	if err != nil {
		return err
	}
	if err := i.store(ctx, r, patience); err != nil {
		return fmt.Errorf("accept job %s: %w", j.ID, err)
	}
	i.scope.Counter("jobs_accepted").Inc(1)
	i.scope.Timer("accept_time").Record(i.clock.Since(j.Accepted))
	i.log.Info("job accepted", "Job", j.ID, "Queue", c.Queue.Name, "Organisation", c.Organisation, "Version", c.Version,
		"Steps", len(j.Steps), "Took", i.clock.Since(j.Accepted).Round(time.Millisecond).String())
	return nil
}

// store appends one record and waits for the store; it is refused only while it was never sent.
func (i *Intake) store(ctx context.Context, r jobs.Record, patience time.Duration) error {
	if s := i.writer.Stalled(); s > storePatience {
		return ErrBusy{Why: fmt.Sprintf("store has not answered for %s", s.Round(time.Millisecond)), RetryAfter: comeBack(s)}
	}
	if s := i.writer.Refused(); s > 0 {
		return ErrBusy{Why: fmt.Sprintf("store refused an append %s ago", s.Round(time.Millisecond)), RetryAfter: retryAfter}
	}
	done := make(chan error, 1)
	it := &feed.EntryGroup{Entries: []port.Entry{{Key: r.Key, Value: r.Value}}}
	it.Done = func(first int64, err error) {
		if err == nil {
			err = i.table.Apply(first, r)
		}
		done <- err
	}
	i.writer.Submit(it)
	refuse := i.clock.After(storePatience)
	over := i.clock.After(max(patience-answerMargin, answerMargin))
	for {
		select {
		case err := <-done:
			return unknownUnless(err)
		case <-refuse:
			if i.writer.Withdraw(it) {
				return ErrBusy{Why: "store did not take the record", RetryAfter: retryAfter}
			}
		case <-over:
			if i.writer.Withdraw(it) {
				return ErrBusy{Why: "store did not take the record", RetryAfter: retryAfter}
			}
			return fmt.Errorf("store did not answer in time: %w", ErrOutcomeUnknown)
		case <-ctx.Done():
			return fmt.Errorf("caller left: %w", ErrOutcomeUnknown)
		}
	}
}

// comeBack returns when a caller should come back if the store has not answered for so long.
func comeBack(silent time.Duration) time.Duration {
	if silent > longAfter {
		return longRetryAfter
	}
	return retryAfter
}

func unknownUnless(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// Progress is what callers are told of a job.
type Progress int

// What callers are told.
const (
	Queued Progress = iota
	Running
	Completed
	Failed
	Cancelled
)

// GetState returns how far a job is; the fold is brought up to date for a job that has not ended as far as it tells.
func (i *Intake) GetState(ctx context.Context, id string) (Progress, error) {
	out, isKnown := i.find(id)
	if !isKnown || out.isOpen() {
		i.follower.Refresh(ctx, lookPatience)
		out, isKnown = i.find(id)
	}
	if !isKnown {
		return 0, i.unknown(id)
	}
	return out, nil
}

// find returns how far a job is as the fold tells.
func (i *Intake) find(id string) (out Progress, isKnown bool) {
	i.table.View(id, func(j *jobs.Job) {
		if j == nil {
			return
		}
		isKnown = true
		out = progress(j)
	})
	return out, isKnown
}

// isOpen reports whether the job has not ended and is wanted.
func (p Progress) isOpen() bool {
	return p == Queued || p == Running
}

func progress(j *jobs.Job) Progress {
	switch {
	case j.State == jobs.Completed:
		return Completed
	case j.State == jobs.Failed:
		return Failed
	case j.State == jobs.Cancelled, j.IsCancelling:
		return Cancelled
	case j.HasStarted():
		return Running
	default:
		return Queued
	}
}

// checkTable returns an error when the fold of the jobs is too old to say what it lacks.
func (i *Intake) checkTable() error {
	fresh := i.follower.Fresh()
	if fresh.IsZero() {
		return ErrBusy{Why: "jobs not read yet", RetryAfter: retryAfter}
	}
	if age := i.clock.Age(fresh); age > maxTableAge {
		return ErrBusy{Why: fmt.Sprintf("jobs not read for %s", age.Round(time.Millisecond)), RetryAfter: retryAfter}
	}
	return nil
}

// unknown tells a job that does not exist from one that this host may not have heard of.
func (i *Intake) unknown(id string) error {
	if err := i.checkTable(); err != nil {
		return err
	}
	return fmt.Errorf("job %s: %w", id, ErrNoJob)
}

// Cancel stores that a job is not wanted any more.
func (i *Intake) Cancel(ctx context.Context, id string, patience time.Duration) error {
	p, isKnown := i.find(id)
	if !isKnown {
		// Another host may have accepted the job just now.
		i.follower.Refresh(ctx, lookPatience)
		p, isKnown = i.find(id)
	}
	if !isKnown {
		return i.unknown(id)
	}
	if !p.isOpen() {
		return nil
	}
	if err := i.store(ctx, jobs.CancelRecord(id), patience); err != nil {
		return fmt.Errorf("cancel job %s: %w", id, err)
	}
	i.scope.Counter("jobs_cancelled").Inc(1)
	i.log.Info("cancel accepted", "Job", id)
	return nil
}

// CountPending returns how many accepted jobs of a queue have not started.
func (i *Intake) CountPending(q *queue.Queue) (int, error) {
	if err := i.checkTable(); err != nil {
		return 0, err
	}
	return i.table.CountPending(q.Name), nil
}
