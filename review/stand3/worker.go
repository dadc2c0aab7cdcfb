//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxHold     = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	maxListed   = 500
	maxHoldWait = 2 * time.Second
	lookTime    = 5 * time.Millisecond
	gangTimeout = 3 * time.Second
)

// work is what a task does, as its spec says.
type work struct {
	Millis int `json:"ms"`
	// Gang is the number of tasks that work only together; zero if each works alone.
	Gang int `json:"gang"`
	// Lasts is set if the task runs until it is stopped.
	Lasts bool `json:"lasts"`
}

// gangs holds the runs of all gangs of a site, by the name of the step and the run.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gangRun
}

// gangRun is one run of a gang; its tasks work from the moment when all are present.
type gangRun struct {
	tasks    int
	workFrom time.Time
	brokenAt time.Time
}

// join adds a task to the run of its gang.
func (g *gangs) join(t *task, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := t.name[:strings.LastIndex(t.name, ".")]
	key := fmt.Sprintf("%s/%d", step, t.run)
	if g.runs[key] == nil {
		g.runs[key] = &gangRun{}
	}
	t.gang = g.runs[key]
	if t.gang.tasks++; t.gang.tasks == t.work.Gang {
		t.gang.workFrom = now
	}
}

// state returns when the gang of a task began to work and when it broke.
func (g *gangs) state(t *task) (workFrom, brokenAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return t.gang.workFrom, t.gang.brokenAt
}

// breakUp notes that a task of the gang has ended without success.
func (g *gangs) breakUp(t *task, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.gang.brokenAt.IsZero() {
		t.gang.brokenAt = at
	}
}

// worker is a stand-in for a worker as PROTOCOL.md describes it.
type worker struct {
	id, service, zone, rack, addr string
	gpus                          int
	gangs                         *gangs
	log                           *record
	store                         *store

	mu     sync.Mutex
	born   time.Time
	token  int64
	lease  time.Time
	tasks  map[string]*task
	closed map[string]int
	ended  []ended
	number int64
	// isCut is set while nothing from the hosts reaches the worker, and no answer of the worker reaches them. Its entry isn't written
	// while isDark is set too.
	isCut, isDark bool
	// onLate takes the next start of lateJob, which is left unanswered; nil if none is.
	onLate  func(o order)
	lateJob string
	// answeredAt is when the worker last answered a look.
	answeredAt time.Time
	state      string
	sequence   int64
	reported   time.Time
}

type task struct {
	name   string
	run    int
	began  time.Time
	stopAt time.Time
	work   work
	// gang is nil for a task that works alone.
	gang *gangRun
}

type ended struct {
	number int64
	name   string
	run    int
	how    string
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

func newWorker(id, service, zone, rack string, gpus int, g *gangs, s *store, l *record) *worker {
	return &worker{
		id: id, service: service, zone: zone, rack: rack, gpus: gpus, gangs: g, store: s, log: l, born: time.Now(), state: "ready",
		tasks: map[string]*task{}, closed: map[string]int{},
	}
}

// beat writes the entry of the worker.
func (w *worker) beat() {
	w.mu.Lock()
	w.sequence++
	b, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "1", "slots": 8, "state": w.state, "cold_remaining_ms": 0,
		"sequence": w.sequence, "born": w.born.UnixMilli(), "labels": []string{"a", w.rack},
		"capacity": map[string]int{"cpu": 128000, "mem_mb": 524288, "gpus": w.gpus},
	})
	w.mu.Unlock()
	w.store.put("keyed.servers", w.id, b)
}

func (w *worker) clock(now time.Time) int64 { return now.Sub(w.born).Milliseconds() }

func (w *worker) setCut(isCut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCut = isCut
}

