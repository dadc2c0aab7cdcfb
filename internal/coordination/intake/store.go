package intake

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/feed"
	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
	"github.com/pkg/errors"
)

// result is the outcome of an append of one record.
type result struct {
	offset int64
	err    error
}

// errNotTaken says that a record was withdrawn before the store took it.
var errNotTaken = ErrBusy{Why: "store did not take the record", RetryAfter: retryAfter}

// store appends one record, waits for the reply of the store and returns the offset of the record. It returns ErrBusy only if the record is not
// stored and will not be.
func (i *Intake) store(ctx context.Context, r jobs.Record, timeout time.Duration) (offset int64, err error) {
	if s := i.writer.Stalled(); s > storeTimeout {
		return 0, ErrBusy{Why: fmt.Sprintf("store has not answered for %s", s.Round(time.Millisecond)), RetryAfter: retryDelay(s)}
	}
	if s := i.writer.Refused(); s > 0 {
		return 0, ErrBusy{Why: fmt.Sprintf("store refused an append %s ago", s.Round(time.Millisecond)), RetryAfter: retryAfter}
	}
	done := make(chan result, 1)
	var isAnswered atomic.Bool
	since := i.clock.Now()
	item := &feed.EntryGroup{Entries: []port.Entry{{Key: r.Key, Value: r.Value}}}
	item.Done = func(first int64, err error) {
		if isAnswered.Load() {
			i.logLate(r, first, since, err)
		}
		if err == nil {
			err = i.table.Apply(first, r)
		}
		done <- result{first, err}
	}
	i.writer.Submit(item)
	storeDeadline := i.clock.After(storeTimeout)
	deadline := i.clock.After(replyTime(timeout))
	for {
		select {
		case x := <-done:
			if errors.Is(x.err, feed.ErrWithdrawn) {
				return 0, errNotTaken
			}
			return x.offset, wrapUnknown(x.err)
		case <-storeDeadline:
			if i.writer.Withdraw(item) {
				return 0, errNotTaken
			}
		case <-deadline:
			if i.writer.Withdraw(item) {
				return 0, errNotTaken
			}
			i.leaveRecord(r, &isAnswered, "store did not answer in time")
			return 0, fmt.Errorf("store did not answer in time: %w", ErrOutcomeUnknown)
		case <-ctx.Done():
			if i.writer.Withdraw(item) {
				return 0, errNotTaken
			}
			i.leaveRecord(r, &isAnswered, "caller disconnected")
			return 0, fmt.Errorf("caller disconnected: %w", ErrOutcomeUnknown)
		}
	}
}

// leaveRecord notes that a record may be stored after its caller was answered.
func (i *Intake) leaveRecord(r jobs.Record, isAnswered *atomic.Bool, why string) {
	isAnswered.Store(true)
	i.scope.Counter("records_left").Inc(1)
	i.log.Info("record has no outcome yet", "Key", r.Key, "Cause", why)
}

// logLate logs the outcome of a record that came after its caller was answered.
func (i *Intake) logLate(r jobs.Record, offset int64, since time.Time, err error) {
	age := i.clock.Since(since).Round(time.Millisecond).String()
	if err != nil {
		i.log.Info("late record not confirmed", "Key", r.Key, "Age", age, "Cause", err.Error())
		return
	}
	i.scope.Counter("records_stored_late").Inc(1)
	i.log.Info("late record stored", "Key", r.Key, "Offset", offset, "Age", age)
}

func wrapUnknown(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}
