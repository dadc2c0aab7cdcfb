package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the workers, as the settings of a process show them.
const (
	maxHold     = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	gangTimeout = 3 * time.Second
	heartbeat   = 1500 * time.Millisecond
	endsListed  = 500
	workerCPU   = 128000
	workerMemMB = 524288
	workerGPUs  = 8
)

// fleet is the set of stand-in workers. One lock guards all of them, since the members of a gang wait for each other.
type fleet struct {
	mu      sync.Mutex
	workers []*worker
	record  *record
	// runs holds what was run of each job; present tells how many tasks of a job are on a worker now.
	runs  map[string]*jobRuns
	gangs map[string]int
	// onStart sees each start before the worker does, and reports whether the worker leaves it unanswered; nil if it does not.
	onStart func(w *worker, m order) bool
	// onStop sees each stop that a worker confirms; nil if nobody looks.
	onStop func(w *worker, m order)
}

// jobRuns is what the workers have seen of a job.
type jobRuns struct {
	starts, done, present int
	// idleSince is when the last of its tasks left a worker; zero while one is there.
	idleSince time.Time
}

type worker struct {
	// isCut is set while nothing reaches the worker and nothing that it sends arrives.
	isCut bool
	// silentUntil is when the worker writes its first entry after a crash.
	silentUntil time.Time
	fleet       *fleet
	id          string
	zone        string
	addr        string
	rack        string
	born        time.Time
	token       int64
	lease       time.Time
	running     map[string]*running
	closed      map[string]int
	finished    []finished
	last        int64
}

type running struct {
	task, job string
	run       int
	gang      string
	size      int
	work      time.Duration
	since     time.Time
	doneAt    time.Time
	stopAt    time.Time
}

type finished struct {
	number int64
	task   string
	run    int
	how    string
}

func newFleet(r *record) *fleet {
	return &fleet{record: r, runs: map[string]*jobRuns{}, gangs: map[string]int{}}
}

// add starts a worker on a free loopback port.
func (f *fleet) add(i int, zone string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), zone: zone, addr: l.Addr().String(), rack: fmt.Sprintf("r1-%d", 1+i/4),
		born: time.Now(), running: map[string]*running{}, closed: map[string]int{},
	}
	f.workers = append(f.workers, w)
	go func() { _ = http.Serve(l, w) }()
	return w, nil
}

// crash ends all that runs on the worker, which begins a new lifetime under its id. It is called with the lock held.
func (w *worker) crash() {
	for task, x := range w.running {
		delete(w.running, task)
		w.fleet.job(x.job).present--
	}
	w.finished, w.last, w.token, w.lease, w.closed = nil, 0, 0, time.Time{}, map[string]int{}
	w.born = time.Now()
}

