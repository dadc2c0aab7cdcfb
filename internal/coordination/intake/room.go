package intake

import (
	"fmt"
	"sync"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/state/jobs"
)

const (
	// A job is small up to the limit divided by smallJobDivisor. The others leave a quarter of the limit to small jobs.
	smallJobDivisor = 64
	largeJobsShare  = 0.75
)

// room reserves memory for jobs from their check until they are in the job table, so that jobs that arrive together do not
// all count on the same memory.
type room struct {
	mu       sync.Mutex
	reserved fleet.Bytes
	jobs     int
}

// take reserves the memory of a job, and returns the function that returns it or the reason why there is none.
func (r *room) take(t *jobs.Table, need fleet.Bytes, m Limits) (release func(), err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, used := t.CountOpen()
	if err := checkRoom(n+r.jobs, used+r.reserved, need, m); err != nil {
		return nil, err
	}
	r.reserved += need
	r.jobs++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reserved -= need
		r.jobs--
	}, nil
}

// checkRoom returns the reason why there is no room for a job beside the open ones.
func checkRoom(open int, used, need fleet.Bytes, m Limits) error {
	if m.MaxOpenJobs > 0 && open >= m.MaxOpenJobs {
		return ErrBusy{Why: fmt.Sprintf("%d jobs are open, the limit is %d", open, m.MaxOpenJobs), RetryAfter: retryAfter, IsFull: true}
	}
	if m.JobMemory <= 0 {
		return nil
	}
	limit := m.JobMemory
	if need > limit/smallJobDivisor {
		limit = fleet.Bytes(float64(limit) * largeJobsShare)
	}
	if need > limit {
		return fmt.Errorf("job takes %d bytes of memory, the limit is %d: %w", need, limit, ErrInvalid)
	}
	if used+need > limit {
		return ErrBusy{Why: fmt.Sprintf("open jobs take %d of %d bytes, the job %d", used, limit, need), RetryAfter: retryAfter, IsFull: true}
	}
	return nil
}
