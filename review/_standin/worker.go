package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	maxFinished = 500
)

// kind is what a worker reports of itself in one lifetime.
type kind struct {
	service string
	cpu     int
	memMB   int
	gpus    int
	label   string
	rack    string
}

// outcome is how long a run works and how it ends by itself.
type outcome struct {
	work time.Duration
	how  string
}

// run is one run of a task, as the worker saw it.
type run struct {
	task       string
	number     int
	worker     string
	life       int64
	service    string
	label      string
	at         time.Time
	endedAt    time.Time
	how        string
	end        int64
	isNoted    bool
	hasLapsed  bool
	stopAt     time.Time
	doneAt     time.Time
	outcome    outcome
	checkpoint string
}

// fleet holds the workers and all runs that ever started.
type fleet struct {
	rec   *record
	store *store
	// plan decides the outcome of a run.
	plan func(task string, number int, spec string) outcome
	mu   sync.Mutex
	runs []*run
	// changedAt is when a run last started or ended.
	changedAt time.Time
}

// worker is a stand-in for a worker of the platform, with one lifetime after the other at one address.
type worker struct {
	fleet *fleet
	id    string
	zone  string
	addr  string
	mu    sync.Mutex
	life  *life
}

// life is one lifetime of a worker.
type life struct {
	worker   *worker
	kind     kind
	listener net.Listener
	server   *http.Server
	bornAt   time.Time
	born     int64
	token    int64
	leaseEnd time.Duration
	isLeased bool
	running  map[string]*run
	closed   map[string]int
	finished []*run
	lastEnd  int64
	over     chan struct{}
	sequence int
	isDead   bool
	drains   bool
}

func newFleet(rec *record, s *store, plan func(string, int, string) outcome) *fleet {
	return &fleet{rec: rec, store: s, plan: plan, changedAt: time.Now()}
}

// add starts a worker.
func (f *fleet) add(id, zone string, k kind) (*worker, error) {
	w := &worker{fleet: f, id: id, zone: zone}
	return w, w.start(k)
}

// start begins a lifetime: the worker registers itself and then serves.
func (w *worker) start(k kind) error {
	if w.addr == "" {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		w.addr = addr
	}
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	now := time.Now()
	x := &life{
		worker: w, kind: k, listener: l, bornAt: now, born: now.UnixMilli(), running: map[string]*run{},
		closed: map[string]int{}, over: make(chan struct{}),
	}
	w.mu.Lock()
	w.life = x
	w.mu.Unlock()
	w.fleet.rec.logf("worker %s lives from %d as %s with %d cpu, label %s, of %s", w.id, x.born, w.addr, k.cpu, k.label, k.service)
	x.beat()
	m := http.NewServeMux()
	m.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	m.HandleFunc("POST /run-start", x.handleStart)
	m.HandleFunc("POST /run-stop", x.handleStop)
	m.HandleFunc("POST /hold", x.handleHold)
	x.server = &http.Server{Handler: m}
	go func() { _ = x.server.Serve(l) }()
	go x.tick()
	return nil
}

// crash ends the lifetime at once; the worker says nothing of it.
func (w *worker) crash() {
	w.mu.Lock()
	x := w.life
	x.isDead = true
	now := time.Now()
	for _, r := range x.running {
		r.endedAt, r.how = now, "crashed"
		w.fleet.rec.logf("ran %s run %d on %s: ended by crash", r.task, r.number, w.id)
	}
	w.mu.Unlock()
	close(x.over)
	_ = x.server.Close()
	w.fleet.rec.logf("worker %s crashes", w.id)
}

// beat writes the entry of the worker to the store.
func (x *life) beat() {
	x.sequence++
	state := "ready"
	if x.drains {
		state = "draining"
	}
	k := x.kind
	b, _ := json.Marshal(map[string]any{
		"service": k.service, "address": x.worker.addr, "zone": x.worker.zone, "version": "v1", "slots": 4096, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": k.cpu, "mem_mb": k.memMB, "gpus": k.gpus},
		"labels": []string{k.label, k.rack}, "clock_ms": x.clock().Milliseconds(), "sequence": x.sequence, "born": x.born,
	})
	x.worker.fleet.store.put("keyed.servers", x.worker.id, b)
}

