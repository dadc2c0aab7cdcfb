package intake

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/coordination/feed"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/auburncleat/auburncleat/internal/state/queue"
	"github.com/uber-go/tally/v4"
)

const (
	// storeTimeout is how long a request waits for the store before it is refused. A request whose record may have been sent
	// cannot be refused; it waits for the reply of the store until its own timeout.
	storeTimeout = 900 * time.Millisecond
	// replyMargin is the part of the caller's timeout that is reserved for the reply to reach it.
	replyMargin = 150 * time.Millisecond
	// retryAfter is the retry delay for a caller when this host cannot reach the store; another host may still reach it.
	// outageRetryAfter is the delay when the store has not answered for outageAfter and is probably down for all hosts.
	retryAfter       = time.Second
	outageRetryAfter = 2 * time.Second
	outageAfter      = 1500 * time.Millisecond
	// maxTableAge is the maximum age of the job table for it to show that a job does not exist.
	maxTableAge = 2500 * time.Millisecond
	// refreshTimeout is how long a request waits for the job table to be refreshed.
	refreshTimeout = 120 * time.Millisecond
)

// Limits are the conditions under which requests are admitted.
type Limits struct {
	// MaxConfigAge is the maximum time since the configuration was last confirmed to be the newest.
	MaxConfigAge time.Duration
	// MaxOpenJobs limits the jobs that have not ended, and JobMemory the memory that they take on the owner.
	MaxOpenJobs int
	JobMemory   fleet.Bytes
}

// Intake serves callers on one host.
type Intake struct {
	table    *jobs.Table
	follower *feed.Follower
	writer   *feed.Writer
	limits   atomic.Pointer[Limits]
	room     room
	clock    clock.Clock
	log      *slog.Logger
	scope    tally.Scope
	config   atomic.Pointer[queue.Config]
	// configCheckedAt returns when the last answered request for a newer configuration was sent.
	configCheckedAt func() clock.Instant
}

// New returns an intake on top of a job table; configCheckedAt returns when the configuration was last confirmed to be the
// newest.
func New(t *jobs.Table, f *feed.Follower, w *feed.Writer, configCheckedAt func() clock.Instant, m Limits, c clock.Clock, l *slog.Logger, s tally.Scope) *Intake {
	i := &Intake{table: t, follower: f, writer: w, clock: c, log: l, scope: s, configCheckedAt: configCheckedAt}
	i.SetLimits(m)
	return i
}

// SetLimits replaces the limits.
func (i *Intake) SetLimits(m Limits) {
	i.limits.Store(&m)
}

// SetConfig puts a configuration in force; it ignores one that is not newer than the present one.
func (i *Intake) SetConfig(c *queue.Config) {
	old := i.config.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	if old != nil {
		c.KeepRemoved(old)
	}
	i.config.Store(c)
	i.log.Info("configuration in force", "Version", c.Version, "Queues", len(c.Queues), "Keys", len(c.Keys))
}

// Config returns the configuration in force, or nil.
func (i *Intake) Config() *queue.Config {
	return i.config.Load()
}

// Caller describes an admitted request.
type Caller struct {
	Queue        *queue.Queue
	Organisation string
	// Suffix is the path after the prefix of the queue.
	Suffix  string
	Version int64
}

// Admit checks host name, path and key against the configuration in force.
func (i *Intake) Admit(host, path, key string) (Caller, error) {
	c := i.config.Load()
	checkedAt := i.configCheckedAt()
	if c == nil || checkedAt.IsZero() {
		return Caller{}, ErrBusy{Why: "configuration not read yet", RetryAfter: retryAfter}
	}
	if age := i.clock.Age(checkedAt); age > i.limits.Load().MaxConfigAge {
		return Caller{}, ErrBusy{Why: fmt.Sprintf("configuration not confirmed for %s", age.Round(time.Millisecond)), RetryAfter: retryDelay(age)}
	}
	q, rest := c.Match(host, path)
	if q == nil {
		return Caller{}, fmt.Errorf("%s%s at version %d: %w", host, path, c.Version, ErrNoQueue)
	}
	org, ok := c.Keys[key]
	if !ok && !q.Public {
		return Caller{}, fmt.Errorf("queue %s at version %d: %w", q.Name, c.Version, ErrNoKey)
	}
	return Caller{Queue: q, Organisation: org, Suffix: rest, Version: c.Version}, nil
}

