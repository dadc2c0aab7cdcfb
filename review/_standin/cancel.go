package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	cancelJobs     = 24
	cancelInterval = 60 * time.Millisecond
	// cancelOutage is how long the store is down.
	cancelOutage = 4 * time.Second
	// cancelRetries and cancelPause are how often and after which pause a client repeats a cancel at another daemon.
	cancelRetries = 4
	cancelPause   = 300 * time.Millisecond
	cancelWork    = 8 * time.Second
	// cancelBound is the time after which no task of a cancelled job may be started, and contactBound how long ago the end of the
	// outage has to be by then.
	cancelBound  = 3 * time.Second
	contactBound = 3 * time.Second
)

func init() { scripts["cancel"] = runCancel }

// cancelledJob is a job that its client cancels right after it was accepted.
type cancelledJob struct {
	path, id   string
	answer     int
	answeredAt time.Time
}

// runCancel hands in jobs of two steps, and cancels them; the store goes down in between.
func runCancel(rec *record, isTrouble bool) ([]string, error) {
	s, err := newSite(rec, 3, func(string, int, string) outcome { return outcome{work: cancelWork, how: "done"} })
	if err != nil {
		return nil, err
	}
	defer s.stop()
	if err := s.addWorkers(6, "huvo11a"); err != nil {
		return nil, err
	}
	s.configure(7, []route{newRoute("r-3ajwyy7", "/pule252/", "huvo11a", 1)}, "huvo11a")
	if err := s.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var list []*cancelledJob
	var wg sync.WaitGroup
	for i := range cancelJobs {
		time.Sleep(cancelInterval)
		j := &cancelledJob{id: fmt.Sprintf("5c0e7a21d94b%04x", i)}
		j.path = "/pule252/" + j.id
		list = append(list, j)
		steps := []map[string]any{
			{"count": 2, "cpu": 4000, "mem_mb": 1024, "estimated_ms": 8000},
			{"count": 2, "cpu": 4000, "mem_mb": 1024, "estimated_ms": 8000, "start_after": []int{0}},
		}
		if status, _ := s.call(s.hosts[i%3], http.MethodPost, j.path, map[string]any{"spec": "audit", "steps": steps}); status != http.StatusOK {
			return nil, fmt.Errorf("job was not accepted")
		}
	}
	if isTrouble {
		rec.sayf("store is down for %s", cancelOutage)
		s.store.setDown(true)
	}
	for i, j := range list {
		wg.Go(func() { s.cancel(j, i) })
	}
	if isTrouble {
		time.Sleep(cancelOutage)
		s.store.setDown(false)
		rec.sayf("store is back")
	}
	backAt := time.Now()
	wg.Wait()
	_ = waitFor(50*time.Second, "", func() bool { return time.Since(s.fleet.lastChange()) > 6*time.Second })
	var out []string
	answers := map[int]int{}
	by := s.fleet.byTask()
	for _, j := range list {
		answers[j.answer]++
		for k := range 4 {
			for _, r := range by[fmt.Sprintf("%s.0.%d.%d", j.id, k/2, k%2)] {
				if j.answer != 0 && r.at.After(j.answeredAt.Add(cancelBound)) && r.at.After(backAt.Add(contactBound)) {
					out = append(out, fmt.Sprintf("%s was started %d ms after the cancel of its job had been answered %d; now the job is %q",
						r.task, r.at.Sub(j.answeredAt).Milliseconds(), j.answer, s.state(j.path)))
				}
			}
		}
	}
	rec.sayf("jobs %d, cancels by their last answer: %v", len(list), answers)
	return out, nil
}

// cancel cancels a job, first at the daemon that accepted it, and then at others while it is not answered with success or 410.
func (s *site) cancel(j *cancelledJob, first int) {
	for k := range cancelRetries + 1 {
		status, _ := s.call(s.hosts[(first+k)%len(s.hosts)], http.MethodDelete, j.path, nil)
		if status == http.StatusOK || status == http.StatusGone {
			j.answer, j.answeredAt = status, time.Now()
			return
		}
		time.Sleep(cancelPause)
	}
}
