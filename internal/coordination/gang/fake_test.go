package gang

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
	"github.com/cespare/xxhash/v2"
)

// fault is a fault injected into one call of a fake worker.
type fault int

const (
	noFault fault = iota
	loseRequest
	loseReply
	late
	noRoom
)

const lateDelay = 3 * time.Second

type fakeTask struct {
	report    fleet.TaskReport
	startedAt time.Time
}

// fakeWorker is an in-memory worker; faultFor, delay, run and answer control how it behaves.
type fakeWorker struct {
	name     string
	addr     netip.AddrPort
	faultFor func(op string) fault
	delay    func(op string) time.Duration
	// run returns the run time of a task; a negative value means that the task fails after that time.
	run    func(fleet.TaskRef) time.Duration
	answer func(fleet.TaskRef) []byte

	mu    sync.Mutex
	term  fleet.Term
	tasks map[fleet.TaskRef]*fakeTask
	calls map[string]int
	// startCounts counts how often each task was started.
	startCounts   map[fleet.TaskRef]int
	isUnreachable bool
}

type addr = netip.AddrPort

type fakeFleet struct {
	workers []*fakeWorker
	byAddr  map[netip.AddrPort]*fakeWorker
}

func newFleet(n int) *fakeFleet {
	f := &fakeFleet{byAddr: map[netip.AddrPort]*fakeWorker{}}
	for i := range n {
		w := &fakeWorker{
			name:        fmt.Sprintf("w%03d", i),
			addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
			faultFor:    func(string) fault { return noFault },
			delay:       func(string) time.Duration { return time.Millisecond },
			run:         func(fleet.TaskRef) time.Duration { return time.Minute },
			answer:      func(r fleet.TaskRef) []byte { return fmt.Appendf(nil, "%s-%d;", r.Job, r.Task) },
			tasks:       map[fleet.TaskRef]*fakeTask{},
			calls:       map[string]int{},
			startCounts: map[fleet.TaskRef]int{},
		}
		f.workers = append(f.workers, w)
		f.byAddr[w.addr] = w
	}
	return f
}

func (f *fakeFleet) resolve(name string) (netip.AddrPort, bool) {
	for _, w := range f.workers {
		if w.name == name {
			return w.addr, true
		}
	}
	return netip.AddrPort{}, false
}

// place assigns the tasks of a job to workers in order, perWorker tasks each.
func (f *fakeFleet) place(tasks, perWorker int) []fleet.Assignment {
	var as []fleet.Assignment
	for i := range tasks {
		as = append(as, fleet.Assignment{Task: i, Worker: f.workers[i/perWorker].name})
	}
	return as
}

