package jobs

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/pkg/errors"
)

// ErrMalformed is returned for a record that can be decoded but has invalid content.
var ErrMalformed = errors.New("record is malformed")

// maxRun limits the number of a run and of failed runs, so that those after it fit into a record.
const maxRun = 1 << 30

// Table holds the jobs as rebuilt from the records of the store. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	jobs map[string]*Job
	// orphans holds the units whose records were read before the record of their job, by job id.
	orphans map[string]map[UnitKey]*Unit
	// cancels holds the offsets of the cancellation records by job id. A job whose record comes after that of its cancellation is cancelled.
	cancels map[string]int64
	// changed holds the ids of jobs that changed since the last TakeChanged.
	changed map[string]bool
	wake    chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		jobs: map[string]*Job{}, orphans: map[string]map[UnitKey]*Unit{}, cancels: map[string]int64{}, changed: map[string]bool{},
		wake: make(chan struct{}, 1),
	}
}

// StoredRecord is a record with its offset in the store.
type StoredRecord struct {
	Record
	Offset int64
}

// Reload replaces what was applied from offsets below before with the newest records of all keys. It skips records that
// cannot be applied and returns the error of the last of them.
func (t *Table) Reload(rs []StoredRecord, before int64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, cancels := t.jobs, t.cancels
	t.jobs = map[string]*Job{}
	t.orphans = map[string]map[UnitKey]*Unit{}
	t.cancels = map[string]int64{}
	var err error
	for _, r := range rs {
		if e := t.apply(r.Offset, r.Record); e != nil {
			err = e
		}
	}
	for id, j := range old {
		t.restoreNewer(id, j, before)
	}
	for id, offset := range cancels {
		if offset >= before {
			t.applyCancel(offset, CancelRecord(id))
		}
	}
	return err
}

// restoreNewer restores what was applied of a job from an offset on, as the reloaded records may lack it.
func (t *Table) restoreNewer(id string, old *Job, from int64) {
	j := t.jobs[id]
	if old.offset >= from && (j == nil || j.State == Open && old.State != Open) {
		t.jobs[id] = old
		t.markChanged(id)
		return
	}
	if j == nil || j.State != Open {
		return
	}
	for k, u := range old.units {
		if x := j.units[k]; u.offset >= from && (x == nil || x.offset < u.offset) {
			j.setUnit(u)
		}
	}
}

// Apply applies the record at an offset; a record older than the one known for its key is ignored.
func (t *Table) Apply(offset int64, r Record) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.apply(offset, r)
}

func (t *Table) apply(offset int64, r Record) error {
	switch {
	case strings.HasPrefix(r.Key, jobPrefix):
		return t.applyJob(offset, r)
	case strings.HasPrefix(r.Key, endPrefix):
		return t.applyEnd(offset, r)
	case strings.HasPrefix(r.Key, cancelPrefix):
		t.applyCancel(offset, r)
		return nil
	case strings.HasPrefix(r.Key, unitPrefix):
		return t.applyUnit(offset, r)
	default:
		return fmt.Errorf("record with key %q has an unknown prefix", r.Key)
	}
}

func (t *Table) applyJob(offset int64, r Record) error {
	id := strings.TrimPrefix(r.Key, jobPrefix)
	if t.jobs[id] != nil || len(r.Value) == 0 {
		// A repeated request writes the same job again. A tombstone is ignored, as the tombstone of the end record
		// removes the job.
		return nil
	}
	j, err := decodeJob(r.Value)
	if err != nil {
		return fmt.Errorf("apply %s: %w", r.Key, err)
	}
	if why := j.Check(); j.ID != id || !IsID(id) || why != "" {
		return fmt.Errorf("apply %q: job id %q, check %q: %w", r.Key, j.ID, why, ErrMalformed)
	}
	j.offset, j.footprint = offset, j.Footprint()
	j.units = map[UnitKey]*Unit{}
	for k, u := range t.orphans[id] {
		if j.hasUnit(k) {
			j.setUnit(u)
		}
	}
	delete(t.orphans, id)
	_, j.IsCancelling = t.cancels[id]
	t.jobs[id] = j
	t.markChanged(id)
	return nil
}

