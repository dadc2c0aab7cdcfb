package jobs

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrMalformed says that a record can be decoded but tells of what cannot be.
var ErrMalformed = errors.New("record is malformed")

// Table is the fold of all records; it is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	jobs map[string]*Job
	// early holds records of units and cancels that came before their job.
	early   map[string][]*Unit
	cancels map[string]int64
	touched map[string]bool
	wake    chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		jobs: map[string]*Job{}, early: map[string][]*Unit{}, cancels: map[string]int64{}, touched: map[string]bool{},
		wake: make(chan struct{}, 1),
	}
}

// Stored is a record with the offset under which it is stored.
type Stored struct {
	Record
	Offset int64
}

// Reload replaces all that was folded from before an offset by the newest records of all keys, and returns the error of
// the last record that cannot be folded.
func (t *Table) Reload(rs []Stored, before int64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.jobs
	t.jobs = map[string]*Job{}
	t.early = map[string][]*Unit{}
	t.cancels = map[string]int64{}
	var err error
	for _, r := range rs {
		if e := t.apply(r.Offset, r.Record); e != nil {
			err = e
		}
	}
	for id, j := range old {
		t.keepNewer(id, j, before)
	}
	return err
}

// keepNewer takes over what was folded of a job from an offset on, which the records that were read may lack.
func (t *Table) keepNewer(id string, old *Job, from int64) {
	j := t.jobs[id]
	if old.offset >= from && (j == nil || j.State == Open && old.State != Open) {
		t.jobs[id] = old
		t.touch(id)
		return
	}
	if j == nil || j.State != Open {
		return
	}
	for k, u := range old.units {
		if x := j.units[k]; u.offset >= from && (x == nil || x.offset < u.offset) {
			j.units[k] = u
		}
	}
}

// Apply folds the record at an offset; a record older than what is known of its key changes nothing.
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
		return fmt.Errorf("record with key %q is of no known kind", r.Key)
	}
}

func (t *Table) applyJob(offset int64, r Record) error {
	id := strings.TrimPrefix(r.Key, jobPrefix)
	if t.jobs[id] != nil || len(r.Value) == 0 {
		// A repeat of a request is the same job, and a job is forgotten with its end.
		return nil
	}
	j, err := decodeJob(r.Value)
	if err != nil {
		return fmt.Errorf("apply %s: %w", r.Key, err)
	}
	if why := j.Check(); j.ID != id || why != "" {
		return fmt.Errorf("apply %s: job %q, %s: %w", r.Key, j.ID, why, ErrMalformed)
	}
	j.offset = offset
	j.units = map[UnitKey]*Unit{}
	for _, u := range t.early[id] {
		if j.hasUnit(u.Key) {
			j.units[u.Key] = u
		}
	}
	delete(t.early, id)
	_, j.IsCancelling = t.cancels[id]
	t.jobs[id] = j
	t.touch(id)
	return nil
}

// applyEnd replaces a job by its end, which stands whatever else comes of the job.
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
	j.offset = offset
	delete(t.early, id)
	t.jobs[id] = j
	t.touch(id)
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
		t.touch(id)
	}
}

func (t *Table) applyUnit(offset int64, r Record) error {
	k, ok := ParseUnitKey(strings.TrimPrefix(r.Key, unitPrefix))
	if !ok {
		return fmt.Errorf("record with key %q names no unit", r.Key)
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
	if u.Key != k || u.Run < 0 {
		return fmt.Errorf("apply %s: unit %s, run %d: %w", r.Key, u.Key, u.Run, ErrMalformed)
	}
	u.offset = offset
	if j == nil {
		t.early[k.Job] = append(t.early[k.Job], u)
		return nil
	}
	if j.State != Open {
		return nil
	}
	if !j.hasUnit(k) {
		return fmt.Errorf("apply %s: job has no such unit: %w", r.Key, ErrMalformed)
	}
	if old := j.units[k]; old != nil && old.offset >= offset {
		return nil
	}
	j.units[k] = u
	return nil
}

// touch notes for the owner that a job came, was cancelled or ended.
func (t *Table) touch(id string) {
	t.touched[id] = true
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Wake receives after jobs came, were cancelled or ended.
func (t *Table) Wake() <-chan struct{} {
	return t.wake
}

// TakeTouched returns the ids of jobs that came, were cancelled or ended since the last call.
func (t *Table) TakeTouched() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.touched))
	for id := range t.touched {
		out = append(out, id)
	}
	clear(t.touched)
	return out
}

// FindOpen returns the ids of all jobs that have no end yet.
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

// View calls f with a job, or nil, while the table does not change.
func (t *Table) View(id string, f func(j *Job)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.jobs[id])
}

// CountPending returns how many open jobs of a queue have not started.
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

// CountOpen returns how many jobs have no end yet.
func (t *Table) CountOpen() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, j := range t.jobs {
		if j.State == Open {
			n++
		}
	}
	return n
}
