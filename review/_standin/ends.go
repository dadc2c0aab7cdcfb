package main

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

func init() { scripts["ends"] = runEnds }

const (
	endsJobs  = 225
	endsWidth = 20
	// endsWork is the shortest time that a task takes; the longest is endsSpread longer.
	endsWork   = 8 * time.Second
	endsSpread = 4 * time.Second
	// endsOutage is how long the store is down while the tasks end.
	endsOutage = 3500 * time.Millisecond
)

// runEnds runs a job of many small tasks on three workers, while the store is down for some seconds when they end.
func runEnds(rec *record, isTrouble bool) ([]string, error) {
	s, err := newSite(rec, 3, func(task string, _ int, _ string) outcome {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return outcome{work: endsWork + time.Duration(h.Sum32()%uint32(endsSpread.Milliseconds()))*time.Millisecond, how: "done"}
	})
	if err != nil {
		return nil, err
	}
	defer s.stop()
	for i := range 3 {
		k := kind{service: "huvo11a", cpu: 128000, memMB: 524288, gpus: 8, label: "a", rack: fmt.Sprintf("r%d-1", i+1)}
		if _, err := s.fleet.add(fmt.Sprintf("i-7f3a91c%d", i), fmt.Sprintf("zone-%d", i+1), k); err != nil {
			return nil, err
		}
	}
	s.configure(7, []route{newRoute("r-3ajwyy7", "/pule252/", "huvo11a", 1)}, "huvo11a")
	if err := s.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var paths []string
	var wg sync.WaitGroup
	accepted := make([]bool, endsJobs)
	for i := range endsJobs {
		path := fmt.Sprintf("/pule252/5c0e7a21d94b%04x", i)
		paths = append(paths, path)
		wg.Go(func() {
			steps := []map[string]any{{"count": endsWidth, "cpu": 80, "mem_mb": 256, "estimated_ms": 8000}}
			accepted[i] = s.submit(path, map[string]any{"spec": "audit", "steps": steps})
		})
	}
	wg.Wait()
	if slices.Contains(accepted, false) {
		return nil, fmt.Errorf("a job was not accepted")
	}
	if err := waitFor(20*time.Second, "no task has started", func() bool { return len(s.fleet.byTask()) > 0 }); err != nil {
		return nil, err
	}
	if isTrouble {
		time.Sleep(endsWork)
		rec.sayf("store is down for %s", endsOutage)
		s.store.setDown(true)
		time.Sleep(endsOutage)
		s.store.setDown(false)
		rec.sayf("store is back")
	}
	err = waitFor(60*time.Second, "the tasks have not ended", func() bool {
		return s.fleet.countDone() == endsJobs*endsWidth && time.Since(s.fleet.lastChange()) > 5*time.Second
	})
	completed := 0
	for _, path := range paths {
		if s.state(path) == "completed" {
			completed++
		}
	}
	rec.sayf("tasks done %d of %d, starts %d, jobs completed %d of %d", s.fleet.countDone(), endsJobs*endsWidth, len(s.fleet.runs),
		completed, endsJobs)
	if err != nil {
		return nil, err
	}
	return s.fleet.findTwice(), nil
}
