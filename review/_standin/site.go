package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings is the template of the deploy file with the bounds of a small deployment.
const settings = `[Host]
Name = %s
Domain = %s

[Listen]
Caller = %s
Ready = %s
Status = %s
Peer = %s

[Store]
Addr = %s

[Bounds]
MaxHold = 10000ms
StopTimeout = 200ms
Claim = 2700ms
GangTimeout = 3000ms
Revoke = 5000ms
KeepEnded = 120s
Grace = 6s

[Limits]
Memory = 284MB
Processors = 0.4

[Log]
Level = info
Format = json
`

const (
	hostname      = "kaje80.example"
	apiKey        = "d4a3hwrr6x73d3zji9n7"
	clientTimeout = 3 * time.Second
)

// host is one daemon, which is a process of its own.
type host struct {
	site                        *site
	name, zone                  string
	caller, ready, status, peer string
	store                       string
	mu                          sync.Mutex
	process                     *exec.Cmd
	lives                       int
}

// processes are all processes that were started.
var processes struct {
	sync.Mutex
	all []*os.Process
}

// killProcesses ends all processes that were started; those that have ended are left alone.
func killProcesses() {
	processes.Lock()
	defer processes.Unlock()
	for _, p := range processes.all {
		_ = p.Kill()
	}
}

// site is a small deployment: a store, workers and daemons.
type site struct {
	rec   *record
	store *store
	fleet *fleet
	hosts []*host
	dir   string
}

// Ports are taken from below the range from which the system picks those of outgoing connections, as a process that starts again
// has to find its own free.
const (
	firstPort = 15000
	portCount = 15000
)

// freeAddr returns a loopback address whose port is free.
func freeAddr() (string, error) {
	var err error
	for range 100 {
		var l net.Listener
		l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String(), nil
		}
	}
	return "", err
}

// newSite prepares a deployment with the given number of daemons.
func newSite(rec *record, n int, plan func(string, int, string) outcome) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, store: newStore(), dir: dir}
	s.fleet = newFleet(rec, s.store, plan)
	addr, err := s.store.serve()
	if err != nil {
		return nil, err
	}
	for i := range n {
		h := &host{site: s, name: fmt.Sprintf("edge-%d", i+1), zone: fmt.Sprintf("zone-%d", i%3+1), store: addr}
		for _, a := range []*string{&h.caller, &h.ready, &h.status, &h.peer} {
			if *a, err = freeAddr(); err != nil {
				return nil, err
			}
		}
		s.hosts = append(s.hosts, h)
	}
	return s, nil
}

