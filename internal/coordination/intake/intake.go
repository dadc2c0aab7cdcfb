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
	// confirmTimeout is how long a cancel waits at most for the store to show that its job does not exist; another host is asked
	// after that.
	confirmTimeout = 900 * time.Millisecond
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
	if err := i.store(ctx, r, timeout); err != nil {
		return fmt.Errorf("accept job %s: %w", j.ID, err)
	}
	i.scope.Counter("jobs_accepted").Inc(1)
	i.scope.Timer("accept_time").Record(i.clock.Since(j.Accepted))
	i.log.Info("job accepted", "Job", j.ID, "Queue", c.Queue.Name, "Organisation", c.Organisation, "Version", c.Version,
		"Objective", c.Queue.Objective.String(), "Stretch", c.Queue.Stretch, "Steps", len(j.Steps), "Took", i.clock.Since(j.Accepted).Round(time.Millisecond).String())
	return nil
}

// store appends one record and waits for the reply of the store. It returns ErrBusy only if the record was never sent.
func (i *Intake) store(ctx context.Context, r jobs.Record, timeout time.Duration) error {
	if s := i.writer.Stalled(); s > storeTimeout {
		return ErrBusy{Why: fmt.Sprintf("store has not answered for %s", s.Round(time.Millisecond)), RetryAfter: retryDelay(s)}
	}
	if s := i.writer.Refused(); s > 0 {
		return ErrBusy{Why: fmt.Sprintf("store refused an append %s ago", s.Round(time.Millisecond)), RetryAfter: retryAfter}
	}
	done := make(chan error, 1)
	var isLeft atomic.Bool
	since := i.clock.Now()
	item := &feed.EntryGroup{Entries: []port.Entry{{Key: r.Key, Value: r.Value}}}
	item.Done = func(first int64, err error) {
		if isLeft.Load() {
			i.logLate(r, first, since, err)
		}
		if err == nil {
			err = i.table.Apply(first, r)
		}
		done <- err
	}
	i.writer.Submit(item)
	storeDeadline := i.clock.After(storeTimeout)
	deadline := i.clock.After(replyTime(timeout))
	for {
		select {
		case err := <-done:
			return wrapUnknown(err)
		case <-storeDeadline:
			if i.writer.Withdraw(item) {
				return ErrBusy{Why: "store did not take the record", RetryAfter: retryAfter}
			}
		case <-deadline:
			if i.writer.Withdraw(item) {
				return ErrBusy{Why: "store did not take the record", RetryAfter: retryAfter}
			}
			i.leaveRecord(r, &isLeft, "store did not answer in time")
			return fmt.Errorf("store did not answer in time: %w", ErrOutcomeUnknown)
		case <-ctx.Done():
			i.leaveRecord(r, &isLeft, "caller disconnected")
			return fmt.Errorf("caller disconnected: %w", ErrOutcomeUnknown)
		}
	}
}

// leaveRecord notes that a record may be stored after its caller was answered.
func (i *Intake) leaveRecord(r jobs.Record, isLeft *atomic.Bool, why string) {
	isLeft.Store(true)
	i.scope.Counter("records_left").Inc(1)
	i.log.Info("record has no outcome yet", "Key", r.Key, "Cause", why)
}

// logLate logs the outcome of a record that came after its caller was answered.
func (i *Intake) logLate(r jobs.Record, offset int64, since time.Time, err error) {
	age := i.clock.Since(since).Round(time.Millisecond).String()
	if err != nil {
		i.log.Info("late record has no outcome", "Key", r.Key, "Age", age, "Cause", err.Error())
		return
	}
	i.scope.Counter("records_stored_late").Inc(1)
	i.log.Info("late record stored", "Key", r.Key, "Offset", offset, "Age", age)
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

func wrapUnknown(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
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

// Cancel stores the cancellation of a job; it does nothing for a job that has ended or been cancelled.
func (i *Intake) Cancel(ctx context.Context, id string, timeout time.Duration) error {
	p, isKnown := i.findProgress(id)
	if !isKnown {
		// Another host may have just accepted the job. A caller does not repeat a cancel that is answered as gone.
		if err := i.follower.Confirm(ctx, min(confirmTimeout, replyTime(timeout))); err != nil {
			i.log.Info("job table not confirmed for a cancel", "Job", id, "Cause", err.Error())
			return ErrBusy{Why: "job is not known and the store has not confirmed that", RetryAfter: retryAfter}
		}
		p, isKnown = i.findProgress(id)
	}
	if !isKnown {
		i.log.Info("cancel of an unknown job", "Job", id)
		return fmt.Errorf("job %s: %w", id, ErrNoJob)
	}
	if !p.isOpen() {
		return nil
	}
	if err := i.store(ctx, jobs.CancelRecord(id), timeout); err != nil {
		return fmt.Errorf("cancel job %s: %w", id, err)
	}
	i.scope.Counter("jobs_cancelled").Inc(1)
	i.log.Info("cancel accepted", "Job", id)
	return nil
}

// CountPending returns the number of accepted jobs of a queue that have not started.
func (i *Intake) CountPending(q *queue.Queue) (int, error) {
	if err := i.checkTableAge(); err != nil {
		return 0, err
	}
	return i.table.CountPending(q.Name), nil
}
