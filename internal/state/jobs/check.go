package jobs

import (
	"fmt"
	"math"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

const (
	// maxOccurrences and maxTasks limit the size of a job, so that one request cannot exhaust the memory of the hosts.
	maxOccurrences = 10_000
	maxTasks       = 100_000
)

// earliest and latest bound the times that a record holds in nanoseconds.
var (
	earliest = time.Unix(0, math.MinInt64)
	latest   = time.Unix(0, math.MaxInt64)
)

// Check returns why the job is invalid, or an empty string if it is valid.
func (j *Job) Check() string {
	if len(j.Steps) == 0 {
		return "a job needs a step"
	}
	if t := j.Times; t != nil {
		if why := t.check(); why != "" {
			return why
		}
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if why := s.check(i); why != "" {
			return why
		}
		if tasks += s.Tasks * j.Occurrences(); tasks > maxTasks {
			return tooManyTasks()
		}
	}
	return ""
}

func tooManyTasks() string {
	return fmt.Sprintf("a job has at most %d tasks", maxTasks)
}

// check returns why the schedule is invalid, or an empty string.
func (t *Times) check() string {
	switch {
	case t.Count < 1 || t.Count > maxOccurrences || t.Every < 0:
		return fmt.Sprintf("a job has 1 to %d occurrences, one after the other", maxOccurrences)
	case t.Every > math.MaxInt64/time.Duration(t.Count), t.First.Before(earliest), t.First.After(latest):
		return "a schedule is too far away or too long"
	}
	return ""
}

// check returns why the step with an index is invalid, or an empty string.
func (s *Step) check(index int) string {
	switch {
	case s.Tasks < 1:
		return "a step needs a task"
	case s.Tasks > maxTasks:
		return tooManyTasks()
	case s.Accelerators < 0 || s.Processors < 0 || s.Memory < 0 || s.Estimate < 0 || s.PerWorker < 0 || s.MayMiss < 0:
		return "what a step asks for cannot be below zero"
	case s.Accelerators > fleet.MaxAccelerators || s.Processors > fleet.MaxProcessors || s.Memory > fleet.MaxMemory:
		return "a task asks for more than any worker has"
	case s.PerWorker > math.MaxInt32 || s.MayMiss > math.MaxInt32:
		return "a limit of a step is too large"
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return "a step can only start after earlier steps"
		}
	}
	return ""
}
