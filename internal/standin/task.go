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

const maxAnswer = 1 << 20

// Work is the payload that stand-in workers understand.
type Work struct {
	Kind        string
	RunMillis   int64
	AnswerBytes int
	FailAlways  bool
	MemoryBytes int64
	Key         string
}

// Answer returns the n bytes that a task of a job answers, so that a caller can check them.
func Answer(job string, task, n int) []byte {
	b := make([]byte, 0, n+8)
	for i := uint64(0); len(b) < n; i++ {
		d := xxhash.Sum64String(job + "/" + strconv.Itoa(task) + "/" + strconv.FormatUint(i, 10))
		b = binary.LittleEndian.AppendUint64(b, d)
	}
	return b[:n]
}

type refusal struct {
	code string
	text string
}

func (r refusal) Error() string {
	return r.code + ": " + r.text
}

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

func (u *usage) over(w store.Worker) string {
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

// task computes its state from the time at which it is asked, so that no goroutine has to run it.
type task struct {
	msg      worker.Task
	work     Work
	fail     bool
	state    fleet.TaskState
	change   uint64
	started  time.Time
	since    time.Time
	progress time.Duration
	saved    time.Duration
	share    float64
	stopAt   time.Time
	memory   int64
}

func newTask(m worker.Task, fail bool) *task {
	t := &task{msg: m, fail: fail, state: fleet.TaskPrepared, share: 1}
	if err := json.Unmarshal(m.Work, &t.work); err != nil {
		t.fail = true
	}
	t.fail = t.fail || t.work.FailAlways
	t.work.AnswerBytes = max(0, min(t.work.AnswerBytes, maxAnswer))
	t.progress = time.Duration(m.ProgressMillis) * time.Millisecond
	t.saved = t.progress
	return t
}

func (t *task) start(now time.Time) {
	t.state = fleet.TaskRunning
	t.started = now
	t.since = now
}

func (t *task) at(now time.Time) time.Duration {
	return t.progress + time.Duration(float64(now.Sub(t.since))*t.share)
}

func (t *task) throttle(now time.Time, share float64) {
	if t.state == fleet.TaskRunning {
		t.progress = t.at(now)
		t.since = now
	}
	t.share = max(0, min(1, share))
}

func (t *task) stop(now time.Time, grace time.Duration) {
	if !t.stopAt.IsZero() {
		return
	}
	t.stopAt = now
	if grace >= checkpointTime {
		t.stopAt = now.Add(checkpointTime)
		t.saved = t.at(t.stopAt)
	}
}

// settle moves a running task on to now and reports whether its state changed; last stops it there.
func (t *task) settle(now time.Time, last bool) bool {
	end := now
	if !t.stopAt.IsZero() && !t.stopAt.After(now) {
		end = t.stopAt
		last = true
	}
	length := time.Duration(t.work.RunMillis) * time.Millisecond
	switch {
	case t.fail && t.at(end) >= min(length, checkpointTime):
		t.state = fleet.TaskFailed
	case !t.fail && t.at(end) >= length:
		t.state = fleet.TaskDone
		t.saved = length
	case last:
		t.state = fleet.TaskStopped
	default:
		return false
	}
	t.progress = t.saved
	return true
}

// measure reports whether the use of memory became known, which happens late.
func (t *task) measure(now time.Time, lag time.Duration) bool {
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
		p.ProgressMillis = t.at(now).Milliseconds()
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
