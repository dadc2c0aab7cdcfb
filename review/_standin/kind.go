package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scripts["kind"] = runKind }

const (
	kindWork = 1500 * time.Millisecond
	// kindAway is how long a worker is away between two lifetimes.
	kindAway   = 450 * time.Millisecond
	kindRounds = 20
)

// runKind has workers crash and start again at once, as another kind than before, while tasks run that require a kind.
func runKind(rec *record, isTrouble bool) ([]string, error) {
	s, err := newSite(rec, 3, func(string, int, string) outcome { return outcome{work: kindWork, how: "done"} })
	if err != nil {
		return nil, err
	}
	defer s.stop()
	kinds := map[string]kind{}
	var workers []*worker
	for i := range 9 {
		k := kind{service: "huvo11a", cpu: 128000, memMB: 524288, gpus: 8, label: []string{"a", "b"}[i%2], rack: fmt.Sprintf("r1-%d", i%3)}
		w, err := s.fleet.add(fmt.Sprintf("i-7f3a91c%d", i), fmt.Sprintf("zone-%d", i%3+1), k)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
		kinds[w.id] = k
	}
	s.configure(7, []route{newRoute("r-3ajwyy7", "/pule252/", "huvo11a", 1)}, "huvo11a")
	if err := s.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	over := make(chan struct{})
	// A job a second, each with tasks that only workers of one kind may run.
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-over:
				return
			case <-time.After(250 * time.Millisecond):
			}
			label := []string{"a", "b"}[i%2]
			steps := []map[string]any{{"count": 30, "cpu": 8000, "mem_mb": 4096, "estimated_ms": 1500, "requirements": label}}
			s.submit(fmt.Sprintf("/pule252/5c0e7a21d94b%s%03x", label, i), map[string]any{"spec": label, "steps": steps})
		}
	})
	for i := range kindRounds {
		time.Sleep(3 * time.Second)
		if !isTrouble {
			continue
		}
		w := workers[i%len(workers)]
		k := kinds[w.id]
		k.label = map[string]string{"a": "b", "b": "a"}[k.label]
		kinds[w.id] = k
		w.crash()
		time.Sleep(kindAway)
		if err := w.start(k); err != nil {
			return nil, err
		}
	}
	close(over)
	wg.Wait()
	time.Sleep(5 * time.Second)
	var out []string
	for task, rs := range s.fleet.byTask() {
		for _, r := range rs {
			if want := task[12:13]; r.label != want {
				out = append(out, fmt.Sprintf("%s, which requires label %s, was started on %s of label %s, %d ms after that began its lifetime", task, want,
					r.worker, r.label, r.at.UnixMilli()-r.life))
			}
		}
	}
	rec.sayf("starts %d", len(s.fleet.runs))
	return out, nil
}
