// Command standin2 plays one case of the second review: a stand-in store, stand-in workers and clients around the project's own hosts.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

const (
	service      = "huvo11a"
	hostname     = "nony24.example"
	urgentPrefix = "/pufi791/"
	batchPrefix  = "/lohu930/"
	// keyA and keyB belong to the two tenants.
	keyA, keyB = "d4a3hwrr6x73d3zji9n7", "3hh2b9wu3fexd9dnn2ct"
	hostCount  = 3
	zoneCount  = 3
	// deadline is how long a client waits for an answer.
	deadline = 3 * time.Second
)

var zones = [zoneCount]string{"north-quay", "south-beach", "port-hall"}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.2f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// bed is a small deployment.
type bed struct {
	root    string
	trouble bool
	record  *record
	store   *store
	fleet   *fleet
	hosts   []*host
	client  *http.Client
	// workerAge is how long the workers have been up at the start of the case.
	workerAge time.Duration
}

type scenario func(b *bed) int

var scenarios = map[string]scenario{}

// workerAges are the ages of the workers of the cases where they matter.
var workerAges = map[string]time.Duration{}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "folder of the repository")
	out := flag.String("record", "record.txt", "file for the record")
	workers := flag.Int("workers", 8, "number of workers")
	flag.Parse()
	os.Exit(run(*name, *root, *out, *workers))
}

func run(name, root, out string, workers int) int {
	f, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = f.Close() }()
	r := &record{file: f, began: time.Now()}
	play := scenarios[name]
	if play == nil {
		r.note("no case is named %q", name)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.note("%v", err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b := &bed{root: root, trouble: os.Getenv("TROUBLE") != "0", record: r, store: newStore(r), fleet: newFleet(r)}
	b.workerAge = workerAges[name]
	b.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: deadline}).DialContext}}
	defer func() {
		for _, h := range b.hosts {
			h.end()
		}
	}()
	if err := b.begin(dir, workers); err != nil {
		r.note("the deployment did not come up: %v", err)
		return notRun
	}
	code := b.playWithin(play)
	r.note("result %d (0 held, 1 broken, 2 not run), trouble %v", code, b.trouble)
	return code
}

// playLimit ends a case that hangs, before the 120 s that it may take.
const playLimit = 100 * time.Second

// playWithin plays a case; it could not run if it takes too long or is interrupted.
func (b *bed) playWithin(play scenario) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	done := make(chan int, 1)
	go func() { done <- play(b) }()
	select {
	case code := <-done:
		return code
	case <-time.After(playLimit):
		b.record.note("the case took too long")
	case <-ctx.Done():
		b.record.note("the case was interrupted")
	}
	return notRun
}

// begin starts the store, the workers and the hosts, and waits until all hosts are ready.
func (b *bed) begin(dir string, workers int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, b.store) }()
	for i := range workers {
		w, err := b.fleet.add(i, zones[i%zoneCount])
		if err != nil {
			return err
		}
		w.born = w.born.Add(-b.workerAge)
		go b.beat(w)
	}
	go b.fleet.tick()
	b.configure()
	for i := range hostCount {
		h, err := newHost(dir, fmt.Sprintf("edge-%s-1", zones[i]), zones[i], hostIP(i), l.Addr().String())
		if err != nil {
			return err
		}
		b.hosts = append(b.hosts, h)
		if err := h.start(b.root); err != nil {
			return err
		}
	}
	until := time.Now().Add(15 * time.Second)
	for _, h := range b.hosts {
		for !b.isReady(h) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	b.record.note("%d hosts and %d workers are up", hostCount, workers)
	return nil
}

// entryCheck is how often a worker that cannot write its entry tries to.
const entryCheck = 20 * time.Millisecond

func (b *bed) beat(w *worker) {
	for i := 1; ; i++ {
		b.fleet.mu.Lock()
		isSilent, e := w.isCut || time.Now().Before(w.silentUntil), w.entry(i)
		look := heartbeat
		if isSilent {
			look = entryCheck
		}
		b.fleet.mu.Unlock()
		if !isSilent {
			b.store.put("keyed.servers", w.id, e)
		}
		time.Sleep(look)
	}
}

func (b *bed) isReady(h *host) bool {
	p, err := b.client.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}

// configure stores the first config: an urgent queue and a batch queue, and two tenants.
func (b *bed) configure() {
	route := func(name, prefix string, priority int, stretch float64) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostname, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000, "latency_slo_ms": 1000,
			"priority": priority, "service": service, "max_attempts": 4, "stretch": stretch, "public": false,
		}
	}
	m := map[string]any{
		"version": 7,
		"routes":  []any{route("r-zzyyjsg", urgentPrefix, 0, 1.5), route("r-ce7ejsm", batchPrefix, 1, 3)},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "rejects_overload": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "kaje80", "api_keys": []string{keyA}, "priority": 1, "guaranteed": map[string]int{"gpus": 24}},
			map[string]any{"name": "lomi17", "api_keys": []string{keyB}, "priority": 1, "guaranteed": map[string]int{"gpus": 8}},
		},
	}
	v, _ := json.Marshal(m)
	b.store.put("keyed.op", "config", v)
}

// maxBodyBytes is the limit of the config for the body of a request.
const maxBodyBytes = 262144

// step is one step of a job; fields that are zero are left out.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	MemMB       int    `json:"mem_mb,omitempty"`
	GPUs        int    `json:"gpus,omitempty"`
	EstimatedMs int    `json:"estimated_ms,omitempty"`
	StartAfter  []int  `json:"start_after,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Needs       string `json:"requirements,omitempty"`
}

// job is the body of a submission.
type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeat_count,omitempty"`
	StartTimeMs int64  `json:"start_time_ms,omitempty"`
	IntervalMs  int64  `json:"interval_ms,omitempty"`
}

// call sends one request to a host and returns its status and body; the status is 0 without a complete answer.
func (b *bed) call(h *host, method, path, key string, body []byte, patience time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = hostname
	q.Header.Set("X-Api-Key", key)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	p, err := b.client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = p.Body.Close() }()
	out, err := io.ReadAll(p.Body)
	if err != nil {
		return 0, err.Error()
	}
	return p.StatusCode, string(out)
}

// jobID returns the ID of a job of one kind.
func jobID(kind, i int) string { return fmt.Sprintf("%08x%08x", 0xa0000000+kind, i) }