// entry is what the worker reports about itself.
func (w *worker) entry(sequence int) []byte {
	b, _ := json.Marshal(map[string]any{
		"service": service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpus": workerGPUs},
		"labels": []string{"a", w.rack}, "clock_ms": w.clock(), "sequence": sequence, "born": w.born.UnixMilli(),
	})
	return b
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// tick ends what has ended by now on all workers, until the process ends.
func (f *fleet) tick() {
	for {
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		now := time.Now()
		for _, w := range f.workers {
			w.advance(now)
		}
		f.mu.Unlock()
	}
}

func (w *worker) advance(now time.Time) {
	for task, x := range w.running {
		switch {
		case !x.doneAt.IsZero() && !now.Before(x.doneAt):
			w.end(task, "done", now)
		case !x.stopAt.IsZero() && !now.Before(x.stopAt):
			w.end(task, "stopped", now)
		case now.After(w.lease):
			w.end(task, "lapsed", now)
		case x.size > 1 && x.doneAt.IsZero() && now.Sub(x.since) > gangTimeout:
			w.end(task, "alone", now)
		}
	}
}

// end ends a run. The other members of its gang end as done with it, or as broken.
func (w *worker) end(task, how string, now time.Time) {
	x := w.running[task]
	delete(w.running, task)
	w.last++
	w.finished = append(w.finished, finished{w.last, task, x.run, how})
	w.closed[task] = max(w.closed[task], x.run)
	j := w.fleet.job(x.job)
	j.present--
	if j.present == 0 {
		j.idleSince = now
	}
	if how == "done" {
		j.done++
	}
	if x.size <= 1 {
		return
	}
	w.fleet.gangs[x.gang] = 0
	for _, o := range w.fleet.workers {
		for t, y := range o.running {
			if y.gang != x.gang {
				continue
			}
			if how == "done" {
				o.end(t, "done", now)
			} else {
				o.end(t, "broken", now)
			}
		}
	}
}

func (f *fleet) job(id string) *jobRuns {
	if f.runs[id] == nil {
		f.runs[id] = &jobRuns{}
	}
	return f.runs[id]
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMs       int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var m order
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil && r.Method == http.MethodPost {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	rw.Header().Set("X-Instance-Id", w.id)
	if to := r.Header.Get("X-Target-Instance"); to != "" && to != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.awaitLink(r, w.born)
	if r.URL.Path == "/run-start" && f.onStart != nil && f.onStart(w, m) {
		f.mu.Unlock()
		<-r.Context().Done()
		f.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	w.serve(rw, r, m)
}

// awaitLink waits while the worker is cut off. It ends the call if its sender has left, or if another lifetime than that of the call has begun.
// It is called with the lock held.
func (w *worker) awaitLink(r *http.Request, born time.Time) {
	for w.isCut {
		w.fleet.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		w.fleet.mu.Lock()
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if w.born != born {
		panic(http.ErrAbortHandler)
	}
}

// serve executes a call. It is called with the lock held.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request, m order) {
	if r.URL.Path == "/health" {
		return
	}
	if m.FencingToken < w.token {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.token = m.FencingToken
	now := time.Now()
	w.advance(now)
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, m, now)
	case "/run-stop":
		w.closed[m.Task] = max(w.closed[m.Task], m.Run)
		if w.fleet.onStop != nil {
			w.fleet.onStop(w, m)
		}
		if x := w.running[m.Task]; x != nil && x.run <= m.Run && x.stopAt.IsZero() {
			x.stopAt = now.Add(stopTime)
		}
		w.answer(rw, http.StatusOK, "")
	case "/hold":
		w.hold(rw, r, m, now)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	m := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		m["reason"] = reason
	}
	reply(rw, status, m)
}

func (w *worker) extend(deadlineMs int64, now time.Time) {
	if deadlineMs <= 0 {
		return
	}
	at := w.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if limit := now.Add(maxHold); at.After(limit) {
		at = limit
	}
	if at.After(w.lease) {
		w.lease = at
	}
}

func (w *worker) start(rw http.ResponseWriter, m order, now time.Time) {
	if x := w.running[m.Task]; x != nil && x.run == m.Run {
		w.extend(m.DeadlineMs, now)
		w.answer(rw, http.StatusOK, "")
		return
	}
	w.extend(m.DeadlineMs, now)
	if m.Run <= w.closed[m.Task] || w.running[m.Task] != nil {
		w.answer(rw, http.StatusConflict, "old")
		return
	}
	if !w.born.Add(time.Duration(m.DeadlineMs) * time.Millisecond).After(now) {
		w.answer(rw, http.StatusConflict, "late")
		return
	}
	p := strings.Split(m.Task, ".")
	x := &running{task: m.Task, job: p[0], run: m.Run, since: now, size: 1}
	for _, s := range strings.Fields(m.Spec) {
		k, v, _ := strings.Cut(s, "=")
		n, _ := strconv.Atoi(v)
		switch {
		case k == "work":
			x.work = time.Duration(n) * time.Millisecond
		case k == "gang":
			x.size = n
		}
	}
	x.gang = fmt.Sprintf("%s.%s.%s/%d", p[0], p[1], p[2], m.Run)
	w.running[m.Task] = x
	j := w.fleet.job(x.job)
	j.starts++
	j.present++
	j.idleSince = time.Time{}
	if x.size <= 1 {
		x.doneAt = now.Add(x.work)
	} else if w.fleet.gangs[x.gang]++; w.fleet.gangs[x.gang] == x.size {
		for _, o := range w.fleet.workers {
			for _, y := range o.running {
				if y.gang == x.gang {
					y.doneAt = now.Add(y.work)
				}
			}
		}
	}
	w.answer(rw, http.StatusOK, "")
}

// hold answers when an end is listed, or after the time that the caller allows. It is called with the lock held.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, m order, now time.Time) {
	w.extend(m.DeadlineMs, now)
	for len(w.finished) > 0 && w.finished[0].number <= m.LastSeen {
		w.finished = w.finished[1:]
	}
	until := now.Add(time.Duration(min(m.WaitMs, 2000)) * time.Millisecond)
	born := w.born
	for len(w.finished) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
		w.fleet.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		w.fleet.mu.Lock()
	}
	w.awaitLink(r, born)
	rows, ends := [][]any{}, [][]any{}
	now = time.Now()
	for _, x := range w.running {
		percent := 0
		if !x.doneAt.IsZero() && x.work > 0 {
			percent = int(100 * (x.work - x.doneAt.Sub(now)) / x.work)
		}
		rows = append(rows, []any{x.task, x.run, "", percent, 0})
	}
	for i, x := range w.finished {
		if i == endsListed {
			break
		}
		ends = append(ends, []any{x.number, x.task, x.run, x.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{
		"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": rows, "finished": ends,
	})
}

// inUse returns the tasks that are on workers now.
func (f *fleet) inUse() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += len(w.running)
	}
	return n
}

func (f *fleet) look(job string) jobRuns {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *f.job(job)
}
