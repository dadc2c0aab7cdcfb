//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// gangTasks is the width of the gang; the deployment has room for 15,360 of its tasks.
	gangTasks     = 10000
	gangProcessor = 50
	finish        = 14 * time.Second
)

// runWide submits one small request for a wide gang, which the hosts accept, and ordinary jobs after it. The rule LOST says that a job
// for which there is room is not left without anything running.
func runWide(l *record, trouble bool) int {
	s, err := newSite(l, 3, 6, 8, siteConfig(1))
	if err != nil {
		l.write("cannot start the site: %v", err)
		return exitNotRun
	}
	defer s.close()
	if trouble {
		k := gang(jobOf(gangTasks, 0, work{Millis: 1000, Gang: gangTasks}))
		step := k["steps"].([]map[string]any)[0]
		step["cpu"], step["mem_mb"] = gangProcessor, 1
		delete(step, "gpus")
		s.call(s.hosts[0], http.MethodPost, "/lohu930/00000000000000c1", tenantKey, k, 3*time.Second)
	}
	time.Sleep(2 * time.Second)
	var ids []string
	for i := range 6 {
		id := fmt.Sprintf("00000000000000f%d", i)
		prefix := []string{"/gono990/", "/lohu930/"}[i%2]
		if s.call(s.hosts[i%3], http.MethodPost, prefix+id, urgentKey, jobOf(1, 1, work{Millis: 1000}), 3*time.Second).status == 200 {
			ids = append(ids, id)
		}
	}
	time.Sleep(finish)
	s.call(s.hosts[1], http.MethodDelete, "/lohu930/00000000000000c1", tenantKey, nil, 3*time.Second)
	time.Sleep(finish)
	lost := 0
	for i, id := range ids {
		s.call(s.hosts[i%3], http.MethodGet, []string{"/gono990/", "/lohu930/"}[i%2]+id, urgentKey, nil, 3*time.Second)
		if len(l.find("start", id)) == 0 {
			lost++
			l.write("BROKEN: LOST: %s was accepted %.0f s before and nothing of it has run, while the workers are idle", id, (2 * finish).Seconds())
		}
	}
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}
