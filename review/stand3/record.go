//go:build review3

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run, for record.txt and for the checks.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	runs  []runEvent
}

// runEvent is a start or an end of a task, or an end that was taken note of.
type runEvent struct {
	at     time.Time
	kind   string
	worker string
	task   string
	run    int
	note   string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{began: time.Now(), file: f}, nil
}

// write adds a line at the present time.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(time.Now(), fmt.Sprintf(format, args...))
}

func (r *record) line(at time.Time, text string) {
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", at.Sub(r.began).Seconds(), text)
}

func (r *record) run(kind, worker, task string, run int, note string) {
	r.runAt(time.Now(), kind, worker, task, run, note)
}

func (r *record) runAt(at time.Time, kind, worker, task string, run int, note string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, runEvent{at, kind, worker, task, run, note})
	r.line(at, fmt.Sprintf("worker %s: %s %s run %d (%s)", worker, kind, task, run, note))
}

// find returns the events of a kind of all tasks of a job.
func (r *record) find(kind, job string) []runEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []runEvent
	for _, x := range r.runs {
		if x.kind == kind && strings.HasPrefix(x.task, job+".") {
			out = append(out, x)
		}
	}
	return out
}

// since returns the time in the record, in seconds.
func (r *record) since(at time.Time) float64 { return at.Sub(r.began).Seconds() }