// pass hangs a call for good if the worker is cut off.
func (w *worker) pass(r *http.Request) {
	w.mu.Lock()
	isCut := w.isCut
	w.mu.Unlock()
	if isCut {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func (w *worker) ServeHTTP(x http.ResponseWriter, r *http.Request) {
	w.pass(r)
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		x.WriteHeader(http.StatusBadRequest)
		return
	}
	if to := r.Header.Get("X-Target-Instance"); to != "" && to != w.id {
		x.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, m := http.StatusNotFound, map[string]any{}
	switch r.URL.Path {
	case "/run-start":
		if w.takeLate(o) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, m = w.start(o)
	case "/run-stop":
		status, m = w.stop(o)
	case "/hold":
		status, m = w.hold(r, o)
	}
	w.pass(r)
	reply(x, status, m)
	if r.URL.Path == "/hold" {
		w.mu.Lock()
		w.answeredAt = time.Now()
		w.mu.Unlock()
	}
}

// takeLate reports whether a start is left unanswered; onLate then has it.
func (w *worker) takeLate(o order) bool {
	w.mu.Lock()
	f := w.onLate
	isLate := f != nil && strings.HasPrefix(o.Task, w.lateJob+".")
	if isLate {
		w.onLate = nil
	}
	w.mu.Unlock()
	if isLate {
		f(o)
	}
	return isLate
}

// restart ends the process of the worker and starts it again under its id; the new lifetime knows nothing of before.
func (w *worker) restart(absence time.Duration) {
	w.mu.Lock()
	now := time.Now()
	w.advance(now)
	for name, t := range w.tasks {
		w.log.runAt(now, "end", w.id, name, t.run, "crash")
	}
	w.tasks, w.closed, w.ended, w.number = map[string]*task{}, map[string]int{}, nil, 0
	w.token, w.lease = 0, time.Time{}
	w.mu.Unlock()
	time.Sleep(absence)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.sequence = time.Now(), 0
	w.log.write("worker %s starts again under its id", w.id)
}

// admit checks the token; the caller holds the lock.
func (w *worker) admit(o order, now time.Time) (map[string]any, bool) {
	w.advance(now)
	m := map[string]any{"clock_ms": w.clock(now), "born": w.born.UnixMilli()}
	if o.FencingToken < w.token {
		m["reason"] = "fence"
		return m, false
	}
	w.token = o.FencingToken
	return m, true
}

func (w *worker) extend(o order, now time.Time) {
	if o.DeadlineMs == 0 {
		return
	}
	until := w.born.Add(time.Duration(o.DeadlineMs) * time.Millisecond)
	if limit := now.Add(maxHold); until.After(limit) {
		until = limit
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) start(o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	m, ok := w.admit(o, now)
	if !ok {
		return http.StatusConflict, m
	}
	if t := w.tasks[o.Task]; t != nil && t.run == o.Run {
		w.extend(o, now)
		return http.StatusOK, m
	}
	w.extend(o, now)
	if o.Run <= w.closed[o.Task] {
		m["reason"] = "old"
		return http.StatusConflict, m
	}
	if !w.born.Add(time.Duration(o.DeadlineMs) * time.Millisecond).After(now) {
		m["reason"] = "late"
		return http.StatusConflict, m
	}
	var k work
	_ = json.Unmarshal([]byte(o.Spec), &k)
	t := &task{name: o.Task, run: o.Run, began: now, work: k}
	if k.Gang > 0 {
		w.gangs.join(t, now)
	}
	w.tasks[o.Task] = t
	w.log.run("start", w.id, o.Task, o.Run, fmt.Sprintf("token %d", o.FencingToken))
	return http.StatusOK, m
}

func (w *worker) stop(o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	m, ok := w.admit(o, now)
	if !ok {
		return http.StatusConflict, m
	}
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	if t := w.tasks[o.Task]; t != nil && t.run <= o.Run && t.stopAt.IsZero() {
		t.stopAt = now.Add(stopTime)
	}
	return http.StatusOK, m
}

func (w *worker) hold(r *http.Request, o order) (int, map[string]any) {
	until := time.Now().Add(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
	isFirst := true
	for {
		w.mu.Lock()
		now := time.Now()
		m, ok := w.admit(o, now)
		if !ok {
			w.mu.Unlock()
			return http.StatusConflict, m
		}
		if isFirst {
			isFirst = false
			w.extend(o, now)
			for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
				w.log.run("noted", w.id, w.ended[0].name, w.ended[0].run, w.ended[0].how)
				w.ended = w.ended[1:]
			}
		}
		if len(w.ended) > 0 || !now.Before(until) || r.Context().Err() != nil {
			m["running"], m["finished"] = w.list(now)
			w.mu.Unlock()
			return http.StatusOK, m
		}
		w.mu.Unlock()
		time.Sleep(lookTime)
	}
}

// list returns the rows of a report; the caller holds the lock.
func (w *worker) list(now time.Time) (running, finished [][]any) {
	running, finished = [][]any{}, [][]any{}
	for _, t := range w.tasks {
		running = append(running, []any{t.name, t.run, "", w.percent(t, now), 0})
	}
	for _, x := range w.ended[:min(len(w.ended), maxListed)] {
		finished = append(finished, []any{x.number, x.name, x.run, x.how, ""})
	}
	return running, finished
}

// advance ends the tasks that have ended by now; the caller holds the lock.
func (w *worker) advance(now time.Time) {
	for name, t := range w.tasks {
		how, at := "", now
		consider := func(h string, when time.Time) {
			if !when.IsZero() && !when.After(at) {
				how, at = h, when
			}
		}
		consider("lapsed", w.lease)
		consider("stopped", t.stopAt)
		if from := w.workFrom(t); !t.work.Lasts && !from.IsZero() {
			consider("done", from.Add(t.duration()))
		}
		if t.gang != nil {
			workFrom, brokenAt := w.gangs.state(t)
			consider("broken", brokenAt)
			if workFrom.IsZero() {
				consider("alone", t.began.Add(gangTimeout))
			}
		}
		if how == "" {
			continue
		}
		if t.gang != nil && how != "done" {
			w.gangs.breakUp(t, at)
		}
		delete(w.tasks, name)
		w.closed[name] = max(w.closed[name], t.run)
		w.number++
		w.ended = append(w.ended, ended{w.number, name, t.run, how})
		w.log.runAt(at, "end", w.id, name, t.run, how)
	}
}

// workFrom returns when a task began to work, or zero if it waits for others.
func (w *worker) workFrom(t *task) time.Time {
	if t.gang == nil {
		return t.began
	}
	from, _ := w.gangs.state(t)
	return from
}

func (t *task) duration() time.Duration { return time.Duration(t.work.Millis) * time.Millisecond }

// percent returns the progress of a task; one that lasts is at work at 100.
func (w *worker) percent(t *task, now time.Time) int {
	from := w.workFrom(t)
	switch {
	case from.IsZero():
		return 0
	case t.work.Lasts:
		return 100
	default:
		return int(min(100*now.Sub(from)/max(t.duration(), 1), 99))
	}
}

// tick brings the worker up to date and writes its entry from time to time.
func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	w.advance(now)
	isDue := !w.isDark && now.Sub(w.reported) >= heartbeatTime
	if isDue {
		w.reported = now
	}
	w.mu.Unlock()
	if isDue {
		w.beat()
	}
}