func (x *life) clock() time.Duration { return time.Since(x.bornAt) }

// tick ends the runs whose time has come and writes heartbeats.
func (x *life) tick() {
	next := time.Now().Add(heartbeat)
	for {
		select {
		case <-x.over:
			return
		case <-time.After(5 * time.Millisecond):
		}
		x.worker.mu.Lock()
		x.advance()
		x.worker.mu.Unlock()
		if time.Now().After(next) {
			next = next.Add(heartbeat)
			x.beat()
		}
	}
}

// advance ends the runs whose time has come.
func (x *life) advance() {
	if x.isDead {
		return
	}
	now := time.Now()
	isLapsed := x.isLeased && x.clock() > x.leaseEnd
	for _, r := range x.running {
		switch {
		case !now.Before(r.doneAt) && (r.stopAt.IsZero() || r.doneAt.Before(r.stopAt)):
			x.end(r, r.outcome.how)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			x.end(r, "stopped")
		case isLapsed:
			x.end(r, "lapsed")
		}
	}
	if isLapsed {
		for _, r := range x.finished {
			r.hasLapsed = true
		}
		x.isLeased = false
	}
}

func (x *life) end(r *run, how string) {
	x.lastEnd++
	f := x.worker.fleet
	f.mu.Lock()
	r.endedAt, r.how, r.end = time.Now(), how, x.lastEnd
	f.changedAt = r.endedAt
	f.mu.Unlock()
	delete(x.running, r.task)
	x.closed[r.task] = max(x.closed[r.task], r.number)
	x.finished = append(x.finished, r)
	f.rec.logf("ran %s run %d on %s: %s, end %d", r.task, r.number, x.worker.id, how, r.end)
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// admit decodes an order and checks to whom it is addressed and its fencing token; the worker is locked if it returns true.
func (x *life) admit(w http.ResponseWriter, r *http.Request, o *order) bool {
	if json.NewDecoder(r.Body).Decode(o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != x.worker.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	x.worker.mu.Lock()
	if x.isDead {
		x.worker.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	x.advance()
	if o.Token < x.token {
		x.worker.fleet.rec.logf("worker %s refuses token %d, has seen %d", x.worker.id, o.Token, x.token)
		x.worker.mu.Unlock()
		x.refuse(w, "fence")
		return false
	}
	x.token = o.Token
	return true
}

func (x *life) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": x.clock().Milliseconds(), "born": x.born, "reason": reason})
}

func (x *life) accept(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": x.clock().Milliseconds(), "born": x.born})
}

// extend extends the lease to a time on the worker's clock, but never shortens it.
func (x *life) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	until := min(time.Duration(deadlineMs)*time.Millisecond, x.clock()+maxHold)
	if until > x.clock() && (!x.isLeased || until > x.leaseEnd) {
		x.leaseEnd, x.isLeased = until, true
	}
}

func (x *life) handleStart(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.admit(w, r, &o) {
		return
	}
	defer x.worker.mu.Unlock()
	f := x.worker.fleet
	if y := x.running[o.Task]; y != nil && y.number == o.Run {
		x.extend(o.DeadlineMs)
		x.accept(w)
		return
	}
	if o.Run <= x.closed[o.Task] {
		f.rec.logf("sent start of %s run %d to %s: refused, old", o.Task, o.Run, x.worker.id)
		x.extend(o.DeadlineMs)
		x.refuse(w, "old")
		return
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond < x.clock() {
		f.rec.logf("sent start of %s run %d to %s: refused, late", o.Task, o.Run, x.worker.id)
		x.refuse(w, "late")
		return
	}
	x.extend(o.DeadlineMs)
	now := time.Now()
	y := &run{
		task: o.Task, number: o.Run, worker: x.worker.id, life: x.born, service: x.kind.service, label: x.kind.label, at: now,
		outcome: f.plan(o.Task, o.Run, o.Spec), checkpoint: o.Checkpoint,
	}
	y.doneAt = now.Add(y.outcome.work)
	x.running[o.Task] = y
	f.mu.Lock()
	f.runs = append(f.runs, y)
	f.changedAt = now
	f.mu.Unlock()
	f.rec.logf("sent start of %s run %d to %s with token %d: accepted", o.Task, o.Run, x.worker.id, o.Token)
	x.accept(w)
}

func (x *life) handleStop(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.admit(w, r, &o) {
		return
	}
	defer x.worker.mu.Unlock()
	x.worker.fleet.rec.logf("sent stop of %s run %d to %s", o.Task, o.Run, x.worker.id)
	x.closed[o.Task] = max(x.closed[o.Task], o.Run)
	if y := x.running[o.Task]; y != nil && y.number <= o.Run && y.stopAt.IsZero() {
		y.stopAt = time.Now().Add(stopTime)
	}
	x.accept(w)
}

func (x *life) handleHold(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.admit(w, r, &o) {
		return
	}
	for len(x.finished) > 0 && x.finished[0].end <= o.LastSeen {
		y := x.finished[0]
		y.isNoted = !y.hasLapsed
		x.finished = x.finished[1:]
	}
	x.extend(o.DeadlineMs)
	until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(x.finished) == 0 && time.Now().Before(until) && !x.isDead {
		x.worker.mu.Unlock()
		select {
		case <-time.After(5 * time.Millisecond):
		case <-x.over:
		case <-r.Context().Done():
			return
		}
		x.worker.mu.Lock()
	}
	if x.isDead {
		x.worker.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	x.advance()
	running, finished := [][]any{}, [][]any{}
	for _, y := range x.running {
		percent := min(int(100*time.Since(y.at)/max(y.outcome.work, 1)), 99)
		running = append(running, []any{y.task, y.number, "", percent, 0})
	}
	for _, y := range x.finished[:min(len(x.finished), maxFinished)] {
		finished = append(finished, []any{y.end, y.task, y.number, y.how, ""})
	}
	if len(x.finished) > maxFinished {
		x.worker.fleet.rec.logf("worker %s lists %d of %d ends", x.worker.id, maxFinished, len(x.finished))
	}
	m := map[string]any{"clock_ms": x.clock().Milliseconds(), "born": x.born, "running": running, "finished": finished}
	x.worker.mu.Unlock()
	writeJSON(w, http.StatusOK, m)
}

// lastChange returns when a run last started or ended.
func (f *fleet) lastChange() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changedAt
}

// byTask returns all runs by task, in the order of their starts.
func (f *fleet) byTask() map[string][]*run {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]*run{}
	for _, r := range f.runs {
		out[r.task] = append(out[r.task], r)
	}
	return out
}

// countDone returns how many tasks have ended as done at least once.
func (f *fleet) countDone() int {
	n := 0
	for _, rs := range f.byTask() {
		if slices.ContainsFunc(rs, func(r *run) bool { return r.how == "done" }) {
			n++
		}
	}
	return n
}

// findTwice returns the breaks of the rule TWICE: two runs of a task at the same time on workers that are up, or a start after a run
// has ended as done whose end was taken note of before the lease of its worker lapsed.
func (f *fleet) findTwice() []string {
	var out []string
	for task, rs := range f.byTask() {
		for i, later := range rs {
			for _, earlier := range rs[:i] {
				if earlier.endedAt.IsZero() || later.at.Before(earlier.endedAt) {
					out = append(out, fmt.Sprintf("%s: run %d started on %s while run %d was on %s", task, later.number, later.worker,
						earlier.number, earlier.worker))
				}
				if earlier.how == "done" && earlier.isNoted && later.at.After(earlier.endedAt) {
					out = append(out, fmt.Sprintf("%s: run %d started on %s %d ms after run %d had ended done on %s, which was taken note of",
						task, later.number, later.worker, later.at.Sub(earlier.endedAt).Milliseconds(), earlier.number, earlier.worker))
				}
			}
		}
	}
	return out
}
