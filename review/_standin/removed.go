package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { scripts["removed"] = runRemoved }

const (
	// removedWork is how long a run of the task takes until it fails.
	removedWork = 2500 * time.Millisecond
	// removedDown is how long the processes of the system are away after they were killed.
	removedDown = time.Second
	// removedWatch is how long the task is watched after that.
	removedWatch = 60 * time.Second
	maxAttempts  = 4
)

// runRemoved hands in a job whose task always fails, removes its queue from the configuration, and kills all daemons.
func runRemoved(rec *record, isTrouble bool) ([]string, error) {
	s, err := newSite(rec, 3, func(task string, _ int, _ string) outcome {
		return outcome{work: removedWork, how: "failed"}
	})
	if err != nil {
		return nil, err
	}
	defer s.stop()
	if err := s.addWorkers(6, "huvo11a"); err != nil {
		return nil, err
	}
	former, lasting := newRoute("r-ce7ejsm", "/lohu930/", "huvo11a", 1), newRoute("r-3ajwyy7", "/pule252/", "huvo11a", 1)
	s.configure(7, []route{former, lasting}, "huvo11a")
	if err := s.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	const path = "/lohu930/5c0e7a21d94b36f8"
	steps := []map[string]any{{"count": 1, "cpu": 4000, "mem_mb": 1024, "estimated_ms": 2500}}
	if !s.submit(path, map[string]any{"spec": "audit", "steps": steps}) {
		return nil, fmt.Errorf("job was not accepted")
	}
	time.Sleep(time.Second)
	s.configure(9, []route{lasting}, "huvo11a")
	time.Sleep(2 * time.Second)
	if isTrouble {
		for _, h := range s.hosts {
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(removedDown)
		for _, h := range s.hosts {
			if err := h.start(); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(removedWatch)
	rec.sayf("state of the job at its former queue: %q", s.state(path))
	return s.fleet.findOverBudget(), nil
}

// findOverBudget returns the breaks of the rule BUDGET: a start after maxAttempts runs of the task have ended as failed whose ends
// were taken note of.
func (f *fleet) findOverBudget() []string {
	var out []string
	for task, rs := range f.byTask() {
		var ways []string
		for _, later := range rs {
			failed := 0
			for _, earlier := range rs {
				if earlier.how == "failed" && earlier.isNoted && !earlier.endedAt.After(later.at) {
					failed++
				}
			}
			if failed >= maxAttempts {
				out = append(out, fmt.Sprintf("%s: run %d started on %s after %d runs had ended failed, which were taken note of", task,
					later.number, later.worker, failed))
			}
			ways = append(ways, later.how)
		}
		f.rec.sayf("%s: %d starts, ends: %s", task, len(rs), strings.Join(ways, " "))
	}
	return out
}
