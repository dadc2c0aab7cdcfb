package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scripts["service"] = runService }

const (
	// ownService is the service of the deployment, and foreignService one that no configuration names.
	ownService     = "huvo11a"
	foreignService = "pame20b"

	serviceJobs = 12
	serviceWork = 3 * time.Second
)

// runService lets workers of another system, whose service no configuration names, register in the store beside those of the
// deployment, and hands in jobs.
func runService(rec *record, isTrouble bool) ([]string, error) {
	s, err := newSite(rec, 3, func(string, int, string) outcome { return outcome{work: serviceWork, how: "done"} })
	if err != nil {
		return nil, err
	}
	defer s.stop()
	if err := s.addWorkers(4, ownService); err != nil {
		return nil, err
	}
	s.configure(7, []route{newRoute("r-3ajwyy7", "/pule252/", ownService, 1)}, ownService)
	if err := s.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if isTrouble {
		if err := s.addWorkers(4, foreignService); err != nil {
			return nil, err
		}
		time.Sleep(4 * time.Second)
	}
	var paths []string
	for i := range serviceJobs {
		path := fmt.Sprintf("/pule252/5c0e7a21d94b%04x", i)
		steps := []map[string]any{{"count": 4, "cpu": 16000, "mem_mb": 4096, "gpus": 1, "estimated_ms": 3000}}
		if !s.submit(path, map[string]any{"spec": "audit", "steps": steps}) {
			return nil, fmt.Errorf("job was not accepted")
		}
		paths = append(paths, path)
	}
	err = waitFor(60*time.Second, "the jobs have not ended", func() bool {
		for _, path := range paths {
			if status, b := s.call(s.hosts[0], http.MethodGet, path, nil); status != http.StatusOK || string(b) != "{\"state\":\"completed\"}\n" {
				return false
			}
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	var out []string
	for task, rs := range s.fleet.byTask() {
		for _, r := range rs {
			if r.service != ownService {
				out = append(out, fmt.Sprintf("%s was started on %s, a worker of service %s", task, r.worker, r.service))
			}
		}
	}
	rec.sayf("starts %d, of these on workers of the other service %d", len(s.fleet.runs), len(out))
	return out, nil
}