// applyEnd replaces a job by its end, which no later record of the job or its units changes.
func (t *Table) applyEnd(offset int64, r Record) error {
	id := strings.TrimPrefix(r.Key, endPrefix)
	old := t.jobs[id]
	if old != nil && old.State != Open && old.offset >= offset {
		return nil
	}
	if len(r.Value) == 0 {
		if old != nil && old.State != Open {
			delete(t.jobs, id)
		}
		return nil
	}
	j, err := decodeJob(r.Value)
	if err != nil {
		return fmt.Errorf("apply %s: %w", r.Key, err)
	}
	if j.ID != id || !j.State.isEnd() {
		return fmt.Errorf("apply %q: job id %q, state %d: %w", r.Key, j.ID, j.State, ErrMalformed)
	}
	j.offset = offset
	delete(t.orphans, id)
	t.jobs[id] = j
	t.markChanged(id)
	return nil
}

func (t *Table) applyCancel(offset int64, r Record) {
	id := strings.TrimPrefix(r.Key, cancelPrefix)
	if len(r.Value) == 0 {
		delete(t.cancels, id)
		return
	}
	t.cancels[id] = offset
	if j := t.jobs[id]; j != nil && !j.IsCancelling {
		j.IsCancelling = true
		t.markChanged(id)
	}
}

func (t *Table) applyUnit(offset int64, r Record) error {
	k, ok := ParseUnitKey(strings.TrimPrefix(r.Key, unitPrefix))
	if !ok {
		return fmt.Errorf("record with key %q has an invalid unit key", r.Key)
	}
	j := t.jobs[k.Job]
	if len(r.Value) == 0 {
		if j != nil && j.units[k] != nil && j.units[k].offset < offset {
			delete(j.units, k)
		}
		return nil
	}
	u, err := decodeUnit(r.Value)
	if err != nil {
		return fmt.Errorf("apply %s: %w", r.Key, err)
	}
	if u.Key != k || u.Run < 0 || u.Run > maxRun || u.Failures < 0 || u.Failures > maxRun {
		return fmt.Errorf("apply %q: value for unit %q, run %d, %d failures: %w", r.Key, u.Key, u.Run, u.Failures, ErrMalformed)
	}
	u.offset = offset
	if j == nil {
		t.addOrphan(u)
		return nil
	}
	if j.State != Open {
		return nil
	}
	if !j.hasUnit(k) {
		return fmt.Errorf("apply %s: job does not have this unit: %w", r.Key, ErrMalformed)
	}
	if old := j.units[k]; old != nil && old.offset >= offset {
		return nil
	}
	j.setUnit(u)
	return nil
}

// addOrphan keeps the newest run of a unit whose job is not known.
func (t *Table) addOrphan(u *Unit) {
	of := t.orphans[u.Key.Job]
	if of == nil {
		of = map[UnitKey]*Unit{}
		t.orphans[u.Key.Job] = of
	}
	if old := of[u.Key]; old == nil || old.offset < u.offset {
		of[u.Key] = u
	}
}

// markChanged marks a job as added, cancelled or ended, and wakes the owner.
func (t *Table) markChanged(id string) {
	t.changed[id] = true
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that receives after jobs were added, cancelled or ended.
func (t *Table) Wake() <-chan struct{} {
	return t.wake
}

// TakeChanged returns the ids of the jobs that were added, cancelled or ended since the last call.
func (t *Table) TakeChanged() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.changed))
	for id := range t.changed {
		out = append(out, id)
	}
	clear(t.changed)
	return out
}

// FindOpen returns the ids of all jobs that have not ended.
func (t *Table) FindOpen() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, j := range t.jobs {
		if j.State == Open {
			out = append(out, id)
		}
	}
	return out
}

// FindEndedBefore returns the ids of jobs that ended before a time.
func (t *Table) FindEndedBefore(at time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, j := range t.jobs {
		if j.State != Open && j.Ended.Before(at) {
			out = append(out, id)
		}
	}
	return out
}

// View calls f with a job, or nil if it is not known, while the table is locked.
func (t *Table) View(id string, f func(j *Job)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.jobs[id])
}

// CountCancels returns the number of cancellations that are kept.
func (t *Table) CountCancels() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.cancels)
}

// FindStrayCancels returns the offsets of the cancellations of jobs that are not known, by job id.
func (t *Table) FindStrayCancels() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int64{}
	for id, offset := range t.cancels {
		if t.jobs[id] == nil {
			out[id] = offset
		}
	}
	return out
}

// CountPending returns the number of open jobs of a queue that have not started.
func (t *Table) CountPending(queue string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, j := range t.jobs {
		if j.Queue == queue && j.IsOpen() && !j.HasStarted() {
			n++
		}
	}
	return n
}

// CountOpen returns the number of jobs that have not ended, and the memory that they take on the owner.
func (t *Table) CountOpen() (n int, footprint fleet.Bytes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.jobs {
		if j.State == Open {
			n++
			footprint += j.footprint
		}
	}
	return n, footprint
}