// addWorkers adds workers of a service, in racks of three.
func (s *site) addWorkers(n int, service string) error {
	for i := range n {
		k := kind{service: service, cpu: 128000, memMB: 524288, gpus: 8, label: "a", rack: fmt.Sprintf("r1-%d", i/3)}
		if _, err := s.fleet.add(fmt.Sprintf("i-%s-%d", service, i), fmt.Sprintf("zone-%d", i%3+1), k); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of a daemon with the command of the deploy file.
func (h *host) start() error {
	path := filepath.Join(h.site.dir, h.name+".ini")
	text := fmt.Sprintf(settings, h.name, h.zone, h.caller, h.ready, h.status, h.peer, h.store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives++
	out, err := os.Create(filepath.Join(h.site.dir, fmt.Sprintf("%s.%d.log", h.name, h.lives)))
	if err != nil {
		return err
	}
	c := exec.Command("target/auburncleatd", "site")
	c.Env = []string{"AUBURNCLEAT_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	h.process = c
	processes.Lock()
	processes.all = append(processes.all, c.Process)
	processes.Unlock()
	h.site.rec.logf("daemon %s starts as process %d", h.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		_ = out.Close()
		h.site.rec.logf("daemon %s, process %d, has ended: %v", h.name, c.Process.Pid, err)
	}()
	return nil
}

// signal sends a signal to the process of a daemon.
func (h *host) signal(x syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.site.rec.logf("daemon %s gets %v", h.name, x)
	_ = h.process.Process.Signal(x)
}

// isReady reports whether a daemon answers 200 to the check of the platform.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startAll starts all daemons and waits until they are ready.
func (s *site) startAll() error {
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return s.waitReady(20 * time.Second)
}

func (s *site) waitReady(limit time.Duration) error {
	return waitFor(limit, "daemons are not ready", func() bool {
		for _, h := range s.hosts {
			if !h.isReady() {
				return false
			}
		}
		return true
	})
}

// stop kills all daemons.
func (s *site) stop() {
	killProcesses()
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.rec.sayf("logs of the daemons are in %s", s.dir)
	}
}

// owner returns the daemon that says that it owns the jobs by its newest line "ownership gained", the last of all by its time.
func (s *site) owner() *host {
	var out *host
	newest := ""
	for _, h := range s.hosts {
		h.mu.Lock()
		lives := h.lives
		h.mu.Unlock()
		b, _ := os.ReadFile(filepath.Join(s.dir, fmt.Sprintf("%s.%d.log", h.name, lives)))
		for _, line := range strings.Split(string(b), "\n") {
			var m struct {
				Time string `json:"time"`
				Msg  string `json:"msg"`
			}
			if json.Unmarshal([]byte(line), &m) == nil && m.Msg == "ownership gained" && m.Time > newest {
				newest, out = m.Time, h
			}
		}
	}
	return out
}

func waitFor(limit time.Duration, what string, f func() bool) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return fmt.Errorf("%s after %s", what, limit)
}

// call sends one request of a client to a daemon and returns the status, zero without an answer, and the body.
func (s *site) call(h *host, method, path string, body any) (int, []byte) {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	x, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	r, _ := http.NewRequestWithContext(x, method, "http://"+h.caller+path, bytes.NewReader(b))
	r.Host = hostname
	r.Header.Set("X-Api-Key", apiKey)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	r.Header.Set("Content-Type", "application/json")
	t := &http.Transport{DisableKeepAlives: true}
	p, err := t.RoundTrip(r)
	if err != nil {
		s.rec.logf("client %s %s at %s: no answer: %v", method, path, h.name, err)
		return 0, nil
	}
	defer func() { _ = p.Body.Close() }()
	out, _ := io.ReadAll(p.Body)
	s.rec.logf("client %s %s at %s: %d %s", method, path, h.name, p.StatusCode, strings.TrimSpace(string(out)))
	return p.StatusCode, out
}

// submit hands a job in, again at other daemons while it is not accepted, and reports whether it was.
func (s *site) submit(path string, job any) bool {
	for i := range 10 {
		status, _ := s.call(s.hosts[i%len(s.hosts)], http.MethodPost, path, job)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, at any daemon that answers.
func (s *site) state(path string) string {
	for _, h := range s.hosts {
		status, b := s.call(h, http.MethodGet, path, nil)
		var m struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(b, &m) == nil {
			return m.State
		}
	}
	return ""
}

// route is a queue of the configuration.
type route struct {
	Name        string  `json:"name"`
	Hostname    string  `json:"hostname"`
	PathPrefix  string  `json:"path_prefix"`
	Type        string  `json:"type"`
	TimeoutMs   int     `json:"timeout_ms"`
	LatencyMs   int     `json:"latency_slo_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Stretch     float64 `json:"stretch"`
	Public      bool    `json:"public"`
}

func newRoute(name, prefix, service string, priority int) route {
	return route{
		Name: name, Hostname: hostname, PathPrefix: prefix, Type: "unsafe", TimeoutMs: 3000, LatencyMs: 1000, Priority: priority,
		Service: service, MaxAttempts: 4, Stretch: 3,
	}
}

// configure writes a version of the configuration to the store, as the operator does.
func (s *site) configure(version int, routes []route, services ...string) {
	var list []map[string]any
	for _, x := range services {
		list = append(list, map[string]any{
			"name": x, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "rejects_overload": false,
			"standby": false,
		})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{
			"name": "kaje80", "api_keys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpus": 8},
		}},
	})
	s.store.put("keyed.op", "config", b)
	s.rec.logf("operator: config %d is acknowledged, routes %v", version, routes)
}
