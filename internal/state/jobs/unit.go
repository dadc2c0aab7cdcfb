package jobs

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// WholeGang is the index of a unit that holds all tasks of a gang.
const WholeGang = -1

// UnitKey names a unit; occurrences count from 0.
type UnitKey struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String renders the key as job, step and index, and the occurrence behind them unless it is the first.
func (k UnitKey) String() string {
	if k.Occurrence == 0 {
		return fmt.Sprintf("%s/%d/%d", k.Job, k.Step, k.Index)
	}
	return fmt.Sprintf("%s/%d/%d/%d", k.Job, k.Step, k.Index, k.Occurrence)
}

// ParseUnitKey reads what String renders.
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

// Result says how a run ended.
type Result int

// Results of a run; a unit with Running has not ended.
const (
	Running Result = iota
	Done
	FailedRun
	Stopped
	Lost
)

// Member places one task on one lifetime of a worker.
type Member struct {
	Worker   string
	Instance string
}

// Unit is the newest run of the tasks that start together.
type Unit struct {
	Key UnitKey
	// Run counts the starts of the unit from 1.
	Run      int
	Failures int
	Result   Result
	// Members are in the order of the task indices.
	Members []Member
	// Checkpoint is the newest saved progress, which the next run resumes.
	Checkpoint string
	// Progress is the run time that the checkpoint saves.
	Progress time.Duration

	offset int64
}

// TaskIndex returns the index of the task that a member runs.
func (u *Unit) TaskIndex(member int) int {
	if u.Key.Index == WholeGang {
		return member
	}
	return u.Key.Index
}
