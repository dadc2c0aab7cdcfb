package jobs

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// WholeGang is the index of a unit that holds all tasks of a gang.
const WholeGang = -1

// UnitKey identifies a unit. Occurrence, Step and Index count from 0; Index is WholeGang for a gang.
type UnitKey struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns job, step and index separated by slashes, followed by the occurrence unless it is the first.
func (k UnitKey) String() string {
	if k.Occurrence == 0 {
		return fmt.Sprintf("%s/%d/%d", k.Job, k.Step, k.Index)
	}
	return fmt.Sprintf("%s/%d/%d/%d", k.Job, k.Step, k.Index, k.Occurrence)
}

// ParseUnitKey parses the format of String.
func ParseUnitKey(s string) (UnitKey, bool) {
	p := strings.Split(s, "/")
	if len(p) != 3 && len(p) != 4 {
		return UnitKey{}, false
	}
	k := UnitKey{Job: p[0]}
	for i, to := range []*int{&k.Step, &k.Index, &k.Occurrence}[:len(p)-1] {
		n, err := strconv.Atoi(p[i+1])
		if err != nil {
			return UnitKey{}, false
		}
		*to = n
	}
	return k, true
}

// Result is the state of a run.
type Result int

// Results of a run; Running means that it has not ended.
const (
	Running Result = iota
	Done
	FailedRun
	Stopped
	Lost
)

// Member is the worker, and its instance between start and end, on which one task runs.
type Member struct {
	Worker   string
	Instance string
	// IsSettled is set if the instance held no lease by an order for a former instance when the task was placed there.
	IsSettled bool
}

// Unit is the newest run of tasks that start together.
type Unit struct {
	Key UnitKey
	// Run is the number of this run, counted from 1.
	Run      int
	Failures int
	Result   Result
	// IsUnbegun is set while no worker has shown that it began a task of the unit in any run.
	IsUnbegun bool
	// Members are ordered by task index.
	Members []Member
	// Checkpoint is the newest one, from which the next run resumes.
	Checkpoint string
	// Progress is the run time saved by the checkpoint.
	Progress time.Duration
	// MaxAttempts is the maximum number of failed runs that was in force when the run was recorded; zero if unknown.
	MaxAttempts int

	offset int64
}

// TaskIndex returns the index of the task that a member runs.
func (u *Unit) TaskIndex(member int) int {
	if u.Key.Index == WholeGang {
		return member
	}
	return u.Key.Index
}
