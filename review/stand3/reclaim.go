//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	reclaimMs = 2700 * time.Millisecond
	// burstTime is how long many users come at once; the site file has burst for 6 s.
	burstTime = 6 * time.Second
)

// guaranteedConfig has two tenants with guarantees, and one without.
func guaranteedConfig() map[string]any {
	c := siteConfig(1)
	tenant := func(name, key string, gpus int) map[string]any {
		return map[string]any{"name": name, "api_keys": []string{key}, "guaranteed": map[string]int{"gpus": gpus}}
	}
	c["tenants"] = []any{tenant("registry", "k1", 8), tenant("licensing", "k2", 24), tenant("crowd", "k3", 0)}
	return c
}

// lasting makes the step of a job last until the job is cancelled.
func lasting(job map[string]any, mayMiss int) map[string]any {
	step := job["steps"].([]map[string]any)[0]
	step["long_running"] = true
	if mayMiss > 0 {
		step["may_miss"] = mayMiss
	}
	return job
}

// gang makes the tasks of the step of a job work only together.
func gang(job map[string]any) map[string]any {
	job["steps"].([]map[string]any)[0]["gang"] = true
	return job
}

// runReclaim lets many users come at once with short tasks of one accelerator, while a tenant starts small urgent tasks that last,
// within its guarantee. After the burst another tenant claims its guarantee with a gang that needs whole workers.
func runReclaim(l *record, trouble bool) int {
	s, err := newSite(l, 3, 6, 8, guaranteedConfig())
	if err != nil {
		l.write("cannot start the site: %v", err)
		return exitNotRun
	}
	defer s.close()
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	if trouble {
		l.write("many users come at once, for %s", burstTime)
		wg.Go(func() {
			for i := 0; time.Since(began) < burstTime; i++ {
				job := fmt.Sprintf("/lohu930/%016x", 0xc0000+i)
				s.call(s.hosts[i%3], http.MethodPost, job, "k3", jobOf(12, 1, work{Millis: 1500 + 500*(i%4)}), 3*time.Second)
				time.Sleep(450 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	for i := range 8 {
		job := fmt.Sprintf("/gono990/%016x", 0xa0000+i)
		s.call(s.hosts[i%3], http.MethodPost, job, "k1", lasting(jobOf(1, 1, work{Lasts: true}), 0), 3*time.Second)
		time.Sleep(600 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(burstTime + 6*time.Second)))
	return s.claim(gang(jobOf(3, 8, work{Millis: 2000, Gang: 3})), 3)
}

// claim submits an urgent job of a tenant that needs no more than is guaranteed to the tenant, and checks that all its tasks begin in
// time.
func (s *site) claim(body map[string]any, tasks int) int {
	const job = "00000000000b0000"
	a := s.call(s.hosts[1], http.MethodPost, "/gono990/"+job, "k2", body, 3*time.Second)
	if a.status != 200 {
		return exitNotRun
	}
	hasBegun := waitFor(30*time.Second, func() bool { return len(s.log.find("start", job)) >= tasks })
	if !hasBegun {
		s.call(s.hosts[1], http.MethodGet, "/gono990/"+job, "k2", nil, 3*time.Second)
		s.log.write("BROKEN: RECLAIM: %s, all urgent work of a tenant within its guarantee, has not begun all its tasks %.0f s after its acknowledgement", job,
			time.Since(a.at).Seconds())
		return exitBroken
	}
	took := s.log.find("start", job)[tasks-1].at.Sub(a.at)
	s.log.write("all tasks of %s began %s after its acknowledgement", job, took)
	if took > reclaimMs {
		s.log.write("BROKEN: RECLAIM: that is more than %s", reclaimMs)
		return exitBroken
	}
	return exitHeld
}
