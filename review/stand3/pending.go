//go:build review3

package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	// cutTime is how long a worker is cut off; the site file has node_cut of servers for 5.5 s.
	cutTime   = 5500 * time.Millisecond
	visibleMs = 3000 * time.Millisecond
)

// runPending cuts one worker of six off and submits jobs that are sent there. Nothing of them begins. The rule MIXED says that a
// machine in touch gives as pending at least half of the jobs that were accepted over visible_ms + 2 s before and haven't begun.
func runPending(l *record, trouble bool) int {
	s, err := newSite(l, 3, 6, 8, siteConfig(1))
	if err != nil {
		l.write("cannot start the site: %v", err)
		return exitNotRun
	}
	defer s.close()
	// Urgent work fills five workers and half of the sixth.
	const filler, half, urgent = "00000000000000f0", "00000000000000f1", "00000000000000f2"
	jobs := []string{"00000000000000c1", "00000000000000c2", "00000000000000c3", "00000000000000c4"}
	post := func(id, prefix string, tasks, gpus, ms int) bool {
		return s.call(s.hosts[0], http.MethodPost, prefix+id, tenantKey, jobOf(tasks, gpus, work{Millis: ms}), 3*time.Second).status == 200
	}
	if !post(filler, "/gono990/", 5, 8, 26000) || !waitFor(5*time.Second, func() bool { return len(l.find("start", filler)) == 5 }) {
		return exitNotRun
	}
	if !post(half, "/gono990/", 1, 2, 26000) || !waitFor(5*time.Second, func() bool { return len(l.find("start", half)) == 1 }) {
		return exitNotRun
	}
	last := s.findWorker(l.find("start", half)[0].worker)
	time.Sleep(3 * time.Second)
	cut := time.Now()
	if trouble {
		l.write("worker %s is cut off and runs on, for %s", last.id, cutTime)
		last.setCut(true)
	}
	for _, x := range jobs {
		if !post(x, "/lohu930/", 1, 1, 8000) {
			return exitNotRun
		}
	}
	accepted := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		time.Sleep(time.Until(cut.Add(4500 * time.Millisecond)))
		// Urgent work waits for the worker, and gets it as it returns.
		post(urgent, "/gono990/", 1, 8, 12000)
	})
	wg.Go(func() {
		time.Sleep(time.Until(cut.Add(cutTime)))
		last.setCut(false)
		l.write("worker %s is reached again", last.id)
	})
	broken := 0
	for time.Since(accepted) < 16*time.Second {
		time.Sleep(500 * time.Millisecond)
		for _, h := range s.hosts[1:] {
			sent := time.Now()
			a := s.call(h, http.MethodGet, "/lohu930/", tenantKey, nil, 3*time.Second)
			var m struct{ Pending int }
			if a.status != 200 || json.Unmarshal([]byte(a.body), &m) != nil {
				continue
			}
			waiting := 0
			for _, x := range jobs {
				if len(l.find("start", x)) == 0 {
					waiting++
				}
			}
			if sent.Sub(accepted) > visibleMs+2*time.Second && 2*m.Pending < waiting {
				l.write("BROKEN: MIXED: %s gives %d as pending; %d jobs were accepted %.1f s before or earlier, and no task of them has started",
					h.name, m.Pending, waiting, sent.Sub(accepted).Seconds())
				broken++
			}
		}
	}
	if broken > 0 {
		return exitBroken
	}
	l.write("held")
	return exitHeld
}
