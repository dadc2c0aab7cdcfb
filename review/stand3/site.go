//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

const (
	queueHost = "nony24.example"
	tenantKey = "key-of-a-tenant"
	urgentKey = "key-of-another-tenant"
)

// bounds are those of the site file aqaba-potreg, as the settings give them.
var bounds = map[string]string{
	"bounds.max_hold_ms": "10000", "bounds.stop_timeout_ms": "200", "bounds.reclaim_ms": "2700", "bounds.gang_timeout_ms": "3000",
	"bounds.revoke_ms": "5000", "bounds.status_s": "120", "bounds.grace_s": "6", "limits.memory_mb": "284", "limits.cpu_share": "0.4",
	"limits.max_fds": "4100",
}

// host is a host of the deployment, which runs as a process.
type host struct {
	name, settings, front, ready string
	// store is the way of the host to the store.
	store   *link
	process *exec.Cmd
	exited  chan error
}

// site is a small deployment on loopback addresses.
type site struct {
	log     *record
	store   *store
	hosts   []*host
	workers []*worker
	dir     string
	client  *http.Client
	stop    context.CancelFunc
}

// Ports of hosts are below those that systems use for outgoing connections, so that none is taken before a host listens.
const (
	firstPort = 10000
	lastPort  = 30000
)

// given holds the addresses that freeAddr has returned.
var given = map[string]bool{}

// freeAddr returns another loopback address that nothing listens at.
func freeAddr() string {
	for {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if given[a] {
			continue
		}
		if l, err := net.Listen("tcp", a); err == nil {
			_ = l.Close()
			given[a] = true
			return a
		}
	}
}

