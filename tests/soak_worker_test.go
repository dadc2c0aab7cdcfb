package tests

import (
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/auburncleat/auburncleat/internal/coordination/port"
	"github.com/auburncleat/auburncleat/internal/state/fleet"
)

const (
	soakDomains        = 3
	soakKinds          = 3
	soakWorkersPerRack = 4
	// A worker that has not published its entry for soakMaxHeartbeats intervals loses it.
	soakMaxHeartbeats = 3
	soakWorkerGPUs    = 8
	soakWorkerCPU     = 64
	// soakWorkerMemory is in megabytes.
	soakWorkerMemory = 128 << 10
)

// soakWorker is a worker with the relay through which all hosts reach it.
type soakWorker struct {
	worker fleet.Worker
	relay  *relay
	labels []string
	// isListed is false while the worker does not publish its entry though it is up.
	isListed   atomic.Bool
	isDown     atomic.Bool
	isDraining atomic.Bool
	// hasEntry is set while the store has the entry of the worker.
	hasEntry atomic.Bool
	// missed counts the heartbeats since the worker last published its entry.
	missed int
	// isOverfull is set once more ran on the worker than it holds.
	isOverfull bool
}

// isUsable reports whether the worker is up, listed and not draining.
func (w *soakWorker) isUsable() bool {
	return w.isListed.Load() && w.hasEntry.Load() && !w.isDown.Load() && !w.isDraining.Load()
}

func (s *soakSite) addWorker(i int) {
	at := s.addr(100+i/200, i%200+1, workerPort)
	w := &soakWorker{worker: fleet.Worker{
		Name: fmt.Sprintf("w%d", i), Domain: soakDomain(i / soakWorkersPerRack), Rack: soakRack(i), Addr: at,
		Accelerators: soakWorkerGPUs, Processors: soakWorkerCPU, Memory: soakWorkerMemory * fleet.Megabyte,
	}}
	w.labels = []string{soakKind(i), w.worker.Rack}
	w.isListed.Store(true)
	s.runners.Add(w.worker)
	s.serve(at, s.runners.Handler(at))
	w.relay = newRelay(s.t, s.addr(110+i/200, i%200+1, workerPort), at)
	s.workers = append(s.workers, w)
}

func soakDomain(i int) string {
	return fmt.Sprintf("d%d", i%soakDomains)
}

func soakKind(i int) string {
	return fmt.Sprintf("k%d", i%soakKinds)
}

// soakRack returns the rack of worker i.
func soakRack(i int) string {
	return fmt.Sprintf("r1-%d", i/soakWorkersPerRack)
}

// publishWorkers appends the entries of all listed workers at the heartbeat interval, and removes those of workers that have
// missed soakMaxHeartbeats.
func (s *soakSite) publishWorkers() {
	for n := 1; s.t.Context().Err() == nil; n++ {
		var es []port.Entry
		for _, w := range s.workers {
			if w.isListed.Load() && !w.isDown.Load() {
				w.missed = 0
				w.hasEntry.Store(true)
				es = append(es, port.Entry{Key: w.worker.Name, Value: s.entry(w, n)})
				continue
			}
			w.missed++
			if w.missed >= soakMaxHeartbeats && w.hasEntry.Swap(false) {
				es = append(es, port.Entry{Key: w.worker.Name})
			}
		}
		s.appendAsPlatform(workersTopic, es...)
		s.sleep(soakHeartbeat)
	}
}

// entry returns the entry that a worker publishes.
func (s *soakSite) entry(w *soakWorker, sequence int) []byte {
	state := "ready"
	if w.isDraining.Load() {
		state = "draining"
	}
	m := map[string]any{
		"service": "svc", "address": w.relay.at.String(), "zone": w.worker.Domain, "version": "1", "slots": 8,
		"state": state, "cold_remaining_ms": 0, "sequence": sequence, "labels": w.labels,
		"capacity": map[string]any{"cpu": soakWorkerCPU, "mem_mb": soakWorkerMemory, "gpus": soakWorkerGPUs},
	}
	if s.plan.hasLifetimes {
		m["born"] = s.runners.BornOf(s.runners.List(w.worker.Addr).Instance)
	}
	b, err := json.Marshal(m)
	if err != nil {
		s.violate("entry of %s: %v", w.worker.Name, err)
	}
	return b
}

// killWorker ends a worker with its tasks; new connections to it are refused.
func (s *soakSite) killWorker(w *soakWorker) {
	w.isDown.Store(true)
	s.runners.Remove(w.worker.Addr)
	w.relay.refuse()
}

// reviveWorker starts a worker that was killed as a new instance.
func (s *soakSite) reviveWorker(w *soakWorker) {
	s.runners.Add(w.worker)
	w.isDraining.Store(false)
	w.relay.listen(s.t)
	w.isDown.Store(false)
}
