//go:build review3

package main

import (
	"net/http"
	"time"
)

const (
	// lateTime is how late the start is carried out; the bench carries orders out 2 to 12 s late.
	lateTime = 4 * time.Second
	// phase is the time from a report of the worker to the submission. The worker reports each 1.5 s while no task ends.
	phase = 1150 * time.Millisecond
	// entryTime is how long an entry stands without a sign of its worker: three heartbeats.
	entryTime = 3 * heartbeatTime
)

// runUnseen lets a worker leave one start unanswered, cuts it off, and lets it crash behind the cut and start again, where it carries
// the start out late. The rule TWICE says that no two runs of a task are at work at the same time.
func runUnseen(l *record, trouble bool) int {
	s, err := newSite(l, 3, 6, 8, siteConfig(1))
	if err != nil {
		l.write("cannot start the site: %v", err)
		return exitNotRun
	}
	defer s.close()
	const filler, small, short, job = "00000000000000f0", "00000000000000f1", "00000000000000f2", "00000000000000c1"
	post := func(id string, tasks, gpus, ms int) bool {
		a := s.call(s.hosts[0], http.MethodPost, "/lohu930/"+id, tenantKey, jobOf(tasks, gpus, work{Millis: ms}), 3*time.Second)
		return a.status == 200 && (id == job || waitFor(5*time.Second, func() bool { return len(l.find("start", id)) == tasks }))
	}
	// Four workers are full, a fifth one will be free after 5 s, and the sixth has a small task and room for the job.
	if !post(filler, 4, 8, 60000) || !post(small, 1, 2, 60000) || !post(short, 1, 8, 5000) {
		return exitNotRun
	}
	w := s.findWorker(l.find("start", small)[0].worker)
	seen := w.lastAnswer()
	waitFor(3*time.Second, func() bool { return w.lastAnswer().After(seen) })
	time.Sleep(time.Until(w.lastAnswer().Add(phase)))
	if trouble {
		w.mu.Lock()
		w.lateJob = job
		w.onLate = func(o order) { go s.cutAndRestart(w, o) }
		w.mu.Unlock()
	}
	if !post(job, 1, 6, 12000) {
		return exitNotRun
	}
	waitFor(25*time.Second, func() bool { return len(l.find("end", job)) > 0 && len(l.find("start", job)) > 1 })
	time.Sleep(3 * time.Second)
	if overlap := l.findOverlap(job); overlap > 0 {
		l.write("BROKEN: TWICE: two runs of %s.0.0.0 were at work at the same time, for %.2f s", job, overlap.Seconds())
		return exitBroken
	}
	if len(l.find("start", job)) == 0 {
		return exitNotRun
	}
	return exitHeld
}

// cutAndRestart plays what happens to a worker that has left a start unanswered.
func (s *site) cutAndRestart(w *worker, o order) {
	arrived := time.Now()
	s.log.write("worker %s leaves the start of %s run %d unanswered, %s after its last report", w.id, o.Task, o.Run,
		arrived.Sub(w.lastAnswer()).Round(time.Millisecond))
	go func() {
		time.Sleep(time.Until(arrived.Add(lateTime)))
		s.log.write("worker %s carries the start of %s run %d out", w.id, o.Task, o.Run)
		w.start(o)
	}()
	time.Sleep(100 * time.Millisecond)
	w.mu.Lock()
	w.isCut, w.isDark = true, true
	reported := w.reported
	w.mu.Unlock()
	s.log.write("worker %s is cut off, for %s", w.id, cutTime)
	cut := time.Now()
	go func() {
		time.Sleep(time.Until(reported.Add(entryTime)))
		s.log.write("the entry of worker %s is removed", w.id)
		s.store.put("keyed.servers", w.id, nil)
	}()
	time.Sleep(300 * time.Millisecond)
	w.restart(500 * time.Millisecond)
	time.Sleep(time.Until(cut.Add(cutTime)))
	w.mu.Lock()
	w.isCut, w.isDark = false, false
	w.mu.Unlock()
	s.log.write("worker %s is reached again", w.id)
}

// findOverlap returns for how long two runs of the only task of a job were at work at the same time.
func (r *record) findOverlap(job string) time.Duration {
	ends := map[int]time.Time{}
	for _, x := range r.find("end", job) {
		ends[x.run] = x.at
	}
	longest := time.Duration(0)
	starts := r.find("start", job)
	for i, x := range starts {
		for _, y := range starts[i+1:] {
			end, ok := ends[x.run]
			if !ok {
				end = time.Now()
			}
			if y.run != x.run {
				longest = max(longest, end.Sub(y.at))
			}
		}
	}
	return longest
}

// lastAnswer returns when the worker last answered a look.
func (w *worker) lastAnswer() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answeredAt
}