// serve serves a handler at a free loopback address and returns the address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// newSite starts the store, the workers and the hosts, and waits until the hosts are ready.
func newSite(l *record, hosts, workers, gpus int, config map[string]any) (*site, error) {
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &site{log: l, store: newStore(), dir: dir, stop: stop, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	b, _ := json.Marshal(config)
	s.store.put("keyed.op", "config", b)
	g := &gangs{runs: map[string]*gangRun{}}
	for i := range workers {
		w := newWorker(fmt.Sprintf("i-7f3a91c%d", i+1), "potreg", "north-quay", fmt.Sprintf("r1-%d", i/2+1), gpus, g, s.store, l)
		w.addr = serve(w)
		s.workers = append(s.workers, w)
		go func() {
			for ctx.Err() == nil {
				w.tick(time.Now())
				time.Sleep(lookTime)
			}
		}()
	}
	for i := range hosts {
		h, err := s.newHost(i)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
		if err := s.startHost(h); err != nil {
			return nil, err
		}
	}
	return s, s.waitReady(15 * time.Second)
}

var placeholder = regexp.MustCompile(`{{([a-z_.0-9]+)}}`)

// newHost writes the settings of a host by the template of the deploy file.
func (s *site) newHost(i int) (*host, error) {
	h := &host{name: fmt.Sprintf("edge-north-quay-%d", i+1), front: freeAddr(), ready: freeAddr(), store: &link{store: s.store}}
	status, peer := freeAddr(), freeAddr()
	values := map[string]string{
		"node_name": h.name, "zone": "north-quay", "listen_addrs.front": h.front, "listen_addrs.ready": h.ready, "platform.address": serve(h.store),
	}
	t, err := os.ReadFile("deploy/auburncleatd.ini")
	if err != nil {
		return nil, err
	}
	text := strings.ReplaceAll(string(t), "{{ip}}:{{internal_ports.0}}", status)
	text = strings.ReplaceAll(text, "{{ip}}:{{internal_ports.1}}", peer)
	text = placeholder.ReplaceAllStringFunc(text, func(x string) string {
		k := strings.Trim(x, "{}")
		if v, ok := values[k]; ok {
			return v
		}
		return bounds[k]
	})
	h.settings = filepath.Join(s.dir, h.name+".ini")
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// startHost starts the process of a host with the command of the deploy file.
func (s *site) startHost(h *host) error {
	out, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.process = exec.Command("target/auburncleatd", "site")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AUBURNCLEAT_BOOT=" + h.settings}
	h.process.Stdout, h.process.Stderr = out, out
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.process.Start(); err != nil {
		return err
	}
	s.log.write("host %s starts", h.name)
	h.exited = make(chan error, 1)
	p, exited := h.process, h.exited
	go func() { exited <- p.Wait(); _ = out.Close() }()
	return nil
}

// isOwner reports whether a host has ever owned the jobs, as it logs.
func (s *site) isOwner(h *host) bool {
	b, err := os.ReadFile(filepath.Join(s.dir, h.name+".log"))
	return err == nil && strings.Contains(string(b), "ownership gained")
}

func (s *site) signal(h *host, x syscall.Signal) {
	s.log.write("host %s gets %s", h.name, x)
	_ = h.process.Process.Signal(x)
}

var errNotReady = errors.New("hosts are not ready")

func (s *site) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, h := range s.hosts {
		for {
			r, err := s.client.Get("http://" + h.ready + "/readiness")
			if err == nil {
				_ = r.Body.Close()
			}
			if err == nil && r.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.log.write("all hosts are ready")
	return nil
}

// close ends all processes that the site started.
func (s *site) close() {
	for _, h := range s.hosts {
		_ = h.process.Process.Signal(syscall.SIGCONT)
		_ = h.process.Process.Kill()
		select {
		case <-h.exited:
		case <-time.After(5 * time.Second):
		}
	}
	s.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// findWorker returns the worker with an id.
func (s *site) findWorker(id string) *worker {
	for _, w := range s.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// answer is what a caller got; its status is zero if it got no answer.
type answer struct {
	status int
	body   string
	at     time.Time
}

// call sends one request of a caller that waits for the given time.
func (s *site) call(h *host, method, path, key string, body any, deadline time.Duration) answer {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	r.Host = queueHost
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	s.log.write("client sends %s %s to %s", method, path, h.name)
	x, err := s.client.Do(r)
	if err != nil {
		s.log.write("client gets no answer to %s %s from %s: %v", method, path, h.name, err)
		return answer{at: time.Now()}
	}
	defer x.Body.Close()
	t, _ := io.ReadAll(x.Body)
	text := strings.TrimSpace(string(t))
	s.log.write("client gets %d %s to %s %s from %s%s", x.StatusCode, text, method, path, h.name, retryAfter(x))
	return answer{x.StatusCode, text, time.Now()}
}

func retryAfter(x *http.Response) string {
	if v := x.Header.Get("Retry-After"); v != "" {
		return ", retry after " + v + " s"
	}
	return ""
}

// jobOf returns the body of a job of equal independent tasks.
func jobOf(tasks, gpus int, k work) map[string]any {
	spec, _ := json.Marshal(k)
	return map[string]any{"spec": string(spec), "steps": []map[string]any{{
		"count": tasks, "cpu": 1000, "mem_mb": 1024, "gpus": gpus, "estimated_ms": k.Millis,
	}}}
}

// siteConfig returns a configuration with an urgent and a normal queue.
func siteConfig(version int) map[string]any {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "hostname": queueHost, "path_prefix": prefix, "service": "potreg", "priority": priority, "max_attempts": 4,
			"stretch": 3.0, "latency_slo_ms": 3000,
		}
	}
	tenant := func(name, key string, gpus int) map[string]any {
		return map[string]any{"name": name, "api_keys": []string{key}, "guaranteed": map[string]int{"gpus": gpus}}
	}
	return map[string]any{
		"version": version, "routes": []any{route("urgent", "/gono990/", 0), route("normal", "/lohu930/", 1)},
		"services": []any{map[string]any{"name": "potreg", "rejects_overload": false}},
		"tenants":  []any{tenant("registry", tenantKey, 0), tenant("licensing", urgentKey, 0)},
	}
}

// waitFor waits until a condition holds, and reports whether it does.
func waitFor(limit time.Duration, f func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
