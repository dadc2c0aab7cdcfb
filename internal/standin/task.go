package standin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/auburncleat/auburncleat/internal/transport/store"
	"github.com/auburncleat/auburncleat/internal/transport/worker"
	"github.com/cespare/xxhash/v2"
)

const maxAnswerBytes = 1 << 20

// Work is the payload of a task for stand-in workers.
type Work struct {
	Kind        string
	RunMillis   int64
	AnswerBytes int
	FailAlways  bool
	MemoryBytes int64
	Key         string
}

// Answer returns the answer of n bytes that a task of a job gives, which a caller can recompute to check it.
func Answer(job string, task, n int) []byte {
	b := make([]byte, 0, n+8)
	for i := uint64(0); len(b) < n; i++ {
		d := xxhash.Sum64String(job + "/" + strconv.Itoa(task) + "/" + strconv.FormatUint(i, 10))
		b = binary.LittleEndian.AppendUint64(b, d)
	}
	return b[:n]
}

// refusal is an error with its code on the wire.
type refusal struct {
	code string
	text string
}

func (r refusal) Error() string {
	return r.code + ": " + r.text
}

// usage is the sum of the resources of tasks.
type usage struct {
	slots        int
	accelerators int
	processors   int
	memory       int64
}

func (u *usage) add(s worker.Shape) {
	u.slots++
	u.accelerators += s.Accelerators
	u.processors += s.Processors
	u.memory += s.MemoryBytes
}

// exceeds describes the resource of which a worker has too little, or returns an empty string.
func (u *usage) exceeds(w store.Worker) string {
	switch {
	case u.slots > w.Slots:
		return fmt.Sprintf("%d tasks exceed %d slots", u.slots, w.Slots)
	case u.accelerators > w.Accelerators:
		return fmt.Sprintf("%d accelerators exceed %d", u.accelerators, w.Accelerators)
	case u.processors > w.Processors:
		return fmt.Sprintf("%d processors exceed %d", u.processors, w.Processors)
	case u.memory > w.MemoryBytes:
		return fmt.Sprintf("%d bytes of memory exceed %d", u.memory, w.MemoryBytes)
	}
	return ""
}

// task is a simulated task; its state is computed from the clock when it is read, so no goroutine runs it.
type task struct {
	msg          worker.Task
	work         Work
	isFailing    bool
	state        fleet.TaskState
	changeNumber uint64
	started      time.Time
	progressAt   time.Time
	progress     time.Duration
	checkpoint   time.Duration
	speed        float64
	stopAt       time.Time
	memory       int64
}

func newTask(m worker.Task, fail bool) *task {
	t := &task{msg: m, isFailing: fail, state: fleet.TaskPrepared, speed: 1}
	if err := json.Unmarshal(m.Work, &t.work); err != nil {
		t.isFailing = true
	}
	t.isFailing = t.isFailing || t.work.FailAlways
	t.work.AnswerBytes = max(0, min(t.work.AnswerBytes, maxAnswerBytes))
	t.progress = time.Duration(m.ProgressMillis) * time.Millisecond
	t.checkpoint = t.progress
	return t
}

func (t *task) start(now time.Time) {
	t.state = fleet.TaskRunning
	t.started = now
	t.progressAt = now
}

// progressUntil returns the progress of a running task at the given time.
func (t *task) progressUntil(now time.Time) time.Duration {
	return t.progress + time.Duration(float64(now.Sub(t.progressAt))*t.speed)
}

func (t *task) throttle(now time.Time, share float64) {
	if t.state == fleet.TaskRunning {
		t.progress = t.progressUntil(now)
		t.progressAt = now
	}
	t.speed = max(0, min(1, share))
}

// stop ends a task, after it has saved its progress if the grace period allows.
func (t *task) stop(now time.Time, grace time.Duration) {
	if !t.stopAt.IsZero() {
		return
	}
	t.stopAt = now
	if grace >= checkpointTime {
		t.stopAt = now.Add(checkpointTime)
		t.checkpoint = t.progressUntil(t.stopAt)
	}
}

// advance updates a running task to the given time and reports whether its state changed; isLast stops it at that time.
func (t *task) advance(now time.Time, isLast bool) bool {
	end := now
	if !t.stopAt.IsZero() && !t.stopAt.After(now) {
		end = t.stopAt
		isLast = true
	}
	length := time.Duration(t.work.RunMillis) * time.Millisecond
	switch {
	case t.isFailing && t.progressUntil(end) >= min(length, checkpointTime):
		t.state = fleet.TaskFailed
	case !t.isFailing && t.progressUntil(end) >= length:
		t.state = fleet.TaskDone
		t.checkpoint = length
	case isLast:
		t.state = fleet.TaskStopped
	default:
		return false
	}
	t.progress = t.checkpoint
	return true
}

// updateMemory reports whether the memory usage has just become known, which takes the given lag after the start.
func (t *task) updateMemory(now time.Time, lag time.Duration) bool {
	if t.memory != 0 || now.Sub(t.started) < lag || t.work.MemoryBytes == 0 {
		return false
	}
	t.memory = t.work.MemoryBytes
	return true
}

func (t *task) answer() []byte {
	return Answer(t.msg.Ref.Job, t.msg.Ref.Task, t.work.AnswerBytes)
}

func (t *task) report(now time.Time, full bool) worker.TaskReport {
	p := worker.TaskReport{
		Task:           t.msg,
		State:          string(t.state),
		Started:        !t.started.IsZero(),
		ProgressMillis: t.progress.Milliseconds(),
		MemoryBytes:    t.memory,
	}
	if !full {
		p.Task.Work = nil
	}
	switch t.state {
	case fleet.TaskRunning:
		p.ProgressMillis = t.progressUntil(now).Milliseconds()
	case fleet.TaskFailed:
		p.Error = "the task failed"
	case fleet.TaskDone:
		a := t.answer()
		p.AnswerBytes = int64(len(a))
		p.AnswerDigest = xxhash.Sum64(a)
	default:
	}
	return p
}