func (w *fakeWorker) call(ctx context.Context, op string, f func() error) error {
	w.mu.Lock()
	w.calls[op]++
	lost := w.isUnreachable
	w.mu.Unlock()
	x := w.faultFor(op)
	if lost || x == loseRequest {
		<-ctx.Done()
		return ctx.Err()
	}
	d := w.delay(op)
	if x == noRoom {
		time.Sleep(d)
		return port.ErrNoRoom
	}
	if x == late {
		d = lateDelay
	}
	done := make(chan error, 1)
	go func() {
		time.Sleep(d)
		w.mu.Lock()
		defer w.mu.Unlock()
		done <- f()
	}()
	if x == loseReply {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *fakeWorker) fence(t fleet.Term) error {
	if t.Less(w.term) {
		return fmt.Errorf("term %s below %s: %w", t, w.term, port.ErrFenced)
	}
	w.term = t
	return nil
}

// advance updates progress and ends the tasks whose run time has passed. The caller holds w.mu.
func (w *fakeWorker) advance() {
	for ref, k := range w.tasks {
		if k.report.State != fleet.TaskRunning {
			continue
		}
		d := w.run(ref)
		ran := time.Since(k.startedAt)
		k.report.Progress = k.report.Task.Progress + ran
		switch {
		case d < 0 && ran >= -d:
			k.report.State = fleet.TaskFailed
			k.report.Error = "out of memory"
		case d >= 0 && ran >= d:
			k.report.State = fleet.TaskDone
			b := w.answer(ref)
			k.report.AnswerBytes = int64(len(b))
			k.report.AnswerDigest = xxhash.Sum64(b)
		}
	}
}

func (w *fakeWorker) prepare(t fleet.Term, ts []fleet.Task) error {
	if err := w.fence(t); err != nil {
		return err
	}
	for _, k := range ts {
		if w.tasks[k.Ref] == nil {
			w.tasks[k.Ref] = &fakeTask{report: fleet.TaskReport{Task: k, State: fleet.TaskPrepared}}
		}
	}
	return nil
}

func (w *fakeWorker) start(t fleet.Term, rs []fleet.TaskRef) error {
	if err := w.fence(t); err != nil {
		return err
	}
	for _, r := range rs {
		if w.tasks[r] == nil {
			return port.ErrNoTask
		}
	}
	for _, r := range rs {
		k := w.tasks[r]
		if k.report.State != fleet.TaskPrepared {
			continue
		}
		k.report.State = fleet.TaskRunning
		k.report.Started = true
		k.startedAt = time.Now()
		w.startCounts[r]++
	}
	return nil
}

func (w *fakeWorker) stop(t fleet.Term, rs []fleet.TaskRef) error {
	if err := w.fence(t); err != nil {
		return err
	}
	w.advance()
	for _, r := range rs {
		k := w.tasks[r]
		if k != nil && isActive(k.report.State) {
			k.report.State = fleet.TaskStopped
		}
	}
	return nil
}

func (w *fakeWorker) report() fleet.Report {
	w.advance()
	r := fleet.Report{Worker: fleet.Worker{Name: w.name, Addr: w.addr}, Term: w.term}
	for _, k := range w.tasks {
		r.Tasks = append(r.Tasks, k.report)
	}
	return r
}

// running returns the running tasks of all workers.
func (f *fakeFleet) running() []fleet.TaskRef {
	return f.inState(fleet.TaskRunning)
}

func (f *fakeFleet) inState(ss ...fleet.TaskState) []fleet.TaskRef {
	var out []fleet.TaskRef
	for _, w := range f.workers {
		w.mu.Lock()
		w.advance()
		for ref, k := range w.tasks {
			if slices.Contains(ss, k.report.State) {
				out = append(out, ref)
			}
		}
		w.mu.Unlock()
	}
	return out
}

func (f *fakeFleet) started() int {
	n := 0
	for _, w := range f.workers {
		w.mu.Lock()
		n += len(w.startCounts)
		w.mu.Unlock()
	}
	return n
}

func (f *fakeFleet) heldTasks() int {
	n := 0
	for _, w := range f.workers {
		w.mu.Lock()
		n += len(w.tasks)
		w.mu.Unlock()
	}
	return n
}

func (f *fakeFleet) calls(op string) int {
	n := 0
	for _, w := range f.workers {
		w.mu.Lock()
		n += w.calls[op]
		w.mu.Unlock()
	}
	return n
}

func (f *fakeFleet) reports() []fleet.Report {
	var out []fleet.Report
	for _, w := range f.workers {
		w.mu.Lock()
		if !w.isUnreachable {
			out = append(out, w.report())
		}
		w.mu.Unlock()
	}
	return out
}

func (f *fakeFleet) workersPort() port.Workers {
	return port.Workers{
		Inspect: func(ctx context.Context, a netip.AddrPort, t fleet.Term) (fleet.Report, error) {
			w := f.byAddr[a]
			var r fleet.Report
			err := w.call(ctx, "Inspect", func() error {
				if err := w.fence(t); err != nil {
					return err
				}
				r = w.report()
				return nil
			})
			if err != nil {
				return fleet.Report{}, err
			}
			return r, nil
		},
		Prepare: func(ctx context.Context, a netip.AddrPort, t fleet.Term, ts []fleet.Task) error {
			w := f.byAddr[a]
			return w.call(ctx, "Prepare", func() error { return w.prepare(t, ts) })
		},
		Start: func(ctx context.Context, a netip.AddrPort, t fleet.Term, rs []fleet.TaskRef) error {
			w := f.byAddr[a]
			return w.call(ctx, "Start", func() error { return w.start(t, rs) })
		},
		Stop: func(ctx context.Context, a netip.AddrPort, t fleet.Term, rs []fleet.TaskRef, _ time.Duration) error {
			w := f.byAddr[a]
			return w.call(ctx, "Stop", func() error { return w.stop(t, rs) })
		},
		Answer: func(ctx context.Context, a netip.AddrPort, r fleet.TaskRef) ([]byte, error) {
			w := f.byAddr[a]
			var b []byte
			err := w.call(ctx, "Answer", func() error {
				if w.tasks[r] == nil {
					return port.ErrNoTask
				}
				b = w.answer(r)
				return nil
			})
			return b, err
		},
		Forget: func(ctx context.Context, a netip.AddrPort, t fleet.Term, rs []fleet.TaskRef) error {
			w := f.byAddr[a]
			return w.call(ctx, "Forget", func() error {
				if err := w.fence(t); err != nil {
					return err
				}
				for _, r := range rs {
					delete(w.tasks, r)
				}
				return nil
			})
		},
	}
}
