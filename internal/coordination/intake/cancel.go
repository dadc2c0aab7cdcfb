package intake

import (
	"context"
	"fmt"
	"time"

	"github.com/auburncleat/auburncleat/internal/clock"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

const (
	// confirmTimeout is how long a cancel waits at most for the store to show that its job does not exist.
	confirmTimeout = 900 * time.Millisecond
	// maxKeptCancels limits the cancellations that are kept, so that callers who cancel jobs that do not exist cannot exhaust the memory
	// of the hosts.
	maxKeptCancels = 10_000
)

// Cancel stores the cancellation of a job; it does nothing for a job that has ended or been cancelled. A job that is not known is cancelled as
// well, since its record may be stored later: by the writer of a host whose caller was told that the outcome is not known, or by a repeat.
func (i *Intake) Cancel(ctx context.Context, id string, timeout time.Duration) error {
	since := i.clock.Instant()
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
		return i.cancelUnknown(ctx, id, timeout, since)
	}
	if !p.isOpen() {
		return nil
	}
	if _, err := i.store(ctx, jobs.CancelRecord(id), timeout-i.clock.Age(since)); err != nil {
		return fmt.Errorf("cancel job %s: %w", id, err)
	}
	i.logCancel(id)
	return nil
}

func (i *Intake) logCancel(id string) {
	i.scope.Counter("jobs_cancelled").Inc(1)
	i.log.Info("cancel accepted", "Job", id)
}

// cancelUnknown stores the cancellation of a job that is not known, and returns ErrNoJob if the job was not stored before that.
func (i *Intake) cancelUnknown(ctx context.Context, id string, timeout time.Duration, since clock.Instant) error {
	if n := i.table.CountCancels(); n >= maxKeptCancels {
		why := fmt.Sprintf("job is not known, and %d cancellations are kept already", n)
		return ErrBusy{Why: why, RetryAfter: retryAfter, IsFull: true}
	}
	offset, err := i.store(ctx, jobs.CancelRecord(id), timeout-i.clock.Age(since))
	if err != nil {
		return fmt.Errorf("cancel unknown job %s: %w", id, err)
	}
	if i.isKnownBefore(ctx, id, offset, timeout-i.clock.Age(since)) {
		i.logCancel(id)
		return nil
	}
	i.scope.Counter("unknown_jobs_cancelled").Inc(1)
	i.log.Info("cancel of an unknown job accepted", "Job", id, "Offset", offset)
	return fmt.Errorf("job %s: %w", id, ErrNoJob)
}

// isKnownBefore reports whether a job was stored before an offset, or may have been.
func (i *Intake) isKnownBefore(ctx context.Context, id string, offset int64, timeout time.Duration) bool {
	if err := i.follower.ReadTo(ctx, offset, min(confirmTimeout, replyTime(timeout))); err != nil {
		i.log.Info("job table not read up to a cancel", "Job", id, "Cause", err.Error())
		return true
	}
	_, isKnown := i.findProgress(id)
	return isKnown
}