// Submit stores a job and returns once it is accepted. A job whose id is already known is a repeat and not stored again.
func (i *Intake) Submit(ctx context.Context, c Caller, j *jobs.Job, timeout time.Duration) error {
	if why := j.Check(); why != "" {
		return fmt.Errorf("job %s: %s: %w", j.ID, why, ErrInvalid)
	}
	isKnown := false
	i.table.View(j.ID, func(x *jobs.Job) { isKnown = x != nil })
	if isKnown {
		i.log.Info("job known", "Job", j.ID, "Queue", c.Queue.Name)
		return nil
	}
	release, err := i.room.take(i.table, j.Footprint(), *i.limits.Load())
	if err != nil {
		return err
	}
	defer release()
	j.Queue, j.Organisation, j.Accepted, j.Terms = c.Queue.Name, c.Organisation, i.clock.Now(), c.Queue.Terms()
	r, err := jobs.JobRecord(j)
	if err != nil {
		return err
	}
	if _, err := i.store(ctx, r, timeout); err != nil {
		return fmt.Errorf("accept job %s: %w", j.ID, err)
	}
	i.scope.Counter("jobs_accepted").Inc(1)
	i.scope.Timer("accept_time").Record(i.clock.Since(j.Accepted))
	i.log.Info("job accepted", "Job", j.ID, "Queue", c.Queue.Name, "Organisation", c.Organisation, "Version", c.Version,
		"Objective", c.Queue.Objective.String(), "Stretch", c.Queue.Stretch, "Steps", len(j.Steps), "Took", i.clock.Since(j.Accepted).Round(time.Millisecond).String())
	return nil
}

// replyTime returns the time until the reply has to be sent to a caller with a timeout.
func replyTime(timeout time.Duration) time.Duration {
	return max(timeout-replyMargin, replyMargin)
}

// retryDelay returns the retry delay for a caller, given the time without a reply of the store.
func retryDelay(sinceReply time.Duration) time.Duration {
	if sinceReply > outageAfter {
		return outageRetryAfter
	}
	return retryAfter
}

// Progress is the state of a job as reported to callers.
type Progress int

// States of a job.
const (
	Queued Progress = iota
	Running
	Completed
	Failed
	Cancelled
)

// GetProgress returns the state of a job. It refreshes the job table first if the table shows the job as open or not at all.
func (i *Intake) GetProgress(ctx context.Context, id string) (Progress, error) {
	p, isKnown := i.findProgress(id)
	if !isKnown || p.isOpen() {
		i.follower.Refresh(ctx, refreshTimeout)
		p, isKnown = i.findProgress(id)
	}
	if !isKnown {
		return 0, i.notFoundError(id)
	}
	return p, nil
}

// findProgress returns the state of a job according to the job table.
func (i *Intake) findProgress(id string) (out Progress, isKnown bool) {
	i.table.View(id, func(j *jobs.Job) {
		if j == nil {
			return
		}
		isKnown = true
		out = progress(j)
	})
	return out, isKnown
}

// isOpen reports whether the job has neither ended nor been cancelled.
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

// checkTableAge returns an error when the job table is too old to show that a job does not exist.
func (i *Intake) checkTableAge() error {
	fresh := i.follower.Fresh()
	if fresh.IsZero() {
		return ErrBusy{Why: "job table not loaded yet", RetryAfter: retryAfter}
	}
	if age := i.clock.Age(fresh); age > maxTableAge {
		return ErrBusy{Why: fmt.Sprintf("job table not refreshed for %s", age.Round(time.Millisecond)), RetryAfter: retryAfter}
	}
	return nil
}

// notFoundError returns the error for a job missing from the table: ErrNoJob, or ErrBusy when the table is
// too old to show that the job does not exist.
func (i *Intake) notFoundError(id string) error {
	if err := i.checkTableAge(); err != nil {
		return err
	}
	return fmt.Errorf("job %s: %w", id, ErrNoJob)
}

// CountPending returns the number of accepted jobs of a queue that have not started.
func (i *Intake) CountPending(q *queue.Queue) (int, error) {
	if err := i.checkTableAge(); err != nil {
		return 0, err
	}
	return i.table.CountPending(q.Name), nil
}
