package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["memory"] = manyBodies }

const (
	// memoryMB is limits.memory_mb, and restartDelay the short delay after which a process that has ended is started again.
	memoryMB     = 284
	restartDelay = time.Second
	watchGap     = 20 * time.Millisecond
	// A fault is so many ends on so many machines.
	faultEnds, faultMachines = 3, 2
)

// watch does what the platform does with a process that exceeds the memory of its machine: it kills it, and starts it again.
type watch struct {
	bed  *bed
	mu   sync.Mutex
	ends map[string]int
	peak map[string]int
	stop atomic.Bool
	done sync.WaitGroup
}

func (b *bed) watchMemory() *watch {
	w := &watch{bed: b, ends: map[string]int{}, peak: map[string]int{}}
	for _, h := range b.hosts {
		w.done.Go(func() { w.follow(h) })
	}
	return w
}

func (w *watch) follow(h *host) {
	for !w.stop.Load() {
		time.Sleep(watchGap)
		n := h.privateMB()
		isOver := n > memoryMB
		if isOver {
			h.kill()
		}
		w.mu.Lock()
		w.peak[h.name] = max(w.peak[h.name], n)
		w.mu.Unlock()
		if !h.hasEnded() {
			continue
		}
		w.noteEnd(h, isOver, n)
		time.Sleep(restartDelay)
		if w.stop.Load() {
			return
		}
		if err := h.start(w.bed.root); err != nil {
			w.bed.record.note("%s does not start: %v", h.name, err)
		}
	}
}

func (w *watch) noteEnd(h *host, isOver bool, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !isOver {
		w.bed.record.note("%s has ended", h.name)
		return
	}
	w.ends[h.name]++
	w.bed.record.note("%s had %d MB of %d and was killed, %d such ends", h.name, n, memoryMB, w.ends[h.name])
}

// finish ends the watch, and returns the number of machines with a fault.
func (w *watch) finish() int {
	w.stop.Store(true)
	w.done.Wait()
	n := 0
	for _, h := range w.bed.hosts {
		w.bed.record.note("%s: %d ends over its memory, highest %d MB of %d", h.name, w.ends[h.name], w.peak[h.name], memoryMB)
		if w.ends[h.name] >= faultEnds {
			n++
		}
	}
	return n
}

// manyBodies: clients send many bodies just below the limit of the config, at once. Then the hosts are stopped and started in turn.
func manyBodies(b *bed) int {
	w := b.watchMemory()
	b.serveOrdinary(1, 6, 200*time.Millisecond)
	size := 255_000
	if !b.trouble {
		size = 4000
	}
	b.sendBodies(900, 16, size)
	time.Sleep(3 * time.Second)
	for _, h := range b.hosts {
		b.record.note("SIGTERM to %s", h.name)
		h.signal(syscall.SIGTERM)
		time.Sleep(8 * time.Second)
	}
	time.Sleep(20 * time.Second)
	ids := b.serveOrdinary(2, 6, 300*time.Millisecond)
	b.record.note("%d of 6 ordinary jobs were accepted afterwards", len(ids))
	if w.finish() >= faultMachines {
		return broken
	}
	return held
}

// sendBodies sends n jobs that no worker can run, from a number of clients at once.
func (b *bed) sendBodies(n, clients, size int) {
	body, _ := json.Marshal(job{Spec: strings.Repeat("s", size), Steps: []step{{Count: 1, CPU: 2000, MemMB: 1024, Needs: "zz"}}})
	var accepted, refused, other, next atomic.Int64
	var g sync.WaitGroup
	for range clients {
		g.Go(func() {
			for i := int(next.Add(1)); i <= n; i = int(next.Add(1)) {
				status, _ := b.call(b.hosts[i%len(b.hosts)], http.MethodPost, batchPrefix+jobID(9, i), keyB, body, deadline)
				switch {
				case status/100 == 2:
					accepted.Add(1)
				case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
					refused.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	g.Wait()
	b.record.note("%d POSTs of %d bytes by %d clients: %d accepted, %d refused, %d without such an answer", n, len(body), clients,
		accepted.Load(), refused.Load(), other.Load())
}
