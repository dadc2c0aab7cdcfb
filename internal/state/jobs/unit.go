package jobs

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// WholeGang is the index of a unit that holds all tasks of a gang.
const WholeGang = -1

// UnitKey names a unit.
type UnitKey struct {
	Job   string
	Step  int
	Index int
}

// String renders the key as job, step and index.
func (k UnitKey) String() string {
	return fmt.Sprintf("%s/%d/%d", k.Job, k.Step, k.Index)
}

// ParseUnitKey reads what String renders.
func ParseUnitKey(s string) (UnitKey, bool) {
	p := strings.Split(s, "/")
	if len(p) != 3 {
		return UnitKey{}, false
	}
	step, err := strconv.Atoi(p[1])
	if err != nil {
		return UnitKey{}, false
	}
	index, err := strconv.Atoi(p[2])
	if err != nil {
		return UnitKey{}, false
	}
	return UnitKey{Job: p[0], Step: step, Index: index}, true
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
